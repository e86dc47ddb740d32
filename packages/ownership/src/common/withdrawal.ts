import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase, DisposableStore } from '@hickoryhoist/base/common/disposable.js';
import type { EntryVm, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import { SAFE_LAPSE_MILLISECONDS } from './leaseTiming.js';
import type { PeerClient } from './peerClient.js';

const RETRY_PAUSE_MILLISECONDS = 150;

/**
 * Proves that the lease of one server has lapsed: every process that may renew it must say that it stopped,
 * and the last renewal must have run out.
 */
export class Withdrawal extends DisposableBase {
  readonly #group: string;
  readonly #server: ServerRecord;
  readonly #peers: PeerClient;
  readonly #pending: Set<EntryVm>;
  readonly #loops = this.register(new DisposableStore());
  #lapseAt = 0;

  constructor(group: string, server: ServerRecord, peers: PeerClient) {
    super();
    this.#group = group;
    this.#server = server;
    this.#peers = peers;
    this.#pending = new Set([...server.renewers, ...server.possibleRenewers]);
    for (const entryVm of this.#pending) {
      this.#start(entryVm);
    }
  }

  get renewerFence(): number {
    return this.#server.renewerFence;
  }

  /** Whether no renewal of the server can be valid any more. */
  get isLapsed(): boolean {
    return this.#pending.size === 0 && performance.now() >= this.#lapseAt;
  }

  /** Entry VMs that have not said yet that they stopped. */
  get waitingFor(): readonly EntryVm[] {
    return [...this.#pending];
  }

  /** Takes an operator's word that a process is gone for good. */
  confirmLost(entryVmId: string, incarnation: string): boolean {
    const entryVm = this.waitingFor.find(
      (other) => other.id === entryVmId && other.incarnation === incarnation,
    );
    if (entryVm === undefined) {
      return false;
    }
    this.#settle(entryVm, SAFE_LAPSE_MILLISECONDS);
    return true;
  }

  #start(entryVm: EntryVm): void {
    const attempt = async (): Promise<void> => {
      if (!this.#pending.has(entryVm)) {
        return;
      }
      const reply = await this.#peers.withdraw(entryVm.controlAddress, {
        group: this.#group,
        serverAddress: this.#server.address,
        renewerFence: this.#server.renewerFence,
      });
      const isSameProcess = reply.incarnation === entryVm.incarnation;
      this.#settle(entryVm, isSameProcess ? reply.lapseMilliseconds : SAFE_LAPSE_MILLISECONDS);
    };
    this.#loops.add(
      repeat(
        () => RETRY_PAUSE_MILLISECONDS,
        attempt,
        () => undefined,
      ),
    );
    void attempt().catch(() => undefined);
  }

  #settle(entryVm: EntryVm, lapseMilliseconds: number): void {
    if (this.#pending.delete(entryVm)) {
      this.#lapseAt = Math.max(this.#lapseAt, performance.now() + lapseMilliseconds);
    }
  }
}
