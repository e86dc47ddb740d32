import { build } from 'hdr-histogram-js';
import { toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { type ServiceFile, serviceFileSchema } from '@hickoryhoist/configuration/common/serviceFile.js';
import { CrashingRequestDetector } from '@hickoryhoist/gateway/common/crashingRequestDetector.js';
import type { CallerRequest } from '@hickoryhoist/gateway/common/callerRequest.js';
import { RequestExecutor } from '@hickoryhoist/gateway/common/requestExecutor.js';
import { LoadBalancer, type LoadBalancerOptions } from '@hickoryhoist/gateway/common/loadBalancer.js';
import type { ServerTransport } from '@hickoryhoist/gateway/common/serverTransport.js';
import { serviceTimeRange, SimulatedServer } from './simulatedServer.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const NEVER_ABORTED_SIGNAL = new AbortController().signal;
/** Relative speeds of the servers, repeated cyclically. */
const SPEEDS: readonly number[] = [0.6, 0.8, 1, 1, 1.2, 1.4];
const CALLER_ROUND_TRIP_MILLISECONDS = 8;

/** Options of one run, in which several gateways share pooled servers of different speeds. */
export interface LoadExperimentOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly servers: number;
  readonly slots: number;
  readonly queueLength: number;
  /** Mean time of a request at a server of speed 1, in milliseconds. */
  readonly serviceMilliseconds: number;
  readonly networkMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** Offered requests per second, as a multiple of the capacity of all servers. */
  readonly load: number;
  readonly durationMilliseconds: number;
  readonly loadBalancer: LoadBalancerOptions;
  readonly isIdempotent: boolean;
}

/** Result of one run. Latencies include the network round trip between caller and gateway. */
export interface LoadExperimentResult {
  readonly capacityPerSecond: number;
  readonly offeredPerSecond: number;
  /** Requests answered within their deadline, per second. */
  readonly goodputPerSecond: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Executions at servers per offered request. */
  readonly executionsPerRequest: number;
}

/**
 * Runs the gateways' production request path against simulated servers.
 * @param advance advances the fake clock; it is called once per simulated millisecond while load is offered.
 */
export async function runLoadExperiment(
  options: LoadExperimentOptions,
  advance: (milliseconds: number) => Promise<void>,
): Promise<LoadExperimentResult> {
  const random = new RandomSource(options.seed);
  const servers = createServers(options, random);
  const service = createService(options, [...servers.keys()]);
  const executors = await createExecutors(options, servers, service, random);
  const latency = build({ numberOfSignificantValueDigits: 5 });
  const capacityPerSecond = capacityOf(options);
  const requestsPerMillisecond = (capacityPerSecond * options.load) / 1_000;
  const tally = { answered: 0, notRun: 0, unknown: 0, offered: 0 };
  const start = (): void => {
    const startedAt = performance.now();
    const executor = random.pick(executors);
    tally.offered += 1;
    void executor.execute(createRequest(options, service, tally.offered)).then((outcome) => {
      const elapsed = performance.now() - startedAt + CALLER_ROUND_TRIP_MILLISECONDS;
      const isLate = performance.now() - startedAt > options.deadlineMilliseconds;
      switch (outcome.kind) {
        case 'answered':
          tally.answered += isLate ? 0 : 1;
          latency.recordValue(Math.round(elapsed * MICROSECONDS_PER_MILLISECOND));
          break;
        case 'not-run':
          tally.notRun += 1;
          break;
        case 'unknown':
          tally.unknown += 1;
      }
    });
  };
  await offerLoad(options.durationMilliseconds, requestsPerMillisecond, random, start, advance);
  const executed = [...servers.values()].reduce((sum, server) => sum + server.executed, 0);
  await advance(options.deadlineMilliseconds);
  const seconds = options.durationMilliseconds / 1_000;
  return {
    capacityPerSecond,
    offeredPerSecond: tally.offered / seconds,
    goodputPerSecond: tally.answered / seconds,
    p50Milliseconds: latency.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
    p99Milliseconds: latency.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
    notRun: tally.notRun,
    unknown: tally.unknown,
    executionsPerRequest: executed / Math.max(1, tally.offered),
  };
}

async function offerLoad(
  durationMilliseconds: number,
  requestsPerMillisecond: number,
  random: RandomSource,
  start: () => void,
  advance: (milliseconds: number) => Promise<void>,
): Promise<void> {
  let nextAt = random.exponential(1 / requestsPerMillisecond);
  for (let elapsed = 0; elapsed < durationMilliseconds; elapsed += 1) {
    while (nextAt < elapsed + 1) {
      start();
      nextAt += random.exponential(1 / requestsPerMillisecond);
    }
    await advance(1);
  }
}

function createServers(
  options: LoadExperimentOptions,
  random: RandomSource,
): ReadonlyMap<string, SimulatedServer> {
  const entries = Array.from({ length: options.servers }, (_unused, index): [string, SimulatedServer] => {
    const serviceMilliseconds = options.serviceMilliseconds / speedOf(index);
    return [
      `10.0.0.${index.toString()}:80`,
      new SimulatedServer({ ...options, serviceMilliseconds }, random),
    ];
  });
  return new Map(entries);
}

function createService(options: LoadExperimentOptions, addresses: readonly string[]): ServiceFile {
  return serviceFileSchema.parse({
    kind: 'pooled',
    name: 'experiment',
    pathPrefix: '/experiment',
    servers: addresses.map((address) => ({ address, availabilityZone: 'a' })),
    slotsPerServer: options.slots,
    deadlineMilliseconds: options.deadlineMilliseconds,
  });
}

async function createExecutors(
  options: LoadExperimentOptions,
  servers: ReadonlyMap<string, SimulatedServer>,
  service: ServiceFile,
  random: RandomSource,
): Promise<readonly RequestExecutor[]> {
  const hasher = await KeyHasher.create();
  const addresses = [...servers.keys()];
  const transport: ServerTransport = {
    send: async (request) => (await servers.get(request.address)?.serve(request)) ?? { kind: 'not-written' },
  };
  const routing = {
    assignment: () => undefined,
    pooledServers: () => addresses,
    mayRoute: () => true,
    track: () => toDisposable(() => undefined),
  };
  return Array.from({ length: options.gateways }, () => {
    const loadBalancer = new LoadBalancer(random, options.loadBalancer);
    return new RequestExecutor(
      hasher,
      routing,
      transport,
      loadBalancer,
      new CrashingRequestDetector(),
      silentLogger,
    );
  });
}

function createRequest(
  options: LoadExperimentOptions,
  service: ServiceFile,
  sequence: number,
): CallerRequest {
  return {
    id: sequence.toString(),
    service,
    method: options.isIdempotent ? 'GET' : 'POST',
    target: `/experiment/${sequence.toString()}`,
    headers: {},
    body: Buffer.alloc(0),
    key: undefined,
    idempotencyKey: undefined,
    isIdempotent: options.isIdempotent,
    deadlineAt: performance.now() + options.deadlineMilliseconds,
    signal: NEVER_ABORTED_SIGNAL,
  };
}

function speedOf(index: number): number {
  return SPEEDS[index % SPEEDS.length] ?? 1;
}

function capacityOf({ servers, slots, serviceMilliseconds }: LoadExperimentOptions): number {
  let perSecond = 0;
  for (let index = 0; index < servers; index += 1) {
    const { shortest, longest } = serviceTimeRange(serviceMilliseconds / speedOf(index));
    perSecond += (slots * 1_000) / ((shortest + longest) / 2);
  }
  return perSecond;
}
