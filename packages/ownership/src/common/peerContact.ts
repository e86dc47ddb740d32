import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type { FetchStateReply } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import type { PeerClient } from './peerClient.js';

const CHECK_PAUSE_MILLISECONDS = 500;
/** Time without contact to another process after which peers are asked for state. */
const PEER_CONTACT_MILLISECONDS = 3_000;
/** Time without any contact after which this process must not act on its configuration any more. */
const ISOLATION_MILLISECONDS = 8_000;

/** What the contact with peers needs from its surroundings. */
export interface PeerContactOptions {
  readonly peers: PeerClient;
  /** Whether an assigner in another process is heard. */
  readonly hearsOthers: () => boolean;
  /** Whether the assigner of every group is heard. */
  readonly hearsAllAssigners: () => boolean;
  /** Control address of some other entry VM, if one is known. */
  readonly chooseAddress: () => string | undefined;
}

/** Asks peers for state while an assigner is not heard, or while this process hears only itself. */
export class PeerContact extends DisposableBase {
  readonly #options: PeerContactOptions;
  readonly #onDidReceiveState = this.register(new Emitter<FetchStateReply>());
  readonly #startedAt = performance.now();
  #lastContactAt = Number.NEGATIVE_INFINITY;

  readonly onDidReceiveState = this.#onDidReceiveState.event;

  constructor(options: PeerContactOptions) {
    super();
    this.#options = options;
    this.register(
      repeat(
        () => CHECK_PAUSE_MILLISECONDS,
        () => this.#check(),
        () => undefined,
      ),
    );
  }

  /**
   * Whether neither a peer nor the store was heard for so long that a newer configuration may be in force
   * everywhere else.
   * @param storeContactAt time of the newest answer of the store on the runtime's monotonic clock.
   */
  isIsolated(storeContactAt: number): boolean {
    const lastContactAt = Math.max(this.#startedAt, this.#lastContactAt, storeContactAt);
    return performance.now() - lastContactAt > ISOLATION_MILLISECONDS;
  }

  async #check(): Promise<void> {
    const { hearsOthers, hearsAllAssigners, chooseAddress, peers } = this.#options;
    if (hearsOthers()) {
      this.#lastContactAt = performance.now();
    }
    const isUncertain = performance.now() - this.#lastContactAt > PEER_CONTACT_MILLISECONDS;
    const address = hearsAllAssigners() && !isUncertain ? undefined : chooseAddress();
    if (address === undefined) {
      return;
    }
    const state = await peers.fetchState(address);
    this.#lastContactAt = performance.now();
    this.#onDidReceiveState.fire(state);
  }
}
