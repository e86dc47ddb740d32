import type { ColdStartBudget } from './coldStartLimit.js';
import type { ProcessingTimeEstimate } from './processingTimes.js';
import type { PaceChange, PaceFactory } from './serverPace.js';
import { ServerStatistics } from './serverStatistics.js';
import type { ServiceProcessingTimes } from './serviceProcessingTimes.js';
import type { SlotRequest } from './slotRequest.js';

/** A server whose slots the scheduler grants. */
export interface SchedulableServer {
  readonly id: string;
  readonly incarnation: number;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Remaining warm-up time, in milliseconds. */
  readonly warmupMilliseconds: number;
  /** What one coordinator may send to the server while it is cold; undefined if it bears any rate. */
  readonly coldStart?: ColdStartBudget | undefined;
}

/** A change of the number of requests that a server may have in flight. */
export interface ServerPaceChange extends PaceChange {
  readonly serverId: string;
}

interface KnownServer {
  readonly statistics: ServerStatistics;
  readonly incarnation: number;
}

/** The servers of one service and their statistics, which last for an incarnation. */
export class SchedulableServers {
  readonly #servers = new Map<string, KnownServer>();
  /** Servers that were removed while attempts were in flight. They may come back, with these attempts still running. */
  readonly #removed = new Map<string, KnownServer>();
  readonly #onDidChangePace: (change: ServerPaceChange) => void;

  readonly #createPace: PaceFactory;
  readonly #times: ServiceProcessingTimes;

  constructor(
    times: ServiceProcessingTimes,
    onDidChangePace: (change: ServerPaceChange) => void,
    createPace: PaceFactory,
  ) {
    this.#times = times;
    this.#onDidChangePace = onDidChangePace;
    this.#createPace = createPace;
  }

  get(id: string | undefined): ServerStatistics | undefined {
    return id === undefined ? undefined : this.#servers.get(id)?.statistics;
  }

  /** Processing time estimates of all servers that have at least one sample. */
  processingTimes(now: number): ReadonlyMap<string, ProcessingTimeEstimate> {
    return new Map(
      [...this.#servers].flatMap(([id, { statistics }]) => {
        const time = statistics.longTermProcessingTime(now);
        return time === undefined ? [] : [[id, time]];
      }),
    );
  }

  /**
   * Replaces the set of servers and keeps the statistics of those that stay.
   * @returns identifiers of the servers that were removed.
   */
  replace(servers: readonly SchedulableServer[], now: number): readonly string[] {
    const isRunning = this.#servers.size > 0;
    const ids = new Set(servers.map(({ id }) => id));
    const removed = [...this.#servers.keys()].filter((known) => !ids.has(known));
    this.#remove(removed);
    for (const server of servers) {
      const known = this.#servers.get(server.id) ?? this.#removed.get(server.id);
      if (known?.incarnation === server.incarnation) {
        this.#servers.set(server.id, known);
        this.#removed.delete(server.id);
        known.statistics.setColdStart(server.coldStart);
        known.statistics.extendWarmup(server.warmupMilliseconds, now);
      } else {
        const { id, incarnation, warmupMilliseconds } = server;
        const pace = this.#createPace(server.slots, (change) => {
          this.#onDidChangePace({ ...change, serverId: id });
        });
        const statistics = new ServerStatistics(server, this.#times, now, pace);
        this.#servers.set(id, { statistics, incarnation });
        this.#removed.delete(id);
        if (known !== undefined || (isRunning && warmupMilliseconds > 0)) {
          statistics.startSlowly(now);
        }
      }
    }
    return removed;
  }

  #remove(ids: readonly string[]): void {
    for (const id of ids) {
      const known = this.#servers.get(id);
      this.#servers.delete(id);
      if (known !== undefined) {
        this.#removed.set(id, known);
      }
    }
    for (const [id, { statistics }] of this.#removed) {
      if (statistics.inFlight === 0) {
        this.#removed.delete(id);
      }
    }
  }

  /** The servers that may get a request, ejected ones only if there are no others. */
  usable({ excludedIds }: Pick<SlotRequest, 'excludedIds'>, now: number): readonly ServerStatistics[] {
    const all = this.all();
    const allowed = excludedIds.length === 0 ? all : all.filter(({ id }) => !excludedIds.includes(id));
    const candidates = allowed.length > 0 ? allowed : all;
    const notEjected = candidates.filter((server) => !server.isEjected(now));
    return notEjected.length > 0 ? notEjected : candidates;
  }

  /** Whether a condition holds for any server, without a copy of their list. */
  some(condition: (server: ServerStatistics) => boolean): boolean {
    for (const { statistics } of this.#servers.values()) {
      if (condition(statistics)) {
        return true;
      }
    }
    return false;
  }

  all(): readonly ServerStatistics[] {
    return Array.from(this.#servers.values(), ({ statistics }) => statistics);
  }
}
