import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { ENTRY_VM_GROUP } from '@hickoryhoist/ownership/common/entryVmControl.js';
import { OwnershipHolder } from '@hickoryhoist/ownership/common/ownershipHolder.js';
import type { Assignment } from '@hickoryhoist/protocol/common/assignment.js';
import { headerNames } from '@hickoryhoist/protocol/common/requestHeaders.js';
import { CrashingRequestDetector } from '../../crashingRequestDetector.js';
import type { CallerRequest } from '../../callerRequest.js';
import { IdempotencyKeyRouter } from '../../idempotencyKeyRouter.js';
import { IdempotencyLedger } from '../../idempotencyLedger.js';
import type { RoutingState } from '../../routingState.js';
import type { RequestOutcome } from '../../requestOutcome.js';
import { RequestExecutor } from '../../requestExecutor.js';
import { LoadBalancer } from '../../loadBalancer.js';
import type { AttemptResult, ServerTransport } from '../../serverTransport.js';
import { reservations } from './requests.js';

const HANDED_OVER_MILLISECONDS = 2;
const LEASE_MILLISECONDS = 1_000;

interface Home {
  holder: OwnershipHolder;
  gateway: IdempotencyKeyRouter;
  isUp: boolean;
}

/** Entry VMs that hand requests over to one home; the home changes by loss or by a planned move. */
export class FakeHomes {
  readonly #hasher: KeyHasher;
  readonly #random: RandomSource;
  readonly #servers: ServerTransport;
  readonly #homes: Home[] = [];
  #owner = 0;
  #revision = 1;

  private constructor(hasher: KeyHasher, random: RandomSource, servers: ServerTransport, count: number) {
    this.#hasher = hasher;
    this.#random = random;
    this.#servers = servers;
    for (let index = 0; index < count; index += 1) {
      this.#homes.push(this.#startHome(index, 0));
    }
    this.#grantOwner();
  }

  static async create(random: RandomSource, servers: ServerTransport, count: number): Promise<FakeHomes> {
    return new FakeHomes(await KeyHasher.create(), random, servers, count);
  }

  execute(index: number, request: CallerRequest): Promise<RequestOutcome> {
    const home = this.#home(index);
    return home.gateway.execute(request, request.idempotencyKey ?? '');
  }

  /** Renews the lease of the owner. */
  renew(): void {
    const { holder } = this.#home(this.#owner);
    holder.handle({
      kind: 'renew',
      group: ENTRY_VM_GROUP,
      incarnation: holder.incarnation,
      epoch: holder.epoch,
      renewerFence: holder.epoch,
      validUntilMilliseconds: performance.now() + LEASE_MILLISECONDS,
    });
  }

  /** Loses the owner with its memory; after its lease another entry VM becomes the home. */
  async loseOwner(): Promise<void> {
    const lost = this.#owner;
    this.#home(lost).isUp = false;
    await delay(LEASE_MILLISECONDS);
    this.#moveOn();
    this.#homes[lost] = this.#startHome(lost, this.#revision);
  }

  /** Freezes the owner for longer than its lease; it keeps its memory and its requests in hand. */
  async outliveOwner(): Promise<void> {
    await delay(LEASE_MILLISECONDS);
    this.#moveOn();
  }

  #moveOn(): void {
    this.#owner = (this.#owner + 1) % this.#homes.length;
    this.#revision += 1;
    this.#grantOwner();
  }

  #grantOwner(): void {
    const { holder } = this.#home(this.#owner);
    holder.handle({
      kind: 'grant',
      group: ENTRY_VM_GROUP,
      incarnation: holder.incarnation,
      epoch: this.#revision,
      revision: this.#revision,
      renewerFence: this.#revision,
      slices: [0],
      sliceCount: 1,
      pins: [],
      excludedKeys: [],
    });
    this.renew();
  }

  #startHome(index: number, start: number): Home {
    const holder = new OwnershipHolder({
      incarnation: `vm-${index.toString()}#${start.toString()}`,
      now: () => performance.now(),
    });
    const routing: RoutingState = {
      assignment: () => this.#assignment(),
      pooledServers: () => ['10.0.0.1:80', '10.0.0.2:80'],
      mayRoute: () => true,
      track: () => toDisposable(() => undefined),
    };
    const directory = new LoadBalancer(this.#random);
    const executor = new RequestExecutor(
      this.#hasher,
      routing,
      this.#servers,
      directory,
      new CrashingRequestDetector(),
      silentLogger,
    );
    const home: Home = {
      holder,
      isUp: true,
      gateway: new IdempotencyKeyRouter({
        requestAddress: addressOf(index),
        hasher: this.#hasher,
        routing,
        holder,
        ledger: new IdempotencyLedger(),
        executor,
        transport: { send: (request) => this.#handOver(request) },
      }),
    };
    return home;
  }

  async #handOver(request: Parameters<ServerTransport['send']>[0]): Promise<AttemptResult> {
    await delay(HANDED_OVER_MILLISECONDS);
    const home = this.#homes.find((_home, index) => addressOf(index) === request.address);
    const idempotencyKey = String(request.headers[headerNames.idempotencyKey]);
    const keyHash = this.#hasher.hash(idempotencyKey);
    if (home?.isUp !== true) {
      return { kind: 'not-written' };
    }
    if (!home.holder.owns(keyHash)) {
      return { kind: 'refused', refusal: 'not-owner' };
    }
    const outcome = await home.gateway.executeAsOwner(
      this.#received(request, idempotencyKey),
      idempotencyKey,
      keyHash,
    );
    return this.#isUp(home) ? asAttempt(outcome) : { kind: 'lost', cause: 'connection-lost' };
  }

  #isUp(home: Home): boolean {
    return home.isUp;
  }

  #received(request: Parameters<ServerTransport['send']>[0], idempotencyKey: string): CallerRequest {
    return {
      id: request.requestId,
      service: reservations,
      method: request.method,
      target: request.target,
      headers: { [headerNames.idempotencyKey]: idempotencyKey },
      body: request.body,
      key: undefined,
      idempotencyKey,
      isIdempotent: false,
      deadlineAt: performance.now() + request.timeoutMilliseconds,
      signal: request.signal,
    };
  }

  #assignment(): Assignment {
    const server = {
      number: 1,
      address: addressOf(this.#owner),
      availabilityZone: 'a',
      incarnation: '',
      fenceSupport: 'checked',
      phase: 'serving',
      epoch: this.#revision,
      renewerFence: this.#revision,
      renewers: [],
      possibleRenewers: [],
    } as const;
    const revision = this.#revision;
    const fields = { group: ENTRY_VM_GROUP, revision, term: 1, writeId: '', releases: [], pins: [] };
    return { ...fields, owners: [1], servers: [server] };
  }

  #home(index: number): Home {
    const home = this.#homes[index];
    if (home === undefined) {
      throw new RangeError(`no home ${index.toString()}`);
    }
    return home;
  }
}

function addressOf(index: number): string {
  return `10.0.1.${index.toString()}:81`;
}

function asAttempt(outcome: RequestOutcome): AttemptResult {
  switch (outcome.kind) {
    case 'answered':
      return { ...outcome, headers: { [headerNames.outcome]: 'answered' } };
    case 'not-run':
    case 'unknown': {
      const headers = { [headerNames.outcome]: outcome.kind, [headerNames.reason]: outcome.reason };
      return { kind: 'answered', status: 503, headers, body: Buffer.alloc(0) };
    }
  }
}
