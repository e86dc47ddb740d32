import { randomUUID } from 'node:crypto';
import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError, InvariantError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { VersionedConfiguration } from '@hickoryhoist/configuration/common/configurationSnapshot.js';
import type { Assignment, EntryVm, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import { diffAssignments } from '@hickoryhoist/protocol/common/assignmentDelta.js';
import type {
  AssignerMessage,
  CrashSuspect,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import type { AssignmentPlanner } from './assignmentPlanner.js';
import type { AssignmentStore, HeldTerm } from './assignmentStore.js';
import { CrashSuspectMemory } from './crashSuspectMemory.js';
import { leaseTiming } from './leaseTiming.js';
import { mergeLoad } from './loadAggregation.js';
import { type FollowerSession, MemberRegistry } from './memberRegistry.js';
import { observationDigest } from './observationDigest.js';
import type { DesiredServer, Member, Observations } from './observations.js';
import type { FollowerConnection, FollowerListener, PeerClient } from './peerClient.js';
import { assertSafeTransition } from './safeTransition.js';
import type { ServerClient } from './serverClient.js';
import { ServerObserver } from './serverObserver.js';

const STEP_INTERVAL_MILLISECONDS = 50;

/** Maximum interval between two plans while nothing but the load changes. */
const MAXIMUM_PLAN_INTERVAL_MILLISECONDS = 1_000;

/** Time that a new assigner gives followers to connect before it admits the first servers or replaces renewers. */
const STARTUP_GRACE_MILLISECONDS = 800;

/** Dependencies of an assigner. */
export interface AssignerOptions {
  readonly group: string;
  readonly self: EntryVm;
  readonly sliceCount: number;
  readonly heldTerm: HeldTerm;
  readonly store: AssignmentStore;
  readonly planner: AssignmentPlanner;
  readonly servers: ServerClient;
  readonly peers: PeerClient;
  readonly logger: Logger;
  /** Returns the servers that should be in the group at present. */
  readonly desiredServers: (members: readonly Member[]) => readonly DesiredServer[];
  /** Combines the crash suspects of all followers into the fingerprints that every gateway must refuse. */
  readonly findCrashingRequests: (suspects: readonly (readonly CrashSuspect[])[]) => readonly string[];
  /** Newest configuration, which is distributed to every follower. */
  readonly configuration: () => VersionedConfiguration | undefined;
}

/** State of one server for the status page of operators. */
export interface ServerStatus {
  readonly server: ServerRecord;
  readonly ownedUnits: number;
  /** Identifiers of the entry VMs that must still confirm a revocation before the server's keys may move. */
  readonly waitingFor: readonly string[];
}

/**
 * Assigns the key slices and pinned keys of one group to servers while this process holds the term. A new
 * assignment is sent to servers and followers only after it has been stored. An assigner that has lost its term
 * fires `onDidLoseTerm` and must be disposed.
 */
export class Assigner extends DisposableBase {
  readonly #options: AssignerOptions;
  readonly #members = new MemberRegistry();
  readonly #crashSuspects = new CrashSuspectMemory();
  readonly #observers = new Map<string, ServerObserver>();
  readonly #onDidLoseTerm = this.register(new Emitter<void>());
  readonly #startedAt = performance.now();
  #assignment: Assignment | undefined;
  #plannedDigest = '';
  #plannedAt = Number.NEGATIVE_INFINITY;
  #isStoreReachable = true;

  readonly onDidLoseTerm = this.#onDidLoseTerm.event;

  constructor(options: AssignerOptions) {
    super();
    this.#options = options;
    const log = (event: string) => (error: unknown) => {
      const fields = { group: options.group, error: describeError(error) };
      if (error instanceof InvariantError) {
        options.logger.log('error', 'invariant-violated', fields);
        return;
      }
      this.#isStoreReachable = false;
      options.logger.log('warn', event, fields);
    };
    this.register(
      repeat(
        () => STEP_INTERVAL_MILLISECONDS,
        () => this.#step(),
        log('assigner-step-failed'),
      ),
    );
    this.register(
      repeat(
        () => leaseTiming.heartbeatIntervalMilliseconds,
        () => this.#heartbeat(),
        log('assigner-heartbeat-failed'),
      ),
    );
    this.register(
      repeat(
        () => leaseTiming.reportIntervalMilliseconds,
        () => {
          this.#sendToAll();
        },
        log('assigner-send-failed'),
      ),
    );
    this.register(
      toDisposable(() => {
        this.#observers.forEach((observer) => {
          observer.dispose();
        });
      }),
    );
  }

  get term(): number {
    return this.#options.heldTerm.term;
  }

  get assignment(): Assignment | undefined {
    return this.#assignment;
  }

  get isStoreReachable(): boolean {
    return this.#isStoreReachable;
  }

  acceptFollower(connection: FollowerConnection): FollowerListener {
    const session = this.#members.open(connection);
    return {
      onReport: (report) => {
        const isFirst = session.entryVm === undefined;
        this.#members.record(session, report);
        if (isFirst) {
          this.#send(session, this.#messageHeader());
        }
        if (
          session.entryVm !== undefined &&
          this.#crashSuspects.record(session.entryVm, report.crashSuspects)
        ) {
          this.#sendToAll();
        }
      },
      onClose: () => {
        this.#members.close(session);
      },
    };
  }

  confirmLost(entryVmId: string, incarnation: string): boolean {
    return [...this.#observers.values()]
      .map((observer) => observer.confirmLost(entryVmId, incarnation))
      .some(Boolean);
  }

  serverStatus(): readonly ServerStatus[] {
    const assignment = this.#assignment;
    return (assignment?.servers ?? []).map((server) => ({
      server,
      ownedUnits: assignment?.owners.filter((owner) => owner === server.number).length ?? 0,
      waitingFor: this.#observers.get(server.address)?.unconfirmedRenewers.map(({ id }) => id) ?? [],
    }));
  }

  async #step(): Promise<void> {
    const { store, sliceCount, planner, heldTerm } = this.#options;
    this.#assignment ??= (await store.readAssignment()) ?? store.emptyAssignment(sliceCount);
    const current = this.#assignment;
    const observations = this.#observe(current);
    if ((current.servers.length === 0 && !observations.isStartupComplete) || !this.#isPlanDue(observations)) {
      return;
    }
    const draft = planner.plan(current, observations);
    if (!draft.isChanged || this.isDisposed()) {
      return;
    }
    const next = draft.build(heldTerm.term, randomUUID());
    assertSafeTransition(current, next, observations);
    this.#plannedDigest = '';
    const result = await store.writeAssignment(heldTerm, next);
    this.#isStoreReachable = true;
    switch (result) {
      case 'written':
        this.#publish(next);
        break;
      case 'term-lost':
        this.#onDidLoseTerm.fire();
    }
  }

  /** A plan is due when an observation has changed, and at a regular interval to balance the load. */
  #isPlanDue(observations: Observations): boolean {
    const digest = observationDigest(observations);
    const isChanged = digest !== this.#plannedDigest;
    const isOverdue = performance.now() - this.#plannedAt >= MAXIMUM_PLAN_INTERVAL_MILLISECONDS;
    if (!isChanged && !isOverdue) {
      return false;
    }
    this.#plannedDigest = digest;
    this.#plannedAt = performance.now();
    return true;
  }

  #publish(assignment: Assignment): void {
    const previous = this.#assignment;
    this.#assignment = assignment;
    this.#observers.forEach((observer) => {
      observer.applyAssignment(assignment);
    });
    this.#options.logger.log('info', 'assignment-written', {
      group: assignment.group,
      revision: assignment.revision,
      moved: assignment.owners.filter((owner, slice) => previous?.owners[slice] !== owner).length,
      releases: assignment.releases.length,
    });
    this.#sendToAll(previous);
  }

  #observe(assignment: Assignment): Observations {
    const sessions = this.#members.liveSessions();
    const members = this.#members.members();
    const desiredServers = this.#options.desiredServers(members);
    const addresses = new Set([
      ...desiredServers.map(({ address }) => address),
      ...assignment.servers.map(({ address }) => address),
    ]);
    this.#reconcileObservers(addresses, assignment);
    const records = new Map(assignment.servers.map((server) => [server.address, server]));
    const servers = [...this.#observers].map(([address, observer]) => {
      observer.update(records.get(address), sessions);
      return [address, observer.observe(records.get(address), sessions)] as const;
    });
    const reports = sessions.flatMap(({ load }) => (load === undefined ? [] : [load]));
    const isStartupComplete = performance.now() - this.#startedAt >= STARTUP_GRACE_MILLISECONDS;
    return {
      desiredServers,
      members,
      servers: new Map(servers),
      assignerId: this.#options.self.id,
      load: mergeLoad(reports, assignment.pins, assignment.owners.length),
      isStartupComplete,
    };
  }

  #reconcileObservers(addresses: ReadonlySet<string>, assignment: Assignment): void {
    const { group, servers, peers } = this.#options;
    for (const address of addresses) {
      if (!this.#observers.has(address)) {
        const observer = new ServerObserver(address, group, servers, peers);
        observer.applyAssignment(assignment);
        this.#observers.set(address, observer);
      }
    }
    for (const [address, observer] of this.#observers) {
      if (!addresses.has(address)) {
        observer.dispose();
        this.#observers.delete(address);
      }
    }
  }

  async #heartbeat(): Promise<void> {
    const result = await this.#options.store.writeHeartbeat(this.#options.heldTerm);
    this.#isStoreReachable = true;
    if (result === 'term-lost') {
      this.#onDidLoseTerm.fire();
    }
  }

  #sendToAll(base?: Assignment): void {
    const header = this.#messageHeader();
    for (const session of this.#members.allSessions()) {
      this.#send(session, header, base);
    }
  }

  /** Returns the fields that are the same for every follower. */
  #messageHeader(): Omit<AssignerMessage, 'body'> {
    return {
      term: this.term,
      isStoreReachable: this.#isStoreReachable,
      isRefused: false,
      refusedFingerprints: [...this.#options.findCrashingRequests(this.#crashSuspects.all())],
    };
  }

  #send(session: FollowerSession, header: Omit<AssignerMessage, 'body'>, base?: Assignment): void {
    const bodies = [this.#configurationBody(session), this.#assignmentBody(session, base)];
    const dueBodies = bodies.filter((body) => body !== undefined);
    if (dueBodies.length === 0) {
      session.connection.send({ ...header, body: undefined });
    }
    for (const body of dueBodies) {
      session.connection.send({ ...header, body });
    }
  }

  #configurationBody(session: FollowerSession): AssignerMessage['body'] {
    const configuration = this.#options.configuration();
    if (configuration === undefined || configuration.revision <= session.configurationRevision) {
      return undefined;
    }
    session.configurationRevision = configuration.revision;
    const { revision, snapshot } = configuration;
    return { $case: 'configuration', value: { revision, snapshot: JSON.stringify(snapshot) } };
  }

  #assignmentBody(session: FollowerSession, base: Assignment | undefined): AssignerMessage['body'] {
    const assignment = this.#assignment;
    const knownRevision = Math.max(session.appliedRevision, session.sentRevision);
    if (assignment === undefined || assignment.revision <= knownRevision || assignment.revision === 0) {
      return undefined;
    }
    session.sentRevision = assignment.revision;
    session.sentAt = performance.now();
    return base?.revision === knownRevision
      ? { $case: 'delta', value: diffAssignments(base, assignment) }
      : { $case: 'assignment', value: assignment };
  }
}
