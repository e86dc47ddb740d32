import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import {
  parseSnapshot,
  type VersionedConfiguration,
} from '@hickoryhoist/configuration/common/configurationSnapshot.js';
import type { ConfigurationStore } from '@hickoryhoist/configuration/common/configurationStore.js';

/**
 * Determines how often this process reads the store: the distributor sends the configuration to the followers;
 * a disconnected process receives it from nobody.
 */
export type ReadRole = 'distributor' | 'follower' | 'disconnected';

const READ_INTERVAL_MILLISECONDS: Readonly<Record<ReadRole, number>> = {
  distributor: 1_000,
  follower: 60_000,
  disconnected: 2_000,
};

const CHECK_INTERVAL_MILLISECONDS = 250;

/**
 * Holds the newest configuration that this process has received from any source. Its revision never decreases. One
 * process per region reads the store often and distributes changes; the others read it rarely.
 */
export class ConfigurationReplica extends DisposableBase {
  readonly #store: ConfigurationStore;
  readonly #random: RandomSource;
  readonly #readRole: () => ReadRole;
  readonly #onDidChange = this.register(new Emitter<VersionedConfiguration>());
  #current: VersionedConfiguration | undefined;
  #lastReadAt = Number.NEGATIVE_INFINITY;
  #jitter = 1;
  #lastStoreResponseAt = Number.NEGATIVE_INFINITY;

  readonly onDidChange = this.#onDidChange.event;

  constructor(store: ConfigurationStore, random: RandomSource, readRole: () => ReadRole, logger: Logger) {
    super();
    this.#store = store;
    this.#random = random;
    this.#readRole = readRole;
    this.register(
      repeat(
        () => CHECK_INTERVAL_MILLISECONDS,
        () => this.#readWhenDue(),
        (error) => {
          logger.log('warn', 'configuration-read-failed', { error: describeError(error) });
        },
      ),
    );
  }

  get current(): VersionedConfiguration | undefined {
    return this.#current;
  }

  /** Time of the last response of the store, on the runtime's monotonic clock. */
  get lastStoreResponseAt(): number {
    return this.#lastStoreResponseAt;
  }

  /** Applies a configuration from any source. @returns false when it is not newer than the current one. */
  applyIfNewer(configuration: VersionedConfiguration): boolean {
    if (this.isDisposed() || configuration.revision <= (this.#current?.revision ?? 0)) {
      return false;
    }
    this.#current = configuration;
    this.#onDidChange.fire(configuration);
    return true;
  }

  /** Applies a serialized configuration from a peer if it is newer. @throws InvalidDocumentError */
  applySerializedIfNewer(revision: number, snapshot: string): void {
    if (revision > (this.#current?.revision ?? 0)) {
      const source = `configuration ${revision.toString()}`;
      this.applyIfNewer({ revision, snapshot: parseSnapshot(source, JSON.parse(snapshot)) });
    }
  }

  async #readWhenDue(): Promise<void> {
    const interval = READ_INTERVAL_MILLISECONDS[this.#readRole()] * this.#jitter;
    if (performance.now() - this.#lastReadAt < interval) {
      return;
    }
    this.#lastReadAt = performance.now();
    this.#jitter = 0.75 + this.#random.fraction() / 2;
    const head = await this.#store.readHead();
    this.#lastStoreResponseAt = performance.now();
    if (head.row !== undefined && head.row.revision > (this.#current?.revision ?? 0)) {
      this.applyIfNewer(await this.#store.readSnapshot(head.row));
    }
  }
}
