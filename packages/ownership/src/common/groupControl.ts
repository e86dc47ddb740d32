import { DisposableBase, DisposableStore } from '@hickoryhoist/base/common/disposable.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { VersionedConfiguration } from '@hickoryhoist/configuration/common/configurationSnapshot.js';
import type { EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import type { CrashSuspect } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { Assigner } from './assigner.js';
import type { AssignmentPlanner } from './assignmentPlanner.js';
import type { AssignmentStore, HeldTerm, TermRecord } from './assignmentStore.js';
import { Election } from './election.js';
import { Follower, type ReportDetails } from './follower.js';
import type { Member, DesiredServer } from './observations.js';
import type { FollowerConnection, FollowerListener, PeerClient } from './peerClient.js';
import type { ServerClient } from './serverClient.js';

/** What the control of one group needs from its surroundings. */
export interface GroupControlOptions {
  readonly group: string;
  readonly sliceCount: number;
  readonly self: EntryVm;
  readonly store: AssignmentStore;
  readonly createPlanner: () => AssignmentPlanner;
  readonly servers: ServerClient;
  readonly peers: PeerClient;
  readonly logger: Logger;
  /** Number of entry VMs that should become the assigner before this one. */
  readonly position: () => number;
  readonly desiredServers: (members: readonly Member[]) => readonly DesiredServer[];
  readonly configuration: () => VersionedConfiguration | undefined;
  readonly reportDetails: () => ReportDetails;
  readonly findCrashingRequests: (suspects: readonly (readonly CrashSuspect[])[]) => readonly string[];
}

/** Everything that one entry VM does for one group: it follows, stands for election, and may be the assigner. */
export class GroupControl extends DisposableBase {
  readonly #options: GroupControlOptions;
  readonly #election: Election;
  readonly #assignerStore = this.register(new DisposableStore());
  #assigner: Assigner | undefined;

  readonly follower: Follower;

  constructor(options: GroupControlOptions) {
    super();
    this.#options = options;
    const { group, self, peers, logger, reportDetails, store, position } = options;
    this.follower = this.register(new Follower({ group, self, peers, logger, reportDetails }));
    this.#election = this.register(
      new Election({
        group,
        self,
        store,
        logger,
        position,
        hearsAssigner: () => this.follower.isStoreReachable,
      }),
    );
    this.register(
      this.#election.onDidWin((held) => {
        this.#begin(held);
      }),
    );
    this.register(
      this.#election.onDidSeeHolder((record) => {
        this.#turnTo(record);
      }),
    );
  }

  get assigner(): Assigner | undefined {
    return this.#assigner;
  }

  /** Accepts a follower's stream, or refuses it when this process is not the assigner. */
  acceptFollower(connection: FollowerConnection): FollowerListener | undefined {
    return this.#assigner?.acceptFollower(connection);
  }

  #turnTo({ holder }: TermRecord): void {
    if (holder !== undefined && holder.incarnation !== this.#options.self.incarnation) {
      this.follower.switchAssigner(holder.controlAddress);
    }
  }

  #begin(held: HeldTerm): void {
    const { createPlanner, self } = this.#options;
    const assigner = this.#assignerStore.add(
      new Assigner({ ...this.#options, heldTerm: held, planner: createPlanner() }),
    );
    this.#assigner = assigner;
    this.register(
      assigner.onDidLoseTerm(() => {
        this.#end(assigner);
      }),
    );
    this.follower.switchAssigner(self.controlAddress);
  }

  #end(assigner: Assigner): void {
    if (this.#assigner !== assigner) {
      return;
    }
    this.#options.logger.log('info', 'term-lost', { group: this.#options.group, term: assigner.term });
    this.#assigner = undefined;
    assigner.dispose();
    this.#election.resume();
  }
}
