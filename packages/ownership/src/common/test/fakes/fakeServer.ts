import type { KeyHash } from '@hickoryhoist/base/common/keyHash.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import type { OwnershipCommand } from '@hickoryhoist/protocol/common/serverMessages.js';
import { OwnershipHolder } from '../../ownershipHolder.js';
import type { CommandResponse } from '../../serverClient.js';

const LARGEST_CLOCK_OFFSET_MILLISECONDS = 1_000_000_000;
const LARGEST_CLOCK_DRIFT = 0.009;

/** A server that checks fences, with a clock of its own. */
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
    readonly checksFences = true,
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

  /** Starts a new incarnation that knows nothing of the earlier one. */
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

  handle(order: OwnershipCommand): CommandResponse {
    if (!this.checksFences) {
      return { kind: 'unchecked' };
    }
    return { kind: 'checked', state: this.#holder.handle(order) };
  }

  #createHolder(): OwnershipHolder {
    const offset = this.#random.integer(0, LARGEST_CLOCK_OFFSET_MILLISECONDS);
    const rate = 1 + (this.#random.fraction() * 2 - 1) * LARGEST_CLOCK_DRIFT;
    return new OwnershipHolder({
      incarnation: `${this.address}#${this.#restarts.toString()}`,
      now: () => offset + performance.now() * rate,
    });
  }
}
