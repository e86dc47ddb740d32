import { InvariantError } from '@hickoryhoist/base/common/errors.js';
import type { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { sliceOf } from '@hickoryhoist/base/common/keyHash.js';
import {
  assignmentSchema,
  findServer,
  ownerOfUnit,
  unitName,
  unitOfKey,
} from '@hickoryhoist/protocol/common/assignment.js';
import type { EntryVmControl } from '../../entryVmControl.js';
import type { FakeRegion } from './fakeRegion.js';
import { SERVICE } from './fakeRegion.js';

/** Watches the servers' side of a region, and what the entry VMs were told. */
export class OwnershipOracle {
  readonly #region: FakeRegion;
  readonly #keyHashes: readonly string[];
  readonly #durableWrites = new Map<number, string>();
  readonly #revisionSeen = new Map<string, number>();
  readonly #configurationSeen = new Map<string, number>();
  /** Milliseconds for which each key was owned by nobody in a row. */
  readonly #unownedSince = new Map<string, number>();
  longestUnownedMilliseconds = 0;

  constructor(region: FakeRegion, hasher: KeyHasher, sliceCount: number) {
    this.#region = region;
    this.#keyHashes = oneKeyPerSlice(hasher, sliceCount);
  }

  get keyHashes(): readonly string[] {
    return this.#keyHashes;
  }

  /** @throws InvariantError when a promise is broken at this moment. */
  async check(): Promise<void> {
    const [broken] = this.#region.brokenInvariants;
    if (broken !== undefined) {
      throw new InvariantError(broken);
    }
    this.#checkOwners();
    await this.#checkAssignments();
    this.#checkConfigurations();
  }

  /** Servers that own a key; for servers that check no fences, those to which any entry VM would send. */
  ownersOf(keyHash: string): readonly string[] {
    if (this.#region.servers.some(({ checksFences }) => !checksFences)) {
      const targets = [...this.#region.entryVms.values()].map((control) => targetOf(control, keyHash));
      return [...new Set(targets.filter((address) => address !== undefined))];
    }
    return this.#region.servers.filter((server) => server.owns(keyHash)).map(({ address }) => address);
  }

  resetUnowned(): void {
    this.#unownedSince.clear();
    this.longestUnownedMilliseconds = 0;
  }

  #checkOwners(): void {
    const now = performance.now();
    for (const keyHash of this.#keyHashes) {
      const owners = this.ownersOf(keyHash);
      if (owners.length > 1) {
        throw new InvariantError(
          `key ${keyHash} is owned by ${owners.join(' and ')} at ${now.toString()} ms`,
        );
      }
      if (owners.length === 1) {
        this.#unownedSince.delete(keyHash);
        continue;
      }
      const since = this.#unownedSince.get(keyHash) ?? now;
      this.#unownedSince.set(keyHash, since);
      this.longestUnownedMilliseconds = Math.max(this.longestUnownedMilliseconds, now - since);
    }
  }

  async #checkAssignments(): Promise<void> {
    const row = await this.#region.platform.memory.table.read(`assignment/${SERVICE}`);
    if (row.version > 0) {
      this.#durableWrites.set(row.version, assignmentSchema.parse(JSON.parse(row.value)).writeId);
    }
    for (const control of this.#region.entryVms.values()) {
      const assignment = control.assignment(SERVICE);
      if (assignment === undefined) {
        continue;
      }
      const { incarnation } = control.self;
      const durable = this.#durableWrites.get(assignment.revision);
      if (assignment.revision > row.version || (durable !== undefined && durable !== assignment.writeId)) {
        throw new InvariantError(
          `${incarnation} follows revision ${assignment.revision.toString()}, not durable`,
        );
      }
      if (assignment.revision < (this.#revisionSeen.get(incarnation) ?? 0)) {
        throw new InvariantError(`${incarnation} went back to revision ${assignment.revision.toString()}`);
      }
      this.#revisionSeen.set(incarnation, assignment.revision);
    }
  }

  #checkConfigurations(): void {
    for (const control of this.#region.entryVms.values()) {
      const revision = control.configuration.current?.revision ?? 0;
      const { incarnation } = control.self;
      if (revision < (this.#configurationSeen.get(incarnation) ?? 0)) {
        throw new InvariantError(`${incarnation} went back to configuration ${revision.toString()}`);
      }
      this.#configurationSeen.set(incarnation, revision);
    }
  }
}

function oneKeyPerSlice(hasher: KeyHasher, sliceCount: number): readonly string[] {
  const found = new Map<number, string>();
  for (let candidate = 0; found.size < sliceCount; candidate += 1) {
    const keyHash = hasher.hash(`key-${candidate.toString()}`);
    found.set(sliceOf(keyHash, sliceCount), keyHash);
  }
  return [...found.values()];
}

function targetOf(control: EntryVmControl, keyHash: string): string | undefined {
  const assignment = control.assignment(SERVICE);
  if (assignment === undefined) {
    return undefined;
  }
  const unit = unitOfKey(assignment, keyHash);
  const server = findServer(assignment, ownerOfUnit(assignment, unit));
  const isReleasing = assignment.releases.some((release) => unitName(release.unit) === unitName(unit));
  const maySend = server !== undefined && !isReleasing && control.routeLeases.mayRoute(SERVICE, server);
  return maySend ? server.address : undefined;
}
