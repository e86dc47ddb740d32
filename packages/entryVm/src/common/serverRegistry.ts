import { describeError } from '@hickoryhoist/base/common/errors.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';

/**
 * Time after the store is reachable again for which missing servers are still believed in, in milliseconds.
 * Announcements that lapsed during an outage are back within 2 s.
 */
const RETURN_MILLISECONDS = 2_400;

/** Time for which it is remembered when a server began to leave, in milliseconds. */
const LEAVING_MEMORY_MILLISECONDS = 60_000;

/** Servers by id, from their announcements. A server that went missing during an outage is kept for a while. */
export class ServerRegistry {
  readonly #decode: (id: string, value: string) => ServerRecord;
  readonly #isTrusted: () => boolean;
  readonly #logger: Logger;
  readonly #servers = new Map<string, ServerRecord>();
  readonly #versions = new Map<string, number>();
  #keepsMissing = false;
  readonly #leavingSince = new Map<string, number>();
  readonly #unreadable = new Set<string>();
  readonly #onDidChange = new Emitter<void>();

  readonly onDidChange = this.#onDidChange.event;

  /** @param storeReachableMilliseconds how long the store has been answering without an outage. */
  constructor(
    decode: (id: string, value: string) => ServerRecord,
    storeReachableMilliseconds: () => number,
    logger: Logger,
  ) {
    this.#decode = decode;
    this.#isTrusted = () => storeReachableMilliseconds() > RETURN_MILLISECONDS;
    this.#logger = logger;
  }

  get servers(): ReadonlyMap<string, ServerRecord> {
    return this.#servers;
  }

  /** Whether a server that is missing may be taken for gone. */
  get isAbsenceReliable(): boolean {
    return this.#isTrusted();
  }

  /** Milliseconds since a server began to leave or went missing; undefined while it is ready or unknown. */
  leavingMilliseconds(id: string): number | undefined {
    const since = this.#leavingSince.get(id);
    return since === undefined ? undefined : performance.now() - since;
  }

  /** Whether servers are kept that were missing at the last update. */
  get keepsMissing(): boolean {
    return this.#keepsMissing;
  }

  /** Takes over the rows of the table. Called after each change, and again while missing servers are kept. */
  update(rows: ReadonlyMap<string, StoredRow>): void {
    let isChanged = false;
    for (const [id, row] of rows) {
      if (this.#versions.get(id) !== row.version) {
        this.#versions.set(id, row.version);
        isChanged = this.#read(id, row.value) || isChanged;
      }
    }
    if (this.#isTrusted()) {
      for (const id of [...this.#servers.keys()].filter((known) => !rows.has(known))) {
        this.#servers.delete(id);
        this.#versions.delete(id);
        this.#noteLeaving(id);
        this.#logger.log('info', 'server-missing', { server: id });
        isChanged = true;
      }
    }
    this.#keepsMissing = [...this.#servers.keys()].some((id) => !rows.has(id));
    if (isChanged) {
      this.#onDidChange.fire();
    }
  }

  #noteLeaving(id: string): void {
    const now = performance.now();
    if (!this.#leavingSince.has(id)) {
      this.#leavingSince.set(id, now);
    }
    for (const [other, since] of this.#leavingSince) {
      if (now - since > LEAVING_MEMORY_MILLISECONDS) {
        this.#leavingSince.delete(other);
      }
    }
  }

  #read(id: string, value: string): boolean {
    let record: ServerRecord;
    try {
      record = this.#decode(id, value);
    } catch (error) {
      if (!this.#unreadable.has(id)) {
        this.#unreadable.add(id);
        this.#logger.log('warn', 'server-unreadable', { server: id, reason: describeError(error) });
      }
      return false;
    }
    const known = this.#servers.get(id);
    if (
      known?.phase === record.phase &&
      known.incarnation === record.incarnation &&
      known.address === record.address &&
      known.service === record.service
    ) {
      return false;
    }
    this.#servers.set(id, record);
    if (record.phase === 'leaving') {
      this.#noteLeaving(id);
    } else {
      this.#leavingSince.delete(id);
    }
    this.#logger.log('info', 'server-announced', {
      server: id,
      service: record.service,
      phase: record.phase,
      incarnation: record.incarnation,
      address: record.address,
    });
    return true;
  }
}
