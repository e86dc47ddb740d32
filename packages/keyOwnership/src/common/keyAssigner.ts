import { describeError, InvariantError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { RowStore } from '@hickoryhoist/store/common/rowStore.js';
import { eraOf } from '@hickoryhoist/store/common/storeVersion.js';
import { PlatformUnavailableError } from '@hickoryhoist/store/common/tableService.js';
import { firstRevisionOfEra } from './assignmentRevision.js';
import { encodeAssignment } from './assignmentRow.js';
import {
  presentRowVersion,
  readAssignmentRow,
  type StoredAssignment,
  writeAssignment,
} from './assignmentStore.js';
import { EvacuationRounds } from './evacuationRounds.js';
import { HotKeyMoves } from './hotKeyMoves.js';
import { createOwnedRange, type KeyAssignment, type OwnedRange } from './keyAssignment.js';
import { diffAssignments, type KeyAssignmentDelta } from './keyAssignmentDelta.js';
import type { KeyGrantClient } from './keyGrantClient.js';
import {
  type KeyTraffic,
  type PlannedMove,
  type CandidateServer,
  planUnownedKeys,
  planMoves,
} from './keyPlanner.js';
import { keyOwnershipTiming, expiryMilliseconds } from './keyOwnershipTiming.js';
import { type AssignerLease, neverGranted, type OwnerState, RangeLease } from './rangeLease.js';
import { ServerSuspicions } from './serverSuspicions.js';

/**
 * Moves that may start in one balancing round of a small service. Limits how many servers a change in load disrupts
 * at once.
 */
const MIN_MOVE_LIMIT = 4;
/** Moves per server that may start in one round of a larger service: a hot spot may need most of the servers. */
const MOVES_PER_SERVER = 0.67;
/**
 * Moves that may start in one round of any service: the ranges changed by one write should fit into a
 * datagram to each entry VM.
 */
const MAX_MOVES = 24;
/** Time between two balancing rounds, in milliseconds. */
const BALANCE_INTERVAL_MILLISECONDS = 300;
/** Time without a newly registered server after which the first keys are assigned, in milliseconds. */
const STARTUP_QUIET_MILLISECONDS = 800;
/** Time after the first registered server at which the first keys are assigned in any case, in milliseconds. */
const STARTUP_TIMEOUT_MILLISECONDS = 4_000;
/** Maximum number of ranges per server, averaged over the service. */
const MAX_RANGES_PER_SERVER = 6;
/** Maximum number of ranges of a service. One process renews the lease of each range once a second. */
const MAX_RANGES = 600;

/** Whether a server may own keys. */
export type AssignablePhase =
  | 'ready'
  /** Keeps its keys until they are moved, and receives none. */
  | 'evacuated'
  /** Gives up its keys at once. */
  | 'leaving';

/** A server of the service as announced in the registry. */
export interface RegisteredServer extends CandidateServer {
  readonly phase: AssignablePhase;
}

export interface KeyAssignerOptions {
  readonly service: string;
  readonly store: RowStore;
  readonly client: KeyGrantClient;
  readonly logger: Logger;
  readonly assignerLease: AssignerLease;
  /** Version of the row that records this process as the assigner. */
  readonly assignerRowVersion: number;
  /** Lowest revision of the first assignment that is written. */
  readonly minRevision: number;
  /** Time at which the lease of the previous assigner ends, on the monotonic clock. */
  readonly previousLeaseEndsAt: () => number;
  /** Servers of the service by id. */
  readonly servers: () => ReadonlyMap<string, RegisteredServer>;
  /** Whether a server that is absent from the registry can be assumed to have ended. */
  readonly isAbsenceReliable: () => boolean;
  readonly traffic: () => KeyTraffic;
  /** The newest part of the traffic. */
  readonly newestTraffic: () => KeyTraffic;
  /** Called after an assignment was written, with its difference from the previous one. */
  readonly onDidWrite: (delta: KeyAssignmentDelta, rowVersion: number) => void;
  /** Called when another process has written the assignment or has become the assigner. */
  readonly onDidLoseTerm: (reason: string) => void;
}

/** A range that no server can hold any more. */
interface FreeRange {
  readonly from: number;
  readonly to: number;
  readonly handover: string | undefined;
  /** Server that a planned move gives the range to. */
  readonly newOwnerId: string | undefined;
}

/** An assignment and its leases. The write is retried unchanged until its outcome is known. */
interface PendingWrite {
  readonly assignment: KeyAssignment;
  readonly leases: readonly RangeLease[];
}

/**
 * Assigns the keys of one service to servers, and grants and revokes the leases of their key ranges. Runs only in the
 * process that is the elected assigner.
 */
export class KeyAssigner {
  readonly #options: KeyAssignerOptions;
  #writtenAssignment: KeyAssignment;
  #rowVersion: number;
  #leases: readonly RangeLease[] = [];
  /** New owners of the ranges that are being moved. */
  #destinations = new Map<RangeLease, string>();
  #pendingWrite: PendingWrite | undefined;
  #isTakeover: boolean;
  #isWriting = false;
  /** Whether an earlier attempt of the pending write may have been applied. */
  #mayHaveApplied = false;
  readonly #suspicions = new ServerSuspicions();
  #nextBalanceAt = 0;
  readonly #evacuationRounds = new EvacuationRounds();
  readonly #hotKeyMoves = new HotKeyMoves();
  #lastTickAt = performance.now();
  /** Time since which this process has been running without a pause. */
  #runningSince = Number.NEGATIVE_INFINITY;
  #firstServerAt: number | undefined;
  #startupServerCount = 0;
  #startupServerCountChangedAt = 0;

  constructor(options: KeyAssignerOptions, stored: StoredAssignment) {
    this.#options = options;
    this.#writtenAssignment = stored.assignment;
    this.#rowVersion = presentRowVersion(stored, eraOf(options.assignerRowVersion));
    this.#isTakeover = stored.rowVersion > 0;
  }

  get leases(): readonly RangeLease[] {
    return this.#leases;
  }

  /** Sends due commands, starts moves and reassigns free ranges. Called about ten times a second. */
  tick(): void {
    const now = performance.now();
    if (now - this.#lastTickAt > keyOwnershipTiming.processPauseMilliseconds) {
      this.#runningSince = now;
    }
    this.#lastTickAt = now;
    const servers = this.#options.servers();
    if (!this.#isTakeover) {
      this.#sendDueCommands(now, servers);
      this.#evacuate(now, servers);
      this.#balance(now, servers);
    }
    if (!this.#isWriting && this.#options.assignerLease.isValid()) {
      this.#pendingWrite ??= this.#isTakeover ? this.#planTakeover() : this.#planWrite(now, servers);
      if (this.#pendingWrite !== undefined) {
        void this.#write(this.#pendingWrite);
      }
    }
  }

  #sendDueCommands(now: number, servers: ReadonlyMap<string, RegisteredServer>): void {
    for (const lease of this.#leases) {
      const server = servers.get(lease.range.ownerId);
      this.#checkOwner(lease, server, now);
      void lease.sendDueCommand(ownerState(lease, server), now).catch((error: unknown) => {
        this.#options.logger.log('error', 'command-failed', { reason: describeError(error) });
      });
    }
  }

  #checkOwner(lease: RangeLease, server: RegisteredServer | undefined, now: number): void {
    if (server === undefined) {
      if (this.#options.isAbsenceReliable()) {
        lease.revoke('server absent from the registry');
      }
    } else if (server.incarnation > lease.range.ownerIncarnation) {
      lease.revoke('server restarted');
    } else if (server.phase === 'leaving' && server.incarnation === lease.range.ownerIncarnation) {
      lease.revoke('server leaving');
    } else if (lease.isOwnerUnresponsive(now, this.#runningSince) && lease.goal === 'renew') {
      lease.revoke('server unresponsive');
      this.#suspicions.record(server, now);
    } else if (lease.isConfirmed && lease.goal === 'renew') {
      this.#suspicions.clear(server);
    }
  }

  /** Starts moves of keys out of evacuated availability zones. */
  #evacuate(now: number, servers: ReadonlyMap<string, RegisteredServer>): void {
    const evacuated = [...servers.values()].filter(({ phase }) => phase === 'evacuated');
    // A pending write replaces the leases once it is done.
    if (evacuated.length === 0 || this.#pendingWrite !== undefined) {
      return;
    }
    const evacuatedIds = new Set(evacuated.map(({ id }) => id));
    const ranges = this.#rangesAfterMoves(
      (lease) => this.#destinations.has(lease) || !evacuatedIds.has(lease.range.ownerId) || canMove(lease),
    );
    const moves = this.#evacuationRounds.nextMoves(
      now,
      ranges,
      evacuatedIds,
      this.#readyServers(servers, now),
      this.#options.traffic,
    );
    for (const move of moves) {
      this.#startMove(move);
    }
    if (moves.length > 0) {
      const { logger, service } = this.#options;
      const left = this.#rangesAfterMoves().filter(({ ownerId }) => evacuatedIds.has(ownerId)).length;
      logger.log('info', 'evacuation-round', { service, moves: moves.length, rangesLeft: left });
    }
  }

  #balance(now: number, registered: ReadonlyMap<string, RegisteredServer>): void {
    if (now < this.#nextBalanceAt || this.#pendingWrite !== undefined) {
      return;
    }
    this.#nextBalanceAt = now + BALANCE_INTERVAL_MILLISECONDS;
    const servers = this.#readyServers(registered, now);
    const traffic = this.#options.traffic();
    const hotKeyMoves = this.#moveHotKeys(now, servers, traffic);
    const maxRanges = Math.min(MAX_RANGES, MAX_RANGES_PER_SERVER * servers.length);
    // Each move splits a range into at most three parts.
    const maxMoves = Math.min(
      Math.max(MIN_MOVE_LIMIT, Math.ceil(servers.length * MOVES_PER_SERVER)),
      MAX_MOVES - hotKeyMoves,
      Math.max(0, Math.floor((maxRanges - this.#leases.length) / 2)),
    );
    for (const move of planMoves(this.#rangesAfterMoves(), servers, traffic, maxMoves)) {
      this.#startMove(move);
    }
  }

  /** @returns the number of moves that were started. */
  #moveHotKeys(now: number, servers: readonly RegisteredServer[], traffic: KeyTraffic): number {
    const { service, logger, newestTraffic } = this.#options;
    let count = 0;
    const ranges = this.#rangesAfterMoves();
    for (const move of this.#hotKeyMoves.nextMoves(now, ranges, servers, traffic, newestTraffic())) {
      if (this.#startMove(move)) {
        count += 1;
        this.#hotKeyMoves.recordStart(move);
        logger.log('info', 'hot-key-moved', {
          service,
          key: move.from,
          from: move.range.ownerId,
          to: move.newOwnerId,
          demand: Math.round(move.demand),
          gain: Math.round(move.gain),
        });
      }
    }
    return count;
  }

  /** Ranges with the owners that they have once the moves in progress are complete. */
  #rangesAfterMoves(isIncluded: (lease: RangeLease) => boolean = () => true): readonly OwnedRange[] {
    return this.#leases.filter(isIncluded).map((lease) => {
      const destination = this.#destinations.get(lease);
      return destination === undefined ? lease.range : { ...lease.range, ownerId: destination };
    });
  }

  /**
   * Splits off the moving part of a range and revokes its lease. The remaining parts keep their lease and fence.
   * @returns false if the range cannot move now.
   */
  #startMove({ from, to, newOwnerId }: PlannedMove): boolean {
    const lease = this.#leases.find(({ range }) => range.from <= from && to <= range.to);
    if (lease === undefined || !canMove(lease)) {
      return false;
    }
    const { range } = lease;
    const pieces = [
      { from: range.from, to: from - 1 },
      { from, to },
      { from: to + 1, to: range.to },
    ].filter((piece) => piece.from <= piece.to);
    const parts = pieces.map((piece) => lease.forSubrange({ ...range, ...piece }));
    this.#leases = this.#leases.flatMap((other) => (other === lease ? parts : [other]));
    const moving = parts.find((part) => part.range.from === from);
    if (moving === undefined) {
      throw new InvariantError(
        `keys ${from.toString()} to ${to.toString()} are none of the parts of the split range`,
      );
    }
    this.#destinations.set(moving, newOwnerId);
    moving.revoke(`ownership transfer to ${newOwnerId}`);
    return true;
  }

  #readyServers(servers: ReadonlyMap<string, RegisteredServer>, now: number): readonly RegisteredServer[] {
    const newestOwners = new Map<string, number>();
    for (const { range } of this.#leases) {
      const known = newestOwners.get(range.ownerId) ?? 0;
      newestOwners.set(range.ownerId, Math.max(known, range.ownerIncarnation));
    }
    return [...servers.values()].filter(
      (server) =>
        server.phase === 'ready' &&
        server.incarnation >= (newestOwners.get(server.id) ?? 0) &&
        !this.#suspicions.isSuspected(server, now),
    );
  }

  /** Renews all leases under new fences, so that servers reject late commands of the previous assigner. */
  #planTakeover(): PendingWrite {
    const revision = this.#nextRevision();
    const previousCommandsExpireAt = (): number =>
      this.#options.previousLeaseEndsAt() + expiryMilliseconds(keyOwnershipTiming.leaseMilliseconds);
    const ranges = this.#writtenAssignment.ranges.map((range) => ({ ...range, fence: revision }));
    const leases = ranges.map((range) => this.#createLease(range, previousCommandsExpireAt, undefined));
    return { assignment: { revision, ranges }, leases };
  }

  /** A revision above all that may have been written. */
  #nextRevision(): number {
    const { minRevision, assignerRowVersion } = this.#options;
    const firstOfEra = firstRevisionOfEra(eraOf(assignerRowVersion));
    return Math.max(this.#writtenAssignment.revision + 1, minRevision, firstOfEra);
  }

  #planWrite(now: number, servers: ReadonlyMap<string, RegisteredServer>): PendingWrite | undefined {
    const revision = this.#nextRevision();
    const free: FreeRange[] = [];
    const freed: RangeLease[] = [];
    const kept: RangeLease[] = [];
    let isChanged = false;
    for (const lease of this.#leases) {
      const server = servers.get(lease.range.ownerId);
      if (lease.isFree(ownerState(lease, server), now)) {
        freed.push(lease);
        const { from, to } = lease.range;
        free.push({ from, to, handover: lease.handover, newOwnerId: this.#destinations.get(lease) });
      } else if (lease.isFenced || lease.needsNewFence(now)) {
        isChanged = true;
        kept.push(this.#withNewFence(lease, revision));
      } else {
        kept.push(lease);
      }
    }
    const granted = this.#assignFreeRanges(free, kept, revision, this.#readyServers(servers, now), now);
    if (granted.length === 0 && !isChanged) {
      return undefined;
    }
    freed.forEach((lease) => {
      lease.retire();
    });
    const leases = [...this.#mergeAdjacentRanges(kept, revision), ...granted].sort(
      (left, right) => left.range.from - right.range.from,
    );
    return { assignment: { revision, ranges: leases.map(({ range }) => range) }, leases };
  }

  #withNewFence(lease: RangeLease, revision: number): RangeLease {
    const range = { ...lease.range, fence: revision };
    const successor = this.#createLease(range, () => lease.expiresAt, undefined);
    if (lease.goal === 'revoke') {
      successor.revoke('revocation continues under a new fence');
    }
    return successor;
  }

  /** Merges adjacent ranges with the same owner, which keeps the number of ranges bounded. */
  #mergeAdjacentRanges(kept: readonly RangeLease[], revision: number): readonly RangeLease[] {
    const merged: RangeLease[] = [];
    for (const lease of kept) {
      const previous = merged.at(-1);
      if (previous !== undefined && this.#canMerge(previous, lease)) {
        const range = { ...previous.range, to: lease.range.to, fence: revision };
        const expiresAt = (): number => Math.max(previous.expiresAt, lease.expiresAt);
        merged[merged.length - 1] = this.#createLease(range, expiresAt, undefined);
      } else {
        merged.push(lease);
      }
    }
    return merged;
  }

  #canMerge(left: RangeLease, right: RangeLease): boolean {
    return (
      canMove(left) &&
      canMove(right) &&
      left.range.to + 1 === right.range.from &&
      left.range.ownerId === right.range.ownerId &&
      left.range.ownerIncarnation === right.range.ownerIncarnation &&
      left.range.ownerAddress === right.range.ownerAddress
    );
  }

  #assignFreeRanges(
    free: readonly FreeRange[],
    kept: readonly RangeLease[],
    revision: number,
    servers: readonly RegisteredServer[],
    now: number,
  ): readonly RangeLease[] {
    const keptRanges = kept.map(({ range }) => range);
    if (servers.length === 0 || (free.length === 0 && keptRanges.length > 0)) {
      return [];
    }
    if (keptRanges.length === 0 && free.length === 0 && this.#isStartingUp(servers.length, now)) {
      return [];
    }
    const byId = new Map(servers.map((server) => [server.id, server]));
    const transfers = free.flatMap(({ from, to, handover, newOwnerId }) => {
      const owner = newOwnerId === undefined ? undefined : byId.get(newOwnerId);
      return owner === undefined ? [] : [{ from, to, handover, owner }];
    });
    const transferredRanges = transfers.map(({ from, to, owner }) =>
      createOwnedRange(from, to, owner, revision),
    );
    const taken = [...keptRanges, ...transferredRanges].sort((left, right) => left.from - right.from);
    const remaining = planUnownedKeys(taken, servers).map(({ from, to, owner }) => ({
      from,
      to,
      owner,
      handover: findHandover(free, from, to),
    }));
    // A handover belongs to the whole range that was released; a part of that range is granted without it.
    return [...transfers, ...remaining].map(({ from, to, owner, handover }) =>
      this.#createLease(createOwnedRange(from, to, owner, revision), neverGranted, handover),
    );
  }

  /** Whether servers are still registering at the start of the service. */
  #isStartingUp(count: number, now: number): boolean {
    this.#firstServerAt ??= now;
    if (count !== this.#startupServerCount) {
      this.#startupServerCount = count;
      this.#startupServerCountChangedAt = now;
    }
    return (
      now - this.#startupServerCountChangedAt < STARTUP_QUIET_MILLISECONDS &&
      now - this.#firstServerAt < STARTUP_TIMEOUT_MILLISECONDS
    );
  }

  async #write(pending: PendingWrite): Promise<void> {
    const { service, store, logger, assignerRowVersion, onDidLoseTerm } = this.#options;
    this.#isWriting = true;
    try {
      const version = await writeAssignment(
        store,
        service,
        pending.assignment,
        this.#rowVersion,
        assignerRowVersion,
      );
      const writtenVersion = version ?? (await this.#findAppliedWrite(pending));
      if (writtenVersion === undefined) {
        onDidLoseTerm(`the assignment of ${service} or its assigner was changed by another process`);
        return;
      }
      this.#mayHaveApplied = false;
      this.#completeWrite(pending, writtenVersion);
    } catch (error) {
      this.#mayHaveApplied ||= !(error instanceof PlatformUnavailableError) || error.mayHaveApplied;
      logger.log('warn', 'assignment-not-written', { service, reason: describeError(error) });
    } finally {
      this.#isWriting = false;
    }
  }

  /**
   * Finds out whether a write that conflicted was applied by an earlier attempt whose response was lost.
   * @returns the version of the row, or undefined when another process has written it.
   */
  async #findAppliedWrite({ assignment }: PendingWrite): Promise<number | undefined> {
    if (!this.#mayHaveApplied) {
      return undefined;
    }
    const { store, service } = this.#options;
    const row = await readAssignmentRow(store, service);
    return row?.value === encodeAssignment(assignment) ? row.version : undefined;
  }

  #completeWrite({ assignment, leases }: PendingWrite, rowVersion: number): void {
    this.#pendingWrite = undefined;
    const delta = diffAssignments(this.#writtenAssignment, assignment);
    this.#writtenAssignment = assignment;
    this.#rowVersion = rowVersion;
    this.#isTakeover = false;
    const now = performance.now();
    const previousLeases = new Set(this.#leases);
    leases
      .filter((lease) => !previousLeases.has(lease))
      .forEach((lease) => {
        lease.start(now);
      });
    this.#leases = leases;
    for (const lease of this.#destinations.keys()) {
      if (!leases.includes(lease)) {
        this.#destinations.delete(lease);
      }
    }
    this.#options.logger.log('info', 'assignment-written', {
      service: this.#options.service,
      revision: assignment.revision,
      rowVersion,
      ranges: leases.length,
      changed: leases.filter(({ range }) => range.fence === assignment.revision).length,
    });
    this.#options.onDidWrite(delta, rowVersion);
    this.#sendDueCommands(now, this.#options.servers());
  }

  #createLease(
    range: OwnedRange,
    lowerFencesExpireAt: () => number,
    handover: string | undefined,
  ): RangeLease {
    const { service, client, assignerLease, logger } = this.#options;
    return new RangeLease(service, range, client, assignerLease, logger, lowerFencesExpireAt, handover);
  }
}

/**
 * A restarted process has lost the leases of its predecessor. If it listens on the same address, however, renewals
 * that were sent before the restart was known may have reached it. It must then release the keys like any other owner.
 * The registry may also name a former incarnation of the owner, whose announcement the store wrote late: the one with the
 * later start time is the present one.
 */
function ownerState({ range }: RangeLease, server: RegisteredServer | undefined): OwnerState {
  const hasRestarted = server !== undefined && server.incarnation > range.ownerIncarnation;
  return {
    hasEnded: hasRestarted && server.address !== range.ownerAddress,
    isAbsent: server === undefined,
    endpoint: { serverId: range.ownerId, address: range.ownerAddress },
  };
}

/** Whether the range may be split, moved or merged now. */
function canMove({ goal, isConfirmed, isInFlight }: RangeLease): boolean {
  return goal === 'renew' && isConfirmed && !isInFlight;
}

function findHandover(free: readonly FreeRange[], from: number, to: number): string | undefined {
  return free.find((keys) => keys.from === from && keys.to === to)?.handover;
}
