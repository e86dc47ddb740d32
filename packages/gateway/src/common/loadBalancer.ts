import type { KeyHash } from '@hickoryhoist/base/common/keyHash.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { ServiceFile } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { LoadReport } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { LoadRecorder } from './loadRecorder.js';
import type { AttemptResult } from './serverTransport.js';
import { SlotLimiter } from './slotLimiter.js';

const MAXIMUM_WAITING_PER_SLOT = 64;
const LOAD_INTERVAL_MILLISECONDS = 2_000;
/** Weight of a new sample in the smoothed latency of a server. */
const LATENCY_SMOOTHING = 0.1;
/** Slots by which the share of a gateway grows while it receives as many responses as the share has slots. */
const SHARE_INCREASE = 0.1;
const INITIAL_LATENCY_MILLISECONDS = 5;
/** Time for which pooled requests avoid a server after a failed attempt; a tenth of it after a refusal. */
const AVOIDANCE_MILLISECONDS = 500;
/** Multiple of a server's latency after which an idempotent request is hedged. */
const HEDGE_LATENCY_FACTOR = 4;
const MINIMUM_HEDGE_DELAY_MILLISECONDS = 25;

/** How gateways share the slots of a server without communicating with each other. */
export type SlotSharing =
  /** Every gateway uses up to all slots; the server queues or sheds the excess. */
  | 'full'
  /** Every gateway uses one slot. */
  | 'static'
  /** Additive increase, multiplicative decrease: the share grows with responses and is halved when the server sheds. */
  | 'adaptive';

/** How a gateway chooses among pooled servers. */
export type ServerChoice = 'random' | 'two-choices';

/** Policies of a load balancer. */
export interface LoadBalancerOptions {
  readonly sharing: SlotSharing;
  readonly choice: ServerChoice;
}

export const defaultLoadBalancerOptions: LoadBalancerOptions = {
  sharing: 'adaptive',
  choice: 'two-choices',
};

interface ServerStatistics {
  readonly limiter: SlotLimiter;
  readonly slots: number;
  /** Number of the server's slots that this gateway uses; adjusted in fractions of a slot. */
  share: number;
  /** Smoothed time from sending a request to its response. */
  latencyMilliseconds: number;
  /** Pooled requests avoid the server until this time. */
  avoidUntil: number;
}

/** Fields of an attempt's target that the load is recorded by. */
export interface RecordedTarget {
  readonly address: string;
  readonly keyHash: KeyHash | undefined;
  readonly sliceCount: number;
}

/** Chooses servers and limits the requests in flight to each, based on the traffic of this gateway. */
export class LoadBalancer {
  readonly #random: RandomSource;
  readonly #options: LoadBalancerOptions;
  readonly #servers = new Map<string, ServerStatistics>();
  readonly #recorders = new Map<string, LoadRecorder>();

  constructor(random: RandomSource, options: LoadBalancerOptions = defaultLoadBalancerOptions) {
    this.#random = random;
    this.#options = options;
  }

  limiter(service: ServiceFile, address: string): SlotLimiter {
    return this.#server(service, address).limiter;
  }

  /**
   * Chooses a server at random, or the one of two random servers with the shorter expected wait. Servers that
   * failed recently are chosen only if there is no other.
   */
  choose(service: ServiceFile, servers: readonly string[]): string | undefined {
    if (servers.length === 0) {
      return undefined;
    }
    const now = performance.now();
    const usable = servers.filter((address) => this.#server(service, address).avoidUntil <= now);
    const candidates = usable.length > 0 ? usable : servers;
    const first = this.#random.pick(candidates);
    if (this.#options.choice === 'random') {
      return first;
    }
    const second = this.#random.pick(candidates);
    return this.#expectedWait(service, first) <= this.#expectedWait(service, second) ? first : second;
  }

  /** Time without a result after which an idempotent request is sent a second time. */
  hedgeDelayMilliseconds(service: ServiceFile, address: string): number {
    const { latencyMilliseconds } = this.#server(service, address);
    return Math.max(MINIMUM_HEDGE_DELAY_MILLISECONDS, HEDGE_LATENCY_FACTOR * latencyMilliseconds);
  }

  record(service: ServiceFile, target: RecordedTarget, attempt: AttemptResult, elapsed: number): void {
    const server = this.#server(service, target.address);
    switch (attempt.kind) {
      case 'answered':
        server.latencyMilliseconds += LATENCY_SMOOTHING * (elapsed - server.latencyMilliseconds);
        this.#setShare(server, server.share + SHARE_INCREASE / server.share);
        if (target.keyHash !== undefined) {
          this.#recorder(service.name).recordResponse(
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
          this.#setShare(server, server.share / 2);
        }
        server.avoidUntil = performance.now() + AVOIDANCE_MILLISECONDS / 10;
        break;
      case 'not-written':
      case 'lost':
        server.avoidUntil = performance.now() + AVOIDANCE_MILLISECONDS;
    }
  }

  loadReport(group: string): LoadReport | undefined {
    return this.#recorders.get(group)?.report();
  }

  #expectedWait(service: ServiceFile, address: string): number {
    const { limiter, latencyMilliseconds } = this.#server(service, address);
    return (limiter.inUse + limiter.waiting + 1) * latencyMilliseconds;
  }

  #server(service: ServiceFile, address: string): ServerStatistics {
    const known = this.#servers.get(address);
    if (known !== undefined) {
      return known;
    }
    const slots = service.slotsPerServer;
    const share = initialShare(this.#options.sharing, slots);
    const server: ServerStatistics = {
      slots,
      share,
      limiter: new SlotLimiter(Math.round(share), slots * MAXIMUM_WAITING_PER_SLOT),
      latencyMilliseconds: INITIAL_LATENCY_MILLISECONDS,
      avoidUntil: 0,
    };
    this.#servers.set(address, server);
    return server;
  }

  #setShare(server: ServerStatistics, share: number): void {
    if (this.#options.sharing === 'adaptive') {
      server.share = Math.min(server.slots, Math.max(1, share));
      server.limiter.setLimit(Math.round(server.share));
    }
  }

  /** Expected time from sending a request to its response. */
  expectedLatencyMilliseconds(service: ServiceFile, address: string): number {
    return this.#server(service, address).latencyMilliseconds;
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
