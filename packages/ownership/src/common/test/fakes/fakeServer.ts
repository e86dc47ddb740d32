import type { KeyHash } from '@hickoryhoist/base/common/keyHash.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { OwnershipCommand } from '@hickoryhoist/protocol/common/serverMessages.js';
import { OwnershipHolder } from '../../ownershipHolder.js';
import type { CommandResponse } from '../../serverClient.js';

const MAXIMUM_CLOCK_OFFSET_MILLISECONDS = 1_000_000_000;
const MAXIMUM_CLOCK_DRIFT = 0.009;

/** A server with its own clock offset and drift. It supports fencing unless configured otherwise. */
export class FakeServer {
  readonly address: string;
  readonly availabilityZone: string;
  readonly #random: RandomSource;
  #holder: OwnershipHolder;
  #restarts = 0;
  #isUp = true;
  #isLeaving = false;

  constructor(
    address: string,
    availabilityZone: string,
    random: RandomSource,
    readonly supportsFencing = true,
  ) {
    this.address = address;
    this.availabilityZone = availabilityZone;
    this.#random = random;
    this.#holder = this.#createHolder();
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  get holder(): OwnershipHolder {
    return this.#holder;
  }

  owns(keyHash: KeyHash): boolean {
    return this.#isUp && this.#holder.owns(keyHash);
  }

  kill(): void {
    this.#isUp = false;
  }

  /** Starts a new incarnation without the state of the previous one. */
  restart(): void {
    this.#restarts += 1;
    this.#holder = this.#createHolder();
    this.#isUp = true;
    this.#isLeaving = false;
  }

  leave(): void {
    this.#isLeaving = true;
    this.#holder.leave();
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  handle(command: OwnershipCommand): CommandResponse {
    if (!this.supportsFencing) {
      return { kind: 'unchecked' };
    }
    return { kind: 'checked', state: this.#holder.handle(command) };
  }

  #createHolder(): OwnershipHolder {
    const offset = this.#random.integer(0, MAXIMUM_CLOCK_OFFSET_MILLISECONDS);
    const rate = 1 + (this.#random.fraction() * 2 - 1) * MAXIMUM_CLOCK_DRIFT;
    return new OwnershipHolder({
      incarnation: `${this.address}#${this.#restarts.toString()}`,
      now: () => offset + performance.now() * rate,
    });
  }
}
