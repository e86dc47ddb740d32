import { describeError, InvariantError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { RowStore } from '@hickoryhoist/store/common/rowStore.js';
import { PlatformUnavailableError } from '@hickoryhoist/store/common/tableService.js';
import { encodeAssignment } from './assignmentRow.js';
import { readAssignmentRow, type StoredAssignment, writeAssignment } from './assignmentStore.js';
import type { KeyAssignment, OwnedRange } from './keyAssignment.js';
import { diffAssignments, type KeyAssignmentDelta } from './keyAssignmentDelta.js';
import type { KeyGrantClient } from './keyGrantClient.js';
import {
  type KeyTraffic,
  type PlannedMove,
  type CandidateServer,
  planUnownedKeys,
  planMoves,
} from './keyPlanner.js';
import { keyOwnershipTiming, lapseMilliseconds } from './keyOwnershipTiming.js';
import { type AssignerLease, type HoldingOwner, RangeHolding } from './rangeHolding.js';

/** Moves that begin at a time at most, so that a change of load does not upset all servers at once. */
const LEAST_MOVES = 4;
/** The same for each server of a larger service: a sudden crowd on some keys may need most of the servers. */
const MOVES_PER_SERVER = 0.67;
/** The same for any service: the ranges changed by one write should fit into a datagram to each entry VM. */
const MOST_MOVES = 24;
/** Time between looks at the balance, in milliseconds. */
const BALANCE_MILLISECONDS = 300;
/** Time without a new server after which the first servers count as complete, in milliseconds. */
const FIRST_SERVERS_QUIET_MILLISECONDS = 800;
/** Longest time for which the first servers are waited for, in milliseconds. */
const FIRST_SERVERS_MILLISECONDS = 4_000;
/** Ranges for each server at most. */
const MOST_RANGES_PER_SERVER = 6;
/** Ranges of a service at most: each is renewed once a second, by one process. */
const MOST_RANGES = 600;

/** Time for which a server that was silent gets no keys, in milliseconds; doubles each time. */
const FIRST_SUSPICION_MILLISECONDS = 8_000;
const LONGEST_SUSPICION_MILLISECONDS = 32_000;

/** A server as the assigner sees it. */
export interface RegisteredServer extends CandidateServer {
  readonly phase: 'ready' | 'leaving';
}

/** What an assigner of keys works with. */
export interface KeyAssignerOptions {
  readonly service: string;
  readonly store: RowStore;
  readonly client: KeyGrantClient;
  readonly logger: Logger;
  readonly assignerLease: AssignerLease;
  /** Version of the row that names this process as the assigner. */
  readonly assignerRowVersion: number;
  /** Time until which an earlier assigner may still order servers, on the monotonic clock. */
  readonly previousLeaseEndsAt: () => number;
  /** Servers of the service by id. */
  readonly servers: () => ReadonlyMap<string, RegisteredServer>;
  /** Whether a missing server may be taken for gone. */
  readonly isAbsenceReliable: () => boolean;
  readonly traffic: () => KeyTraffic;
  /** Called when a change has been written, so that others can be told. */
  readonly onDidWrite: (change: KeyAssignmentDelta, rowVersion: number) => void;
  /** Called when the row was changed by somebody else. */
  readonly onDidLoseTerm: (reason: string) => void;
}

interface FreeKeys {
  readonly from: number;
  readonly to: number;
  readonly handover: string | undefined;
  readonly newOwnerId: string | undefined;
}

/** A write that is repeated unchanged until its outcome is known. */
interface PendingWrite {
  readonly assignment: KeyAssignment;
  readonly holdings: readonly RangeHolding[];
}

/** Decides who owns the keys of one service, and has servers told. One process does this at a time. */
export class KeyAssigner {
  readonly #options: KeyAssignerOptions;
  #written: KeyAssignment;
  #rowVersion: number;
  #holdings: readonly RangeHolding[] = [];
  #destinations = new Map<RangeHolding, string>();
  #pending: PendingWrite | undefined;
  #isTakeover: boolean;
  #isWriting = false;
  #mayHaveApplied = false;
  readonly #suspicions = new Map<string, { until: number; length: number }>();
  #nextBalanceAt = 0;
  #lastTickAt = performance.now();
  #runningSince = Number.NEGATIVE_INFINITY;
  #firstServerAt: number | undefined;
  #gatheredServers = 0;
  #gatheredAt = 0;

  constructor(options: KeyAssignerOptions, stored: StoredAssignment) {
    this.#options = options;
    this.#written = stored.assignment;
    this.#rowVersion = stored.rowVersion;
    this.#isTakeover = stored.rowVersion > 0;
  }

  get holdings(): readonly RangeHolding[] {
    return this.#holdings;
  }

  /** Sends what is due, and writes and grants what became free. Called some ten times a second. */
  tick(): void {
    const now = performance.now();
    if (now - this.#lastTickAt > keyOwnershipTiming.pause) {
      this.#runningSince = now;
    }
    this.#lastTickAt = now;
    if (!this.#isTakeover) {
      this.#advanceHoldings(now);
      this.#balance(now);
    }
    if (!this.#isWriting && this.#options.assignerLease.isValid()) {
      this.#pending ??= this.#isTakeover ? this.#planTakeover() : this.#planWrite(now);
      if (this.#pending !== undefined) {
        void this.#write(this.#pending);
      }
    }
  }

  #advanceHoldings(now: number): void {
    const servers = this.#options.servers();
    for (const holding of this.#holdings) {
      const server = servers.get(holding.range.ownerId);
      this.#judgeOwner(holding, server, now);
      void holding.advance(ownerOf(holding, server), now).catch((error: unknown) => {
        this.#options.logger.log('error', 'order-failed', { reason: describeError(error) });
      });
    }
  }

  #judgeOwner(holding: RangeHolding, server: RegisteredServer | undefined, now: number): void {
    if (server === undefined) {
      if (this.#options.isAbsenceReliable()) {
        holding.giveUp('server missing');
      }
    } else if (server.incarnation !== holding.range.ownerIncarnation) {
      holding.giveUp('server restarted');
    } else if (server.phase === 'leaving') {
      holding.giveUp('server leaving');
    } else if (holding.isLost(now, this.#runningSince) && holding.goal === 'keep') {
      holding.giveUp('server silent');
      this.#suspect(server, now);
    } else if (holding.isConfirmed && holding.goal === 'keep') {
      this.#suspicions.delete(incarnationKey(server));
    }
  }

  #suspect(server: RegisteredServer, now: number): void {
    const key = incarnationKey(server);
    const before = this.#suspicions.get(key);
    if (before !== undefined && now < before.until) {
      return;
    }
    const length =
      before === undefined
        ? FIRST_SUSPICION_MILLISECONDS
        : Math.min(2 * before.length, LONGEST_SUSPICION_MILLISECONDS);
    this.#suspicions.set(key, { until: now + length, length });
  }

  #balance(now: number): void {
    if (now < this.#nextBalanceAt || this.#pending !== undefined) {
      return;
    }
    this.#nextBalanceAt = now + BALANCE_MILLISECONDS;
    const servers = this.#readyServers();
    const mostRanges = Math.min(MOST_RANGES, MOST_RANGES_PER_SERVER * servers.length);
    // Each move cuts a range into three at most.
    const mostMoves = Math.min(
      Math.max(LEAST_MOVES, Math.ceil(servers.length * MOVES_PER_SERVER)),
      MOST_MOVES,
      Math.max(0, Math.floor((mostRanges - this.#holdings.length) / 2)),
    );
    for (const move of planMoves(this.#destinedRanges(), servers, this.#options.traffic(), mostMoves)) {
      this.#begin(move);
    }
  }

  /** Ranges with the owners that they will have once the moves that have begun are made. */
  #destinedRanges(): readonly OwnedRange[] {
    return this.#holdings.map((holding) => {
      const destination = this.#destinations.get(holding);
      return destination === undefined ? holding.range : { ...holding.range, ownerId: destination };
    });
  }

  /** Cuts a part out of a range and starts to take it back. The rest stays granted under the same fence. */
  #begin({ from, to, newOwnerId }: PlannedMove): void {
    const holding = this.#holdings.find(({ range }) => range.from <= from && to <= range.to);
    if (holding?.goal !== 'keep' || !holding.isConfirmed || holding.isInFlight) {
      return;
    }
    const { range } = holding;
    const pieces = [
      { from: range.from, to: from - 1 },
      { from, to },
      { from: to + 1, to: range.to },
    ].filter((piece) => piece.from <= piece.to);
    const parts = pieces.map((piece) => holding.part({ ...range, ...piece }));
    this.#holdings = this.#holdings.flatMap((other) => (other === holding ? parts : [other]));
    const moving = parts.find((part) => part.range.from === from);
    if (moving === undefined) {
      throw new InvariantError(`keys ${from.toString()} to ${to.toString()} are not a part of their range`);
    }
    this.#destinations.set(moving, newOwnerId);
    moving.giveUp(`moves to ${newOwnerId}`);
  }

  #readyServers(): readonly RegisteredServer[] {
    const now = performance.now();
    return [...this.#options.servers().values()].filter(
      (server) =>
        server.phase === 'ready' && now >= (this.#suspicions.get(incarnationKey(server))?.until ?? 0),
    );
  }

  /** Renews everything under new fences, so that what an earlier assigner still sends is void. */
  #planTakeover(): PendingWrite {
    const revision = this.#written.revision + 1;
    const until = (): number =>
      this.#options.previousLeaseEndsAt() + lapseMilliseconds(keyOwnershipTiming.hold);
    const ranges = this.#written.ranges.map((range) => ({ ...range, fence: revision }));
    const holdings = ranges.map((range) => this.#holding(range, until, undefined));
    return { assignment: { revision, ranges }, holdings };
  }

  #planWrite(now: number): PendingWrite | undefined {
    const servers = this.#options.servers();
    const revision = this.#written.revision + 1;
    const free: FreeKeys[] = [];
    const kept: RangeHolding[] = [];
    let isChanged = false;
    for (const holding of this.#holdings) {
      const server = servers.get(holding.range.ownerId);
      if (holding.isFree(ownerOf(holding, server), now)) {
        const { from, to } = holding.range;
        free.push({ from, to, handover: holding.handover, newOwnerId: this.#destinations.get(holding) });
      } else if (holding.isFenced || holding.wantsNewFence(now)) {
        isChanged = true;
        kept.push(this.#refence(holding, revision));
      } else {
        kept.push(holding);
      }
    }
    const granted = this.#grantFree(free, kept, revision, now);
    if (granted.length === 0 && !isChanged) {
      return undefined;
    }
    const holdings = [...this.#mergeNeighbours(kept, revision), ...granted].sort(
      (left, right) => left.range.from - right.range.from,
    );
    return { assignment: { revision, ranges: holdings.map(({ range }) => range) }, holdings };
  }

  #refence(holding: RangeHolding, revision: number): RangeHolding {
    const { effectUntil } = holding;
    const successor = this.#holding({ ...holding.range, fence: revision }, () => effectUntil, undefined);
    if (holding.goal === 'give-up') {
      successor.giveUp('under a new fence');
    }
    return successor;
  }

  /** Makes one range of neighbouring ones with the same owner, so that ranges do not grow in number for ever. */
  #mergeNeighbours(kept: readonly RangeHolding[], revision: number): readonly RangeHolding[] {
    const merged: RangeHolding[] = [];
    for (const holding of kept) {
      const before = merged.at(-1);
      if (before !== undefined && this.#mayMerge(before, holding)) {
        const range = { ...before.range, to: holding.range.to, fence: revision };
        const effectUntil = Math.max(before.effectUntil, holding.effectUntil);
        merged[merged.length - 1] = this.#holding(range, () => effectUntil, undefined);
      } else {
        merged.push(holding);
      }
    }
    return merged;
  }

  #mayMerge(left: RangeHolding, right: RangeHolding): boolean {
    const isSettled = [left, right].every(
      (holding) => holding.goal === 'keep' && holding.isConfirmed && !holding.isInFlight,
    );
    return (
      isSettled &&
      left.range.to + 1 === right.range.from &&
      left.range.ownerId === right.range.ownerId &&
      left.range.ownerIncarnation === right.range.ownerIncarnation &&
      left.range.ownerAddress === right.range.ownerAddress
    );
  }

  #grantFree(
    free: readonly FreeKeys[],
    kept: readonly RangeHolding[],
    revision: number,
    now: number,
  ): readonly RangeHolding[] {
    const servers = this.#readyServers();
    const keptRanges = kept.map(({ range }) => range);
    if (servers.length === 0 || (free.length === 0 && keptRanges.length > 0)) {
      return [];
    }
    if (keptRanges.length === 0 && free.length === 0 && this.#isGathering(servers.length, now)) {
      return [];
    }
    const byId = new Map(servers.map((server) => [server.id, server]));
    const directed = free.flatMap(({ from, to, handover, newOwnerId }) => {
      const owner = newOwnerId === undefined ? undefined : byId.get(newOwnerId);
      return owner === undefined ? [] : [{ from, to, handover, owner }];
    });
    const directedRanges = directed.map(({ from, to, owner }) => rangeFor(from, to, owner, revision));
    const taken = [...keptRanges, ...directedRanges].sort((left, right) => left.from - right.from);
    const rest = planUnownedKeys(taken, servers).map(({ from, to, owner }) => ({
      from,
      to,
      owner,
      handover: handoverOf(free, from, to),
    }));
    // A piece of a handed over range may go with the whole range's handover only if it is the whole range.
    return [...directed, ...rest].map(({ from, to, owner, handover }) =>
      this.#holding(rangeFor(from, to, owner, revision), () => Number.NEGATIVE_INFINITY, handover),
    );
  }

  /** Whether the first servers of a service are still arriving. */
  #isGathering(count: number, now: number): boolean {
    this.#firstServerAt ??= now;
    if (count !== this.#gatheredServers) {
      this.#gatheredServers = count;
      this.#gatheredAt = now;
    }
    return (
      now - this.#gatheredAt < FIRST_SERVERS_QUIET_MILLISECONDS &&
      now - this.#firstServerAt < FIRST_SERVERS_MILLISECONDS
    );
  }

  async #write(pending: PendingWrite): Promise<void> {
    const { service, store, logger, assignerRowVersion, onDidLoseTerm: onDeposed } = this.#options;
    this.#isWriting = true;
    try {
      const version = await writeAssignment(
        store,
        service,
        pending.assignment,
        this.#rowVersion,
        assignerRowVersion,
      );
      const adopted = version ?? (await this.#findApplied(pending));
      if (adopted === undefined) {
        onDeposed(`the assignment of ${service} has changed`);
        return;
      }
      this.#mayHaveApplied = false;
      this.#adopt(pending, adopted);
    } catch (error) {
      this.#mayHaveApplied ||= !(error instanceof PlatformUnavailableError) || error.mayHaveApplied;
      logger.log('warn', 'assignment-not-written', { service, reason: describeError(error) });
    } finally {
      this.#isWriting = false;
    }
  }

  /** After a lost answer, a conflict may be with the same write. @returns the version of its row. */
  async #findApplied({ assignment }: PendingWrite): Promise<number | undefined> {
    if (!this.#mayHaveApplied) {
      return undefined;
    }
    const { store, service } = this.#options;
    const row = await readAssignmentRow(store, service);
    return row?.value === encodeAssignment(assignment) ? row.version : undefined;
  }

  #adopt({ assignment, holdings }: PendingWrite, rowVersion: number): void {
    this.#pending = undefined;
    const change = diffAssignments(this.#written, assignment);
    this.#written = assignment;
    this.#rowVersion = rowVersion;
    this.#isTakeover = false;
    this.#holdings = holdings;
    for (const holding of this.#destinations.keys()) {
      if (!holdings.includes(holding)) {
        this.#destinations.delete(holding);
      }
    }
    this.#options.logger.log('info', 'assignment-written', {
      service: this.#options.service,
      revision: assignment.revision,
      rowVersion,
      ranges: holdings.length,
      changed: holdings.filter(({ range }) => range.fence === assignment.revision).length,
    });
    this.#options.onDidWrite(change, rowVersion);
    this.#advanceHoldings(performance.now());
  }

  #holding(range: OwnedRange, lowerFencesUntil: () => number, handover: string | undefined): RangeHolding {
    const { service, client, assignerLease: right, logger } = this.#options;
    return new RangeHolding(service, range, client, right, logger, lowerFencesUntil, handover);
  }
}

/**
 * A process that restarted holds nothing of before. When it is at the same address, though, it may have been sent
 * renewals before its restart was known, so that it has to release the keys like any other owner.
 */
function ownerOf({ range }: RangeHolding, server: RegisteredServer | undefined): HoldingOwner {
  const hasRestarted = server !== undefined && server.incarnation !== range.ownerIncarnation;
  return {
    hasEnded: hasRestarted && server.address !== range.ownerAddress,
    isMissing: server === undefined,
    target: { serverId: range.ownerId, address: range.ownerAddress },
  };
}

function incarnationKey({ id, incarnation }: CandidateServer): string {
  return `${id}/${incarnation.toString()}`;
}

function rangeFor(from: number, to: number, owner: CandidateServer, fence: number): OwnedRange {
  const { id, incarnation, address } = owner;
  return { from, to, ownerId: id, ownerIncarnation: incarnation, ownerAddress: address, fence };
}

function handoverOf(free: readonly FreeKeys[], from: number, to: number): string | undefined {
  return free.find((keys) => keys.from === from && keys.to === to)?.handover;
}
