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

const FORWARD_MILLISECONDS = 2;
const LEASE_MILLISECONDS = 1_000;

interface FakeEntryVm {
  holder: OwnershipHolder;
  router: IdempotencyKeyRouter;
  isUp: boolean;
}

/** Entry VMs that forward requests to the owner of all keys, which changes when it crashes or loses its lease. */
export class FakeEntryVms {
  readonly #hasher: KeyHasher;
  readonly #random: RandomSource;
  readonly #servers: ServerTransport;
  readonly #entryVms: FakeEntryVm[] = [];
  #owner = 0;
  #revision = 1;

  private constructor(hasher: KeyHasher, random: RandomSource, servers: ServerTransport, count: number) {
    this.#hasher = hasher;
    this.#random = random;
    this.#servers = servers;
    for (let index = 0; index < count; index += 1) {
      this.#entryVms.push(this.#startEntryVm(index, 0));
    }
    this.#grantOwner();
  }

  static async create(random: RandomSource, servers: ServerTransport, count: number): Promise<FakeEntryVms> {
    return new FakeEntryVms(await KeyHasher.create(), random, servers, count);
  }

  execute(index: number, request: CallerRequest): Promise<RequestOutcome> {
    const entryVm = this.#entryVm(index);
    return entryVm.router.execute(request, request.idempotencyKey ?? '');
  }

  /** Renews the lease of the owner. */
  renew(): void {
    const { holder } = this.#entryVm(this.#owner);
    holder.handle({
      kind: 'renew',
      group: ENTRY_VM_GROUP,
      incarnation: holder.incarnation,
      epoch: holder.epoch,
      renewerFence: holder.epoch,
      validUntilMilliseconds: performance.now() + LEASE_MILLISECONDS,
    });
  }

  /** Crashes the owner, which loses its memory. Another entry VM becomes the owner when the lease has expired. */
  async crashOwner(): Promise<void> {
    const crashed = this.#owner;
    this.#entryVm(crashed).isUp = false;
    await delay(LEASE_MILLISECONDS);
    this.#changeOwner();
    this.#entryVms[crashed] = this.#startEntryVm(crashed, this.#revision);
  }

  /** Makes another entry VM the owner when the lease has expired. The previous owner keeps its memory and requests. */
  async expireOwnerLease(): Promise<void> {
    await delay(LEASE_MILLISECONDS);
    this.#changeOwner();
  }

  #changeOwner(): void {
    this.#owner = (this.#owner + 1) % this.#entryVms.length;
    this.#revision += 1;
    this.#grantOwner();
  }

  #grantOwner(): void {
    const { holder } = this.#entryVm(this.#owner);
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

  #startEntryVm(index: number, start: number): FakeEntryVm {
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
    const loadBalancer = new LoadBalancer(this.#random);
    const executor = new RequestExecutor(
      this.#hasher,
      routing,
      this.#servers,
      loadBalancer,
      new CrashingRequestDetector(),
      silentLogger,
    );
    const entryVm: FakeEntryVm = {
      holder,
      isUp: true,
      router: new IdempotencyKeyRouter({
        requestAddress: addressOf(index),
        hasher: this.#hasher,
        routing,
        holder,
        ledger: new IdempotencyLedger(),
        executor,
        transport: { send: (request) => this.#forward(request) },
      }),
    };
    return entryVm;
  }

  async #forward(request: Parameters<ServerTransport['send']>[0]): Promise<AttemptResult> {
    await delay(FORWARD_MILLISECONDS);
    const entryVm = this.#entryVms.find((_entryVm, index) => addressOf(index) === request.address);
    const idempotencyKey = String(request.headers[headerNames.idempotencyKey]);
    const keyHash = this.#hasher.hash(idempotencyKey);
    if (entryVm?.isUp !== true) {
      return { kind: 'not-written' };
    }
    if (!entryVm.holder.owns(keyHash)) {
      return { kind: 'refused', refusal: 'not-owner' };
    }
    const outcome = await entryVm.router.executeAsOwner(
      this.#received(request, idempotencyKey),
      idempotencyKey,
      keyHash,
    );
    return this.#isUp(entryVm) ? toAttemptResult(outcome) : { kind: 'lost', cause: 'connection-lost' };
  }

  #isUp(entryVm: FakeEntryVm): boolean {
    return entryVm.isUp;
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

  #entryVm(index: number): FakeEntryVm {
    const entryVm = this.#entryVms[index];
    if (entryVm === undefined) {
      throw new RangeError(`no entry VM ${index.toString()}`);
    }
    return entryVm;
  }
}

function addressOf(index: number): string {
  return `10.0.1.${index.toString()}:81`;
}

function toAttemptResult(outcome: RequestOutcome): AttemptResult {
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
