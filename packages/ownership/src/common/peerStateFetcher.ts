import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type { FetchStateReply } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import type { PeerClient } from './peerClient.js';

const CHECK_INTERVAL_MILLISECONDS = 500;
/** Time without contact to another process after which state is fetched from a peer. */
const PEER_TIMEOUT_MILLISECONDS = 3_000;
/** Time without contact to peers and the store after which this process must no longer use its configuration. */
const ISOLATION_TIMEOUT_MILLISECONDS = 8_000;

/** Dependencies of a peer state fetcher. */
export interface PeerStateFetcherOptions {
  readonly peers: PeerClient;
  /** Whether messages arrive from an assigner in another process. */
  readonly isOtherAssignerReachable: () => boolean;
  /** Whether messages arrive from the assigner of every group. */
  readonly areAllAssignersReachable: () => boolean;
  /** Returns the control address of any other entry VM, if one is known. */
  readonly choosePeerAddress: () => string | undefined;
}

/** Fetches state from peers while an assigner is unreachable or while this process has no contact to others. */
export class PeerStateFetcher extends DisposableBase {
  readonly #options: PeerStateFetcherOptions;
  readonly #onDidReceiveState = this.register(new Emitter<FetchStateReply>());
  readonly #startedAt = performance.now();
  #lastContactAt = Number.NEGATIVE_INFINITY;

  readonly onDidReceiveState = this.#onDidReceiveState.event;

  constructor(options: PeerStateFetcherOptions) {
    super();
    this.#options = options;
    this.register(
      repeat(
        () => CHECK_INTERVAL_MILLISECONDS,
        () => this.#check(),
        () => undefined,
      ),
    );
  }

  /**
   * Whether neither a peer nor the store has responded for so long that the other entry VMs may use a newer
   * configuration.
   * @param lastStoreResponseAt Time of the last response of the store on the runtime's monotonic clock.
   */
  isIsolated(lastStoreResponseAt: number): boolean {
    const lastContactAt = Math.max(this.#startedAt, this.#lastContactAt, lastStoreResponseAt);
    return performance.now() - lastContactAt > ISOLATION_TIMEOUT_MILLISECONDS;
  }

  async #check(): Promise<void> {
    const { isOtherAssignerReachable, areAllAssignersReachable, choosePeerAddress, peers } = this.#options;
    if (isOtherAssignerReachable()) {
      this.#lastContactAt = performance.now();
    }
    const isOutOfContact = performance.now() - this.#lastContactAt > PEER_TIMEOUT_MILLISECONDS;
    const address = areAllAssignersReachable() && !isOutOfContact ? undefined : choosePeerAddress();
    if (address === undefined) {
      return;
    }
    const state = await peers.fetchState(address);
    this.#lastContactAt = performance.now();
    this.#onDidReceiveState.fire(state);
  }
}
