import { type KeyHasher, rendezvousScore } from '@hickoryhoist/base/common/keyHash.js';
import type { OwnerLookup, Placer } from './balanceExperiment.js';
import { type BalanceWorkload, serverAddress } from './balanceWorkload.js';

const VIRTUAL_NODES_PER_SERVER = 100;
/** Maximum number of slices of a server, as a multiple of the mean. */
const MAX_SLICES_RATIO = 1.25;

function findServingServers(workload: BalanceWorkload, second: number): readonly number[] {
  const all = Array.from({ length: workload.options.servers }, (_unused, server) => server);
  return all.filter((server) => workload.isServing(server, second));
}

/** Consistent hashing with the same number of virtual nodes for every server. */
export class HashRingPlacer implements Placer {
  readonly #workload: BalanceWorkload;
  readonly #hasher: KeyHasher;

  constructor(workload: BalanceWorkload, hasher: KeyHasher) {
    this.#workload = workload;
    this.#hasher = hasher;
  }

  step(second: number): OwnerLookup {
    const ring = findServingServers(this.#workload, second)
      .flatMap((server) =>
        Array.from({ length: VIRTUAL_NODES_PER_SERVER }, (_unused, virtualNode) => ({
          server,
          position: this.#hasher.hash(`${serverAddress(server)}#${virtualNode.toString()}`),
        })),
      )
      .sort((left, right) => left.position.localeCompare(right.position));
    const owners = this.#workload.keys.map(({ keyHash }) => {
      let low = 0;
      let high = ring.length;
      while (low < high) {
        const middle = (low + high) >> 1;
        if ((ring[middle]?.position ?? '') < keyHash) {
          low = middle + 1;
        } else {
          high = middle;
        }
      }
      return ring[low % ring.length]?.server ?? 0;
    });
    return (key) => owners[key] ?? 0;
  }
}

/** Rendezvous hashing of slices with an upper bound on the slices of a server. */
export class BoundedRendezvousPlacer implements Placer {
  readonly #workload: BalanceWorkload;
  readonly #hasher: KeyHasher;
  readonly #ownersByServers = new Map<string, readonly number[]>();

  constructor(workload: BalanceWorkload, hasher: KeyHasher) {
    this.#workload = workload;
    this.#hasher = hasher;
  }

  step(second: number): OwnerLookup {
    const servers = findServingServers(this.#workload, second);
    const serversKey = servers.join();
    const owners = this.#ownersByServers.get(serversKey) ?? this.#place(servers);
    this.#ownersByServers.set(serversKey, owners);
    return (key) => owners[this.#workload.keys[key]?.slice ?? 0] ?? 0;
  }

  #place(servers: readonly number[]): readonly number[] {
    const { sliceCount } = this.#workload.options;
    const maxSlices = Math.ceil((MAX_SLICES_RATIO * sliceCount) / servers.length);
    const sliceCounts = new Map<number, number>();
    return Array.from({ length: sliceCount }, (_unused, slice) => {
      const ranked = servers
        .map((server) => ({
          server,
          score: rendezvousScore(this.#hasher, slice.toString(), serverAddress(server)),
        }))
        .sort((left, right) => right.score - left.score);
      const chosen = ranked.find(({ server }) => (sliceCounts.get(server) ?? 0) < maxSlices)?.server ?? 0;
      sliceCounts.set(chosen, (sliceCounts.get(chosen) ?? 0) + 1);
      return chosen;
    });
  }
}
