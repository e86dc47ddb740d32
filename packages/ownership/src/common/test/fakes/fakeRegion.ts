import { Emitter } from '@hickoryhoist/base/common/emitter.js';
import type { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { ConfigurationStore } from '@hickoryhoist/configuration/common/configurationStore.js';
import { Publisher } from '@hickoryhoist/configuration/common/publisher.js';
import { type ServiceFile, serviceFileSchema } from '@hickoryhoist/configuration/common/serviceFile.js';
import type { LoadReport } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import type { CrashExchange } from '../../crashExchange.js';
import { EntryVmControl } from '../../entryVmControl.js';
import type { PeerClient } from '../../peerClient.js';
import { type ServerClient, ServerUnreachableError } from '../../serverClient.js';
import { FakeNetwork } from './fakeNetwork.js';
import { connectFollower } from './fakePeerStream.js';
import { FakePlatform } from './fakePlatform.js';
import { FakeServer } from './fakeServer.js';

/** Name of the keyed service in the fake region. */
export const SERVICE = 'catalogue';

const PEER_TIMEOUT_MILLISECONDS = 500;
const MAXIMUM_SEED = 0x7fffffff;

/** Options of a fake region. */
export interface FakeRegionOptions {
  readonly seed: number;
  readonly hasher: KeyHasher;
  readonly entryVmZones: readonly string[];
  readonly serverZones: readonly string[];
  readonly sliceCount: number;
  /** Whether the servers support fencing; true by default. */
  readonly supportsFencing?: boolean;
  readonly loadReport?: (entryVm: string, group: string) => LoadReport | undefined;
  /** Exchange of a process that starts; by default one without suspects. */
  readonly crashExchange?: (entryVm: string, incarnation: string) => CrashExchange;
}

/** Entry VMs, servers and the platform in one process, on a fake network and a fake clock. */
export class FakeRegion {
  readonly random: RandomSource;
  readonly network: FakeNetwork;
  readonly platform: FakePlatform;
  readonly servers: readonly FakeServer[];
  /** Invariant violations that the entry VMs have logged. */
  readonly invariantViolations: string[] = [];
  readonly #options: FakeRegionOptions;
  readonly #entryVms = new Map<string, EntryVmControl>();
  #starts = 0;

  constructor(options: FakeRegionOptions) {
    this.#options = options;
    this.random = new RandomSource(options.seed);
    this.network = new FakeNetwork(this.random);
    this.platform = new FakePlatform(this.network);
    this.servers = options.serverZones.map(
      (zone, index) =>
        new FakeServer(`server-${index.toString()}`, zone, this.random, options.supportsFencing),
    );
  }

  get entryVmIds(): readonly string[] {
    return this.#options.entryVmZones.map((_zone, index) => `vm-${index.toString()}`);
  }

  get entryVms(): ReadonlyMap<string, EntryVmControl> {
    return this.#entryVms;
  }

  service(change: object = {}): ServiceFile {
    const servers = this.servers.map(({ address, availabilityZone }) => ({
      address: socketAddressOf(address),
      availabilityZone,
    }));
    const file = { kind: 'keyed', name: SERVICE, pathPrefix: '/catalogue', servers };
    return serviceFileSchema.parse({ ...file, sliceCount: this.#options.sliceCount, ...change });
  }

  /** Publishes a change of the service as an operator does. */
  async publish(before: ServiceFile | undefined, after: ServiceFile): Promise<number> {
    const publisher = new Publisher(new ConfigurationStore(this.platform.clientFor('operator')));
    return publisher.publish({ operator: 'operator', changes: [{ name: after.name, before, after }] });
  }

  startAll(): void {
    this.entryVmIds.forEach((id) => {
      this.startEntryVm(id);
    });
  }

  startEntryVm(id: string): EntryVmControl {
    this.#starts += 1;
    const index = this.entryVmIds.indexOf(id);
    const incarnation = `${id}#${this.#starts.toString()}`;
    const control = new EntryVmControl({
      self: {
        id,
        incarnation,
        controlAddress: id,
        requestAddress: `request-${id}`,
        availabilityZone: this.#options.entryVmZones[index] ?? 'zone',
      },
      platform: this.platform.clientFor(id),
      peers: this.#peerClientFor(id),
      servers: this.#serverClientFor(id),
      hasher: this.#options.hasher,
      random: new RandomSource(this.random.integer(1, MAXIMUM_SEED)),
      logger: {
        log: (_level, event, fields) => {
          if (event === 'invariant-violated') {
            this.invariantViolations.push(`${id}: ${String(fields?.error)}`);
          }
        },
      },
      seedAddresses: this.entryVmIds,
      crashExchange: this.#options.crashExchange?.(id, incarnation) ?? {
        onDidRecordLoss: new Emitter<void>().event,
        report: () => [],
        findCrashingRequests: () => [],
        setRefusedFingerprints: () => undefined,
      },
      loadReport: (group) => this.#options.loadReport?.(id, group),
    });
    this.#entryVms.set(id, control);
    return control;
  }

  killEntryVm(id: string): void {
    this.#entryVms.get(id)?.dispose();
    this.#entryVms.delete(id);
  }

  dispose(): void {
    [...this.#entryVms.keys()].forEach((id) => {
      this.killEntryVm(id);
    });
  }

  #peerClientFor(from: string): PeerClient {
    const call = <T>(to: string, handle: (control: EntryVmControl) => T): Promise<T> =>
      this.network.call(from, to, PEER_TIMEOUT_MILLISECONDS, () => handle(this.#runningEntryVm(to)));
    return {
      follow: (address, listener) =>
        connectFollower(this.network, from, address, () => this.#runningEntryVm(address), listener),
      withdraw: (address, request) => call(address, (control) => control.withdraw(request)),
      renewRoutes: (address, request) => call(address, (control) => control.renewRoutes(request)),
      fetchState: (address) => call(address, (control) => control.fetchState()),
      confirmLost: (address, request) => call(address, (control) => control.confirmLost(request)),
    };
  }

  #serverClientFor(from: string): ServerClient {
    return {
      send: async (address, command, timeoutMilliseconds) => {
        try {
          const entryVm = /^request-(.+)$/.exec(address)?.[1];
          if (entryVm !== undefined) {
            return await this.network.call(from, entryVm, timeoutMilliseconds, () => ({
              kind: 'checked' as const,
              state: this.#runningEntryVm(entryVm).holder.handle(command),
            }));
          }
          const server = this.#serverAt(address);
          return await this.network.call(from, server.address, timeoutMilliseconds, () => {
            if (!server.isUp) {
              throw new ServerUnreachableError(`${address} is down`);
            }
            return server.handle(command);
          });
        } catch (error) {
          throw new ServerUnreachableError(address, { cause: error });
        }
      },
    };
  }

  #runningEntryVm(id: string): EntryVmControl {
    const control = this.#entryVms.get(id);
    if (control === undefined) {
      throw new ServerUnreachableError(`${id} is down`);
    }
    return control;
  }

  #serverAt(socketAddress: string): FakeServer {
    const server = this.servers.find(({ address }) => socketAddressOf(address) === socketAddress);
    if (server === undefined) {
      throw new ServerUnreachableError(`${socketAddress} does not exist`);
    }
    return server;
  }
}

/** Returns the socket address of a fake server, since service files contain IP addresses. */
export function socketAddressOf(name: string): string {
  return `10.0.0.${name.replace(/\D/g, '')}:80`;
}
