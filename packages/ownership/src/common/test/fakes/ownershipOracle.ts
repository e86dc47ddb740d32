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

/** Checks the ownership of keys at the servers, and the assignments and configurations of the entry VMs. */
export class OwnershipOracle {
  readonly #region: FakeRegion;
  readonly #keyHashes: readonly string[];
  readonly #storedWriteIds = new Map<number, string>();
  readonly #lastRevisions = new Map<string, number>();
  readonly #lastConfigurationRevisions = new Map<string, number>();
  /** Time since which each unowned key has had no owner. */
  readonly #unownedSince = new Map<string, number>();
  longestUnownedMilliseconds = 0;

  constructor(region: FakeRegion, hasher: KeyHasher, sliceCount: number) {
    this.#region = region;
    this.#keyHashes = oneKeyPerSlice(hasher, sliceCount);
  }

  get keyHashes(): readonly string[] {
    return this.#keyHashes;
  }

  /** @throws InvariantError when an invariant is violated at present. */
  async check(): Promise<void> {
    const [violation] = this.#region.invariantViolations;
    if (violation !== undefined) {
      throw new InvariantError(violation);
    }
    this.#checkOwners();
    await this.#checkAssignments();
    this.#checkConfigurations();
  }

  /** Servers that own a key. Without fencing support, servers to which at least one entry VM would send the key. */
  ownersOf(keyHash: string): readonly string[] {
    if (this.#region.servers.some(({ supportsFencing }) => !supportsFencing)) {
      const targets = [...this.#region.entryVms.values()].map((control) => targetOf(control, keyHash));
      return [...new Set(targets.filter((address) => address !== undefined))];
    }
    return this.#region.servers.filter((server) => server.owns(keyHash)).map(({ address }) => address);
  }

  resetUnownedTimes(): void {
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
      this.#storedWriteIds.set(row.version, assignmentSchema.parse(JSON.parse(row.value)).writeId);
    }
    for (const control of this.#region.entryVms.values()) {
      const assignment = control.assignment(SERVICE);
      if (assignment === undefined) {
        continue;
      }
      const { incarnation } = control.self;
      const storedWriteId = this.#storedWriteIds.get(assignment.revision);
      if (
        assignment.revision > row.version ||
        (storedWriteId !== undefined && storedWriteId !== assignment.writeId)
      ) {
        throw new InvariantError(
          `${incarnation} applied revision ${assignment.revision.toString()}, which is not the stored one`,
        );
      }
      if (assignment.revision < (this.#lastRevisions.get(incarnation) ?? 0)) {
        throw new InvariantError(`${incarnation} reverted to revision ${assignment.revision.toString()}`);
      }
      this.#lastRevisions.set(incarnation, assignment.revision);
    }
  }

  #checkConfigurations(): void {
    for (const control of this.#region.entryVms.values()) {
      const revision = control.configuration.current?.revision ?? 0;
      const { incarnation } = control.self;
      if (revision < (this.#lastConfigurationRevisions.get(incarnation) ?? 0)) {
        throw new InvariantError(`${incarnation} reverted to configuration ${revision.toString()}`);
      }
      this.#lastConfigurationRevisions.set(incarnation, revision);
    }
  }
}

function oneKeyPerSlice(hasher: KeyHasher, sliceCount: number): readonly string[] {
  const keyHashes = new Map<number, string>();
  for (let candidate = 0; keyHashes.size < sliceCount; candidate += 1) {
    const keyHash = hasher.hash(`key-${candidate.toString()}`);
    keyHashes.set(sliceOf(keyHash, sliceCount), keyHash);
  }
  return [...keyHashes.values()];
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
