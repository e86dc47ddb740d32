import { describeError } from '@hickoryhoist/base/common/errors.js';
import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import { StoreReturn } from '@hickoryhoist/store/common/storeReturn.js';
import { AnnouncedWarmups } from './announcedWarmups.js';
import { LeavingStatements } from './leavingStatements.js';
import { ServerIncarnations } from './serverIncarnations.js';

/**
 * For this long after an outage of the store, absent servers are retained. Servers whose announcement expired
 * during the outage announce themselves again within 2 s.
 */
const REANNOUNCEMENT_MILLISECONDS = 2_400;
/** The time at which a server began to leave is kept for this long. */
const LEAVING_RETENTION_MILLISECONDS = 60_000;

/** Whether a server announces nothing new, or only that its warm-up time passes. */
function isSameAnnouncement(before: ServerRecord | undefined, after: ServerRecord): boolean {
  return (
    before?.phase === after.phase &&
    before.incarnation === after.incarnation &&
    before.address === after.address &&
    before.service === after.service &&
    after.warmupMilliseconds <= before.warmupMilliseconds
  );
}

/**
 * Keeps track of servers by their announcements and by what they state themselves. Servers absent after a store outage
 * are kept for a while.
 */
export class ServerRegistry {
  readonly #decode: (id: string, value: string) => ServerRecord;
  readonly #isAbsenceReliable: () => boolean;
  readonly #logger: Logger;
  readonly #servers = new Map<string, ServerRecord>();
  readonly #versions = new Map<string, number>();
  readonly #storeReturn = new StoreReturn();
  #retainsAbsentServers = false;
  readonly #warmups = new AnnouncedWarmups();
  readonly #incarnations = new ServerIncarnations();
  /** When servers began to leave or became absent, by ID. */
  readonly #leavingSince = new Map<string, number>();
  readonly #leavingStatements = new LeavingStatements();
  /** Announcements of ready servers that a statement covers although their incarnation was not known to make it. */
  readonly #assumedLeaving = new Map<string, ServerRecord>();
  /** Servers that had left and whose announcements came back with an older copy of the store. */
  readonly #returned = new Set<string>();
  /** Servers with an unreadable row, each logged once. */
  readonly #unreadable = new Set<string>();
  readonly #onDidChange = new Emitter<void>();

  readonly onDidChange = this.#onDidChange.event;

  /** @param storeReachableMilliseconds time for which the store has been reachable. */
  constructor(
    decode: (id: string, value: string) => ServerRecord,
    storeReachableMilliseconds: () => number,
    logger: Logger,
  ) {
    this.#decode = decode;
    this.#isAbsenceReliable = () =>
      storeReachableMilliseconds() > REANNOUNCEMENT_MILLISECONDS && !this.#storeReturn.isRecent;
    this.#logger = logger;
  }

  get servers(): ReadonlyMap<string, ServerRecord> {
    return this.#servers;
  }

  /** Whether a server without an announcement can be considered stopped. */
  get isAbsenceReliable(): boolean {
    return this.#isAbsenceReliable();
  }

  /** Remaining warm-up time of a server, in milliseconds. */
  warmupMilliseconds(id: string): number {
    return this.#warmups.remainingMilliseconds(id, performance.now());
  }

  /** Time since a server began to leave or became absent; undefined while it is ready or unknown. */
  leavingMilliseconds(id: string): number | undefined {
    const since = this.#leavingSince.get(id);
    return since === undefined ? undefined : performance.now() - since;
  }

  /**
   * Records that a server stated in a response that it is leaving. It holds for its incarnation, whatever older or
   * repeated announcements say.
   * @param incarnation the newest one that the receiver of the response knew.
   * @returns whether that was not known.
   */
  recordStatedLeaving(id: string, incarnation: number): boolean {
    if (!this.#leavingStatements.record(id, incarnation)) {
      return false;
    }
    const server = this.#servers.get(id);
    if (server?.incarnation !== incarnation || server.phase === 'leaving') {
      return false;
    }
    this.#servers.set(id, { ...server, phase: 'leaving' });
    this.#recordLeaving(id);
    this.#logger.log('info', 'server-stated-leaving', { server: id, service: server.service, incarnation });
    this.#onDidChange.fire();
    return true;
  }

  /**
   * Whether a changed row announces something new, before the update with it. The first write of a server whose
   * announcement came back with an older copy of the store does, whatever it says. A row that cannot be decoded does, so
   * that all can log it.
   */
  isNewAnnouncement(before: StoredRow | undefined, after: StoredRow): boolean {
    if (before === undefined || this.#returned.has(after.key)) {
      return true;
    }
    try {
      return !isSameAnnouncement(
        this.#decode(before.key, before.value),
        this.#decode(after.key, after.value),
      );
    } catch {
      // The update logs the row.
      return true;
    }
  }

  /** Whether servers are retained that were absent at the last update. */
  get retainsAbsentServers(): boolean {
    return this.#retainsAbsentServers;
  }

  /**
   * Updates the servers from the rows of the table. Must be called after each change, and repeatedly while absent
   * servers are retained.
   */
  update(rows: ReadonlyMap<string, StoredRow>): void {
    let isChanged = false;
    const hasStoreReturned = this.#storeReturn.observe(rows);
    for (const [id, row] of rows) {
      if (this.#versions.get(id) !== row.version) {
        this.#versions.set(id, row.version);
        if (hasStoreReturned && this.#incarnations.hasRemoved(id)) {
          // It counts again once the server writes it again.
          this.#returned.add(id);
          this.#logger.log('info', 'server-announcement-returned', { server: id });
          continue;
        }
        this.#returned.delete(id);
        isChanged = this.#applyRow(id, row.value) || isChanged;
      }
    }
    if (this.#isAbsenceReliable()) {
      for (const id of [...this.#servers.keys()].filter((known) => !rows.has(known))) {
        this.#servers.delete(id);
        this.#versions.delete(id);
        this.#warmups.delete(id);
        this.#assumedLeaving.delete(id);
        this.#incarnations.recordRemoval(id, performance.now());
        this.#recordLeaving(id);
        this.#logger.log('info', 'server-missing', { server: id });
        isChanged = true;
      }
    }
    for (const id of [...this.#returned].filter((returned) => !rows.has(returned))) {
      this.#returned.delete(id);
    }
    this.#retainsAbsentServers = [...this.#servers.keys()].some((id) => !rows.has(id));
    if (isChanged) {
      this.#onDidChange.fire();
    }
  }

  /** Accepts servers as ready of which it can no longer be assumed that they have stated to be leaving. */
  tick(): void {
    for (const [id, record] of this.#assumedLeaving) {
      if (!this.#leavingStatements.covers(id, record.incarnation)) {
        this.#assumedLeaving.delete(id);
        if (this.#servers.get(id)?.incarnation === record.incarnation) {
          this.#put(record);
          this.#onDidChange.fire();
        }
      }
    }
  }

  #recordLeaving(id: string): void {
    const now = performance.now();
    if (!this.#leavingSince.has(id)) {
      this.#leavingSince.set(id, now);
    }
    for (const [other, since] of this.#leavingSince) {
      if (now - since > LEAVING_RETENTION_MILLISECONDS) {
        this.#leavingSince.delete(other);
      }
    }
    this.#leavingStatements.forget(now - LEAVING_RETENTION_MILLISECONDS, (other) => this.#servers.has(other));
  }

  #applyRow(id: string, value: string): boolean {
    let announced: ServerRecord;
    try {
      announced = this.#decode(id, value);
    } catch (error) {
      if (!this.#unreadable.has(id)) {
        this.#unreadable.add(id);
        this.#logger.log('warn', 'server-unreadable', { server: id, reason: describeError(error) });
      }
      return false;
    }
    const { incarnation } = announced;
    if (!this.#incarnations.record(announced)) {
      this.#logger.log('info', 'server-announcement-outdated', { server: id, incarnation });
      return false;
    }
    const isStatedLeaving = this.#leavingStatements.covers(id, incarnation);
    const record: ServerRecord = isStatedLeaving ? { ...announced, phase: 'leaving' } : announced;
    if (isStatedLeaving && announced.phase === 'ready') {
      this.#assumedLeaving.set(id, announced);
    } else {
      this.#assumedLeaving.delete(id);
    }
    const isExtended = this.#warmups.record(record, performance.now());
    if (isSameAnnouncement(this.#servers.get(id), record) && !isExtended) {
      return false;
    }
    this.#put(record);
    return true;
  }

  #put(record: ServerRecord): void {
    const { id, service, phase, incarnation, address, warmupMilliseconds: warmup } = record;
    this.#servers.set(id, record);
    if (phase === 'leaving') {
      this.#recordLeaving(id);
    } else {
      this.#leavingSince.delete(id);
    }
    this.#logger.log('info', 'server-announced', {
      server: id,
      service,
      phase,
      incarnation,
      address,
      warmup,
    });
  }
}
