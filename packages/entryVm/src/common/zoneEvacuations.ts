import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import { StoreReturn } from '@hickoryhoist/store/common/storeReturn.js';

/** Time for which owners in an evacuated zone still serve their keys, from when this process learned of it. */
const EMPTYING_MILLISECONDS = 1_500;

/** Phase of the evacuation of an availability zone. */
export type EvacuationPhase =
  /** Servers get no requests, except for the keys that they still own. */
  | 'emptying'
  /** Servers get no requests. */
  | 'closed';

interface Evacuation {
  readonly startedAt: number;
  phase: EvacuationPhase;
  /** Whether it was checked that the zone is known. */
  isChecked: boolean;
}

/**
 * The availability zones that the operator has asked to evacuate, from the rows of the operator's table. The last known
 * rows hold while the store is away.
 */
export class ZoneEvacuations {
  readonly #decode: (key: string, value: string) => string | undefined;
  readonly #isKnownZone: (zone: string) => boolean;
  readonly #logger: Logger;
  readonly #evacuations = new Map<string, Evacuation>();
  /** When evacuations ended that this process has seen, by zone. */
  readonly #endedAt = new Map<string, number>();
  /** Zones by the key of the last row that could be read. */
  readonly #zonesByKey = new Map<string, string>();
  /** Versions of rows that could not be read, by key; each is logged once. */
  readonly #unreadable = new Map<string, number>();
  #hasRows = false;
  readonly #storeReturn = new StoreReturn();
  /** The last rows if they lack an evacuation that the operator may write again. */
  #incompleteRows: ReadonlyMap<string, StoredRow> | undefined;
  readonly #onDidChange = new Emitter<void>();

  /** Fires when an evacuation begins, ends or changes its phase. */
  readonly onDidChange = this.#onDidChange.event;

  /**
   * @param decode returns the zone that a row asks to evacuate, or undefined for a row of another kind; throws
   * InvalidDocumentError.
   * @param isKnownZone whether a server or an entry VM is known in a zone.
   */
  constructor(
    decode: (key: string, value: string) => string | undefined,
    isKnownZone: (zone: string) => boolean,
    logger: Logger,
  ) {
    this.#decode = decode;
    this.#isKnownZone = isKnownZone;
    this.#logger = logger;
  }

  get zones(): readonly string[] {
    return [...this.#evacuations.keys()];
  }

  phaseOf(zone: string): EvacuationPhase | undefined {
    return this.#evacuations.get(zone)?.phase;
  }

  /** Time since a zone was taken back, in milliseconds; undefined if this process has not seen that. */
  millisecondsSinceReturn(zone: string): number | undefined {
    const endedAt = this.#endedAt.get(zone);
    return endedAt === undefined ? undefined : performance.now() - endedAt;
  }

  /** Updates the evacuations from all rows of the operator's table. Must be called after each change. */
  update(rows: ReadonlyMap<string, StoredRow>): void {
    this.#storeReturn.observe(rows);
    const requested = this.#readZones(rows);
    const missing = this.zones.filter((zone) => !requested.has(zone));
    this.#incompleteRows = missing.length > 0 && this.#storeReturn.isRecent ? rows : undefined;
    const ended = this.#incompleteRows === undefined ? missing : [];
    const started = [...requested].filter((zone) => !this.#evacuations.has(zone));
    const now = performance.now();
    for (const zone of ended) {
      this.#evacuations.delete(zone);
      this.#endedAt.set(zone, now);
      this.#logger.log('info', 'evacuation-ended', { zone });
    }
    for (const zone of started) {
      this.#endedAt.delete(zone);
      // Evacuations in the first copy of the table may be old.
      const phase = this.#hasRows ? 'emptying' : 'closed';
      this.#evacuations.set(zone, { startedAt: now, phase, isChecked: false });
      this.#logger.log('info', 'evacuation-started', { zone, phase });
    }
    this.#hasRows = true;
    if (ended.length + started.length > 0) {
      this.#onDidChange.fire();
    }
  }

  /** Closes zones that have been emptying for long enough. Called several times a second. */
  tick(now: number): void {
    if (this.#incompleteRows !== undefined && !this.#storeReturn.isRecent) {
      this.update(this.#incompleteRows);
    }
    this.#checkZones(now);
    const due = [...this.#evacuations].filter(
      ([, { phase, startedAt }]) => phase === 'emptying' && now - startedAt >= EMPTYING_MILLISECONDS,
    );
    for (const [zone, evacuation] of due) {
      evacuation.phase = 'closed';
      this.#logger.log('info', 'evacuation-zone-closed', { zone });
    }
    if (due.length > 0) {
      this.#onDidChange.fire();
    }
  }

  /** Logs zones that nobody knows, once the tables of a process that has just started are complete. */
  #checkZones(now: number): void {
    for (const [zone, evacuation] of this.#evacuations) {
      if (!evacuation.isChecked && now - evacuation.startedAt >= EMPTYING_MILLISECONDS) {
        evacuation.isChecked = true;
        if (!this.#isKnownZone(zone)) {
          this.#logger.log('warn', 'evacuation-zone-unknown', { zone });
        }
      }
    }
  }

  #readZones(rows: ReadonlyMap<string, StoredRow>): ReadonlySet<string> {
    const zones = new Set<string>();
    for (const [key, row] of rows) {
      try {
        const zone = this.#decode(key, row.value);
        if (zone !== undefined) {
          zones.add(zone);
          this.#zonesByKey.set(key, zone);
        }
      } catch (error) {
        // An evacuation in force stays when its row is overwritten with one that cannot be read.
        const zone = this.#zonesByKey.get(key);
        if (zone !== undefined && this.#evacuations.has(zone)) {
          zones.add(zone);
        }
        if (this.#unreadable.get(key) !== row.version) {
          this.#unreadable.set(key, row.version);
          this.#logger.log('warn', 'evacuation-unreadable', { key, reason: describeError(error) });
        }
      }
    }
    for (const key of [...this.#unreadable.keys(), ...this.#zonesByKey.keys()]) {
      if (!rows.has(key)) {
        this.#unreadable.delete(key);
        this.#zonesByKey.delete(key);
      }
    }
    return zones;
  }
}
