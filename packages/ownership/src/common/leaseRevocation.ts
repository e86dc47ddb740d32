import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase, DisposableStore } from '@hickoryhoist/base/common/disposable.js';
import type { EntryVm, ServerRecord } from '@hickoryhoist/protocol/common/assignment.js';
import { SAFE_EXPIRY_MILLISECONDS } from './leaseTiming.js';
import type { PeerClient } from './peerClient.js';

const RETRY_INTERVAL_MILLISECONDS = 150;

/**
 * Revokes the lease of one server under one renewer fence. The lease has expired when every process that may renew it
 * has confirmed that it stopped, and the last renewal has timed out.
 */
export class LeaseRevocation extends DisposableBase {
  readonly #group: string;
  readonly #server: ServerRecord;
  readonly #peers: PeerClient;
  readonly #pending: Set<EntryVm>;
  readonly #loops = this.register(new DisposableStore());
  #expiresAt = 0;

  constructor(group: string, server: ServerRecord, peers: PeerClient) {
    super();
    this.#group = group;
    this.#server = server;
    this.#peers = peers;
    this.#pending = new Set([...server.renewers, ...server.possibleRenewers]);
    for (const entryVm of this.#pending) {
      this.#startRequests(entryVm);
    }
  }

  get renewerFence(): number {
    return this.#server.renewerFence;
  }

  /** Whether no renewal of the server's lease can still be valid. */
  get isExpired(): boolean {
    return this.#pending.size === 0 && performance.now() >= this.#expiresAt;
  }

  /** Entry VMs that have not yet confirmed that they stopped renewing. */
  get unconfirmedRenewers(): readonly EntryVm[] {
    return [...this.#pending];
  }

  /** Applies an operator's confirmation that a process has ended. @returns false when none is expected for it. */
  confirmLost(entryVmId: string, incarnation: string): boolean {
    const entryVm = this.unconfirmedRenewers.find(
      (other) => other.id === entryVmId && other.incarnation === incarnation,
    );
    if (entryVm === undefined) {
      return false;
    }
    this.#confirm(entryVm, SAFE_EXPIRY_MILLISECONDS);
    return true;
  }

  #startRequests(entryVm: EntryVm): void {
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
      this.#confirm(entryVm, isSameProcess ? reply.lapseMilliseconds : SAFE_EXPIRY_MILLISECONDS);
    };
    this.#loops.add(
      repeat(
        () => RETRY_INTERVAL_MILLISECONDS,
        attempt,
        () => undefined,
      ),
    );
    void attempt().catch(() => undefined);
  }

  #confirm(entryVm: EntryVm, expiryMilliseconds: number): void {
    if (this.#pending.delete(entryVm)) {
      this.#expiresAt = Math.max(this.#expiresAt, performance.now() + expiryMilliseconds);
    }
  }
}
