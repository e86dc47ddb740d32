import { type KeyHasher, rendezvousScore } from '@hickoryhoist/base/common/keyHash.js';
import type { OwnerOf, Placer } from './balanceExperiment.js';
import { type BalanceWorkload, serverAddress } from './balanceWorkload.js';

const POINTS_PER_SERVER = 100;
/** Largest number of slices at a server, as a multiple of the mean. */
const LOAD_BOUND = 1.25;

function serving(workload: BalanceWorkload, second: number): readonly number[] {
  const all = Array.from({ length: workload.options.servers }, (_unused, server) => server);
  return all.filter((server) => workload.isServing(server, second));
}

/** Plain hash ring with points of equal number for each server. */
export class HashRingPlacer implements Placer {
  readonly #workload: BalanceWorkload;
  readonly #hasher: KeyHasher;

  constructor(workload: BalanceWorkload, hasher: KeyHasher) {
    this.#workload = workload;
    this.#hasher = hasher;
  }

  step(second: number): OwnerOf {
    const points = serving(this.#workload, second)
      .flatMap((server) =>
        Array.from({ length: POINTS_PER_SERVER }, (_unused, point) => ({
          server,
          at: this.#hasher.hash(`${serverAddress(server)}#${point.toString()}`),
        })),
      )
      .sort((left, right) => left.at.localeCompare(right.at));
    const owners = this.#workload.keys.map(({ keyHash }) => {
      let low = 0;
      let high = points.length;
      while (low < high) {
        const middle = (low + high) >> 1;
        if ((points[middle]?.at ?? '') < keyHash) {
          low = middle + 1;
        } else {
          high = middle;
        }
      }
      return points[low % points.length]?.server ?? 0;
    });
    return (key) => owners[key] ?? 0;
  }
}

/** Rendezvous hashing of slices with a bound on the slices of a server. */
export class BoundedRendezvousPlacer implements Placer {
  readonly #workload: BalanceWorkload;
  readonly #hasher: KeyHasher;
  readonly #known = new Map<string, readonly number[]>();

  constructor(workload: BalanceWorkload, hasher: KeyHasher) {
    this.#workload = workload;
    this.#hasher = hasher;
  }

  step(second: number): OwnerOf {
    const servers = serving(this.#workload, second);
    const name = servers.join();
    const owners = this.#known.get(name) ?? this.#place(servers);
    this.#known.set(name, owners);
    return (key) => owners[this.#workload.keys[key]?.slice ?? 0] ?? 0;
  }

  #place(servers: readonly number[]): readonly number[] {
    const { sliceCount } = this.#workload.options;
    const bound = Math.ceil((LOAD_BOUND * sliceCount) / servers.length);
    const counts = new Map<number, number>();
    return Array.from({ length: sliceCount }, (_unused, slice) => {
      const ranked = servers
        .map((server) => ({
          server,
          score: rendezvousScore(this.#hasher, slice.toString(), serverAddress(server)),
        }))
        .sort((left, right) => right.score - left.score);
      const chosen = ranked.find(({ server }) => (counts.get(server) ?? 0) < bound)?.server ?? 0;
      counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
      return chosen;
    });
  }
}
