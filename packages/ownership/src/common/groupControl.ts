import { DisposableBase, DisposableStore } from '@hickoryhoist/base/common/disposable.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { VersionedConfiguration } from '@hickoryhoist/configuration/common/configurationSnapshot.js';
import type { EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import type { CrashSuspect } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { Assigner } from './assigner.js';
import { AssignerElection } from './assignerElection.js';
import type { AssignmentPlanner } from './assignmentPlanner.js';
import type { AssignmentStore, HeldTerm, TermRecord } from './assignmentStore.js';
import { Follower, type ReportDetails } from './follower.js';
import type { DesiredServer, Member } from './observations.js';
import type { FollowerConnection, FollowerListener, PeerClient } from './peerClient.js';
import type { ServerClient } from './serverClient.js';

/** Dependencies of the control of one group. */
export interface GroupControlOptions {
  readonly group: string;
  readonly sliceCount: number;
  readonly self: EntryVm;
  readonly store: AssignmentStore;
  readonly createPlanner: () => AssignmentPlanner;
  readonly servers: ServerClient;
  readonly peers: PeerClient;
  readonly logger: Logger;
  /** Number of entry VMs that precede this one as candidates for assigner; 0 is the first candidate. */
  readonly rank: () => number;
  readonly desiredServers: (members: readonly Member[]) => readonly DesiredServer[];
  readonly configuration: () => VersionedConfiguration | undefined;
  readonly reportDetails: () => ReportDetails;
  readonly findCrashingRequests: (suspects: readonly (readonly CrashSuspect[])[]) => readonly string[];
}

/** Runs the follower, the election candidate and, while elected, the assigner of one group in this entry VM. */
export class GroupControl extends DisposableBase {
  readonly #options: GroupControlOptions;
  readonly #election: AssignerElection;
  readonly #assignerStore = this.register(new DisposableStore());
  #assigner: Assigner | undefined;

  readonly follower: Follower;

  constructor(options: GroupControlOptions) {
    super();
    this.#options = options;
    const { group, self, peers, logger, reportDetails, store, rank } = options;
    this.follower = this.register(new Follower({ group, self, peers, logger, reportDetails }));
    this.#election = this.register(
      new AssignerElection({
        group,
        self,
        store,
        logger,
        rank,
        hasHealthyAssigner: () => this.follower.isStoreReachable,
      }),
    );
    this.register(
      this.#election.onDidWin((heldTerm) => {
        this.#startAssigner(heldTerm);
      }),
    );
    this.register(
      this.#election.onDidReadTerm((record) => {
        this.#followHolder(record);
      }),
    );
  }

  get assigner(): Assigner | undefined {
    return this.#assigner;
  }

  /** Accepts a follower's stream. @returns undefined when this process is not the assigner. */
  acceptFollower(connection: FollowerConnection): FollowerListener | undefined {
    return this.#assigner?.acceptFollower(connection);
  }

  #followHolder({ holder }: TermRecord): void {
    if (holder !== undefined && holder.incarnation !== this.#options.self.incarnation) {
      this.follower.switchAssigner(holder.controlAddress);
    }
  }

  #startAssigner(heldTerm: HeldTerm): void {
    const { createPlanner, self } = this.#options;
    const assigner = this.#assignerStore.add(
      new Assigner({ ...this.#options, heldTerm, planner: createPlanner() }),
    );
    this.#assigner = assigner;
    this.register(
      assigner.onDidLoseTerm(() => {
        this.#stopAssigner(assigner);
      }),
    );
    this.follower.switchAssigner(self.controlAddress);
  }

  #stopAssigner(assigner: Assigner): void {
    if (this.#assigner !== assigner) {
      return;
    }
    this.#options.logger.log('info', 'term-lost', { group: this.#options.group, term: assigner.term });
    this.#assigner = undefined;
    assigner.dispose();
    this.#election.resume();
  }
}
