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

/** How urgently this process needs to read the store itself. */
export type ReadUrgency = 'distributor' | 'follower' | 'uninformed';

const PAUSE_MILLISECONDS: Readonly<Record<ReadUrgency, number>> = {
  distributor: 1_000,
  follower: 60_000,
  uninformed: 2_000,
};

const CHECK_PAUSE_MILLISECONDS = 250;

/**
 * Keeps the newest configuration that this process has seen from any source; revisions only go forward.
 * One process per region reads the store often and passes changes on; the others read it rarely.
 */
export class ConfigurationKeeper extends DisposableBase {
  readonly #store: ConfigurationStore;
  readonly #random: RandomSource;
  readonly #urgency: () => ReadUrgency;
  readonly #onDidChange = this.register(new Emitter<VersionedConfiguration>());
  #current: VersionedConfiguration | undefined;
  #lastReadAt = Number.NEGATIVE_INFINITY;
  #jitter = 1;
  #lastContactAt = Number.NEGATIVE_INFINITY;

  readonly onDidChange = this.#onDidChange.event;

  constructor(store: ConfigurationStore, random: RandomSource, urgency: () => ReadUrgency, logger: Logger) {
    super();
    this.#store = store;
    this.#random = random;
    this.#urgency = urgency;
    this.register(
      repeat(
        () => CHECK_PAUSE_MILLISECONDS,
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

  /** Time of the newest answer of the store, on the runtime's monotonic clock. */
  get lastContactAt(): number {
    return this.#lastContactAt;
  }

  /** Takes a configuration from any source. @returns false when it is not newer than the known one. */
  offer(configuration: VersionedConfiguration): boolean {
    if (this.isDisposed() || configuration.revision <= (this.#current?.revision ?? 0)) {
      return false;
    }
    this.#current = configuration;
    this.#onDidChange.fire(configuration);
    return true;
  }

  /** Takes a configuration as it comes from a peer. @throws InvalidDocumentError */
  offerSerialized(revision: number, snapshot: string): void {
    if (revision > (this.#current?.revision ?? 0)) {
      const source = `configuration ${revision.toString()}`;
      this.offer({ revision, snapshot: parseSnapshot(source, JSON.parse(snapshot)) });
    }
  }

  async #readWhenDue(): Promise<void> {
    const pause = PAUSE_MILLISECONDS[this.#urgency()] * this.#jitter;
    if (performance.now() - this.#lastReadAt < pause) {
      return;
    }
    this.#lastReadAt = performance.now();
    this.#jitter = 0.75 + this.#random.fraction() / 2;
    const head = await this.#store.readHead();
    this.#lastContactAt = performance.now();
    if (head.row !== undefined && head.row.revision > (this.#current?.revision ?? 0)) {
      this.offer(await this.#store.readSnapshot(head.row));
    }
  }
}
