import type { KeyHash } from '@hickoryhoist/base/common/keyHash.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { LoadReport } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { LoadRecorder } from './loadRecorder.js';
import type { AttemptResult } from './serverTransport.js';
import { SlotLimiter } from './slotLimiter.js';

const WAITING_PER_SLOT = 64;
const LOAD_INTERVAL_MILLISECONDS = 2_000;
const SMOOTHING = 0.1;
const SHARE_GROWTH = 0.1;
const INITIAL_SERVICE_MILLISECONDS = 5;
const AVOIDANCE_MILLISECONDS = 500;
const HEDGE_FACTOR = 4;
const SHORTEST_HEDGE_MILLISECONDS = 25;

/** How the gateways share the slots of a server without talking to each other. */
export type SlotSharing =
  /** Every gateway uses up to all slots; the server's queue and its shed replies sort out the rest. */
  | 'full'
  /** Every gateway uses an even part, at least one slot. */
  | 'static'
  /** Every gateway adds to its part while it is answered and halves it when the server sheds. */
  | 'adaptive';

/** How a gateway chooses among pooled servers. */
export type ServerChoice = 'random' | 'two-choices';

/** Policies of a server directory. */
export interface LoadBalancerOptions {
  readonly sharing: SlotSharing;
  readonly choice: ServerChoice;
}

export const defaultLoadBalancerOptions: LoadBalancerOptions = {
  sharing: 'adaptive',
  choice: 'two-choices',
};

interface ServerEntry {
  readonly limiter: SlotLimiter;
  readonly slots: number;
  /** Part of the slots that this gateway uses. */
  share: number;
  /** Smoothed time from sending to answer, in milliseconds. */
  serviceMilliseconds: number;
  /** Pooled requests keep away from the server until this time. */
  avoidUntil: number;
}

/** The part of an attempt's target that load is recorded by. */
export interface RecordedTarget {
  readonly address: string;
  readonly keyHash: KeyHash | undefined;
  readonly sliceCount: number;
}

/** What this gateway learned of each server from its own traffic. */
export class LoadBalancer {
  readonly #random: RandomSource;
  readonly #options: LoadBalancerOptions;
  readonly #entries = new Map<string, ServerEntry>();
  readonly #recorders = new Map<string, LoadRecorder>();

  constructor(random: RandomSource, options: LoadBalancerOptions = defaultLoadBalancerOptions) {
    this.#random = random;
    this.#options = options;
  }

  limiter(service: ServiceFile, address: string): SlotLimiter {
    return this.#entry(service, address).limiter;
  }

  /** Chooses between two random servers by expected wait; servers that just failed go last. */
  choose(service: ServiceFile, servers: readonly string[]): string | undefined {
    if (servers.length === 0) {
      return undefined;
    }
    const now = performance.now();
    const usable = servers.filter((address) => this.#entry(service, address).avoidUntil <= now);
    const candidates = usable.length > 0 ? usable : servers;
    const first = this.#random.pick(candidates);
    if (this.#options.choice === 'random') {
      return first;
    }
    const second = this.#random.pick(candidates);
    return this.#expectedWait(service, first) <= this.#expectedWait(service, second) ? first : second;
  }

  /** Silence after which an idempotent request is worth a second attempt. */
  hedgeMilliseconds(service: ServiceFile, address: string): number {
    const { serviceMilliseconds } = this.#entry(service, address);
    return Math.max(SHORTEST_HEDGE_MILLISECONDS, HEDGE_FACTOR * serviceMilliseconds);
  }

  record(service: ServiceFile, target: RecordedTarget, attempt: AttemptResult, elapsed: number): void {
    const entry = this.#entry(service, target.address);
    switch (attempt.kind) {
      case 'answered':
        entry.serviceMilliseconds += SMOOTHING * (elapsed - entry.serviceMilliseconds);
        this.#adapt(entry, entry.share + SHARE_GROWTH / entry.share);
        if (target.keyHash !== undefined) {
          this.#recorder(service.name).recordAnswer(
            target.address,
            target.keyHash,
            target.sliceCount,
            elapsed,
          );
        }
        break;
      case 'refused':
        if (attempt.refusal === 'shed') {
          this.#recorder(service.name).recordShed(target.address);
          this.#adapt(entry, entry.share / 2);
        }
        entry.avoidUntil = performance.now() + AVOIDANCE_MILLISECONDS / 10;
        break;
      case 'not-written':
      case 'lost':
        entry.avoidUntil = performance.now() + AVOIDANCE_MILLISECONDS;
    }
  }

  loadReport(group: string): LoadReport | undefined {
    return this.#recorders.get(group)?.report();
  }

  #expectedWait(service: ServiceFile, address: string): number {
    const { limiter, serviceMilliseconds } = this.#entry(service, address);
    return (limiter.inUse + limiter.waiting + 1) * serviceMilliseconds;
  }

  #entry(service: ServiceFile, address: string): ServerEntry {
    const known = this.#entries.get(address);
    if (known !== undefined) {
      return known;
    }
    const slots = service.slotsPerServer;
    const share = initialShare(this.#options.sharing, slots);
    const entry: ServerEntry = {
      slots,
      share,
      limiter: new SlotLimiter(Math.round(share), slots * WAITING_PER_SLOT),
      serviceMilliseconds: INITIAL_SERVICE_MILLISECONDS,
      avoidUntil: 0,
    };
    this.#entries.set(address, entry);
    return entry;
  }

  #adapt(entry: ServerEntry, share: number): void {
    if (this.#options.sharing === 'adaptive') {
      entry.share = Math.min(entry.slots, Math.max(1, share));
      entry.limiter.setLimit(Math.round(entry.share));
    }
  }

  /** Time that a request to a server takes as a rule, in milliseconds. */
  expectedMilliseconds(service: ServiceFile, address: string): number {
    return this.#entry(service, address).serviceMilliseconds;
  }

  #recorder(group: string): LoadRecorder {
    const known = this.#recorders.get(group);
    if (known !== undefined) {
      return known;
    }
    const recorder = new LoadRecorder(LOAD_INTERVAL_MILLISECONDS);
    this.#recorders.set(group, recorder);
    return recorder;
  }
}

function initialShare(sharing: SlotSharing, slots: number): number {
  switch (sharing) {
    case 'full':
    case 'adaptive':
      return slots;
    case 'static':
      return 1;
  }
}
