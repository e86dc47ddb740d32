import {
  type Assignment,
  NO_OWNER,
  type Pin,
  type Release,
  type ServerRecord,
  type Unit,
  unitName,
} from '@hickoryhoist/protocol/common/assignment.js';

/** A mutable copy of an assignment from which the next revision is built. It has no effect until it is stored. */
export class AssignmentDraft {
  readonly #base: Assignment;
  readonly #owners: number[];
  readonly #servers: Map<number, ServerRecord>;
  readonly #releases: Map<string, Release>;
  readonly #pins: Map<string, Pin>;
  #isChanged = false;

  constructor(base: Assignment) {
    this.#base = base;
    this.#owners = [...base.owners];
    this.#servers = new Map(base.servers.map((server) => [server.number, server]));
    this.#releases = new Map(base.releases.map((release) => [unitName(release.unit), release]));
    this.#pins = new Map(base.pins.map((pin) => [pin.keyHash, pin]));
  }

  /** Revision that the draft will have. */
  get revision(): number {
    return this.#base.revision + 1;
  }

  get isChanged(): boolean {
    return this.#isChanged;
  }

  get owners(): readonly number[] {
    return this.#owners;
  }

  get servers(): readonly ServerRecord[] {
    return [...this.#servers.values()];
  }

  get releases(): readonly Release[] {
    return [...this.#releases.values()];
  }

  get pins(): readonly Pin[] {
    return [...this.#pins.values()];
  }

  findServer(address: string): ServerRecord | undefined {
    return this.servers.find((server) => server.address === address);
  }

  nextServerNumber(): number {
    return Math.max(0, ...this.#servers.keys()) + 1;
  }

  putServer(server: ServerRecord): void {
    this.#servers.set(server.number, server);
    this.#isChanged = true;
  }

  removeServer(number: number): void {
    this.#servers.delete(number);
    this.#isChanged = true;
  }

  isReleasing(unit: Unit): boolean {
    return this.#releases.has(unitName(unit));
  }

  release(unit: Unit, successor: number): void {
    this.#releases.set(unitName(unit), { unit, successor, sinceRevision: this.revision });
    this.#isChanged = true;
  }

  /** Sets the owner of a unit and completes its release, if any. */
  assign(unit: Unit, owner: number): void {
    switch (unit.unit.$case) {
      case 'slice':
        this.#owners[unit.unit.value] = owner;
        break;
      case 'pin':
        this.#pins.set(unit.unit.value, { keyHash: unit.unit.value, owner });
        break;
    }
    this.#releases.delete(unitName(unit));
    this.#isChanged = true;
  }

  /** Cancels the release of a unit, which stays with its current owner. */
  cancelRelease(unit: Unit): void {
    this.#releases.delete(unitName(unit));
    this.#isChanged = true;
  }

  removePin(keyHash: string): void {
    this.#pins.delete(keyHash);
    this.#isChanged = true;
  }

  /** Units that a server owns, including those that it is releasing. */
  unitsOf(number: number): readonly Unit[] {
    const units: Unit[] = [];
    this.#owners.forEach((owner, slice) => {
      if (owner === number) {
        units.push({ unit: { $case: 'slice', value: slice } });
      }
    });
    for (const { keyHash, owner } of this.#pins.values()) {
      if (owner === number) {
        units.push({ unit: { $case: 'pin', value: keyHash } });
      }
    }
    return units;
  }

  ownsAny(number: number): boolean {
    return this.#owners.includes(number) || this.pins.some(({ owner }) => owner === number);
  }

  unownedUnits(): readonly Unit[] {
    return this.unitsOf(NO_OWNER);
  }

  build(term: number, writeId: string): Assignment {
    return {
      group: this.#base.group,
      revision: this.revision,
      term,
      owners: this.#owners,
      servers: this.servers,
      releases: this.releases,
      pins: this.pins,
      writeId,
    };
  }
}
