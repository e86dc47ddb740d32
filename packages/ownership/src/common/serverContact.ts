import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import {
  type Assignment,
  findServerByAddress,
  type ServerRecord,
} from '@hickoryhoist/protocol/common/assignment.js';
import type {
  OwnershipGrant,
  OwnershipCommand,
  OwnershipState,
} from '@hickoryhoist/protocol/common/serverMessages.js';
import { grantContent, grantFor } from './grants.js';
import { leaseTiming } from './leaseTiming.js';
import type { ServerClient } from './serverClient.js';

const CONTACT_PAUSE_MILLISECONDS = 100;
/** Pause between two questions to a server of which nothing else is heard. */
const DESCRIBE_PAUSE_MILLISECONDS = 300;
/** Pause between two questions to a server whose renewers report that it answers. */
const CALM_DESCRIBE_PAUSE_MILLISECONDS = 5_000;

/** A grant that was built for one assignment. */
interface PreparedGrant {
  readonly assignment: Assignment;
  readonly grant: OwnershipGrant;
  readonly content: string;
}

/** Keeps one server's grants up to date, and finds out whether the server is there. */
export class ServerContact extends DisposableBase {
  readonly #address: string;
  readonly #servers: ServerClient;
  #assignment: Assignment | undefined;
  #state: OwnershipState | undefined;
  #fenceSupport: 'checked' | 'unchecked' = 'checked';
  #lastAnswerAt: number | undefined;
  #lastDescribeAt = 0;
  #prepared: PreparedGrant | undefined;
  #acknowledgedContent = '';
  #acknowledgedRevision = 0;
  #isBusy = false;
  #isCalm = false;

  constructor(address: string, servers: ServerClient) {
    super();
    this.#address = address;
    this.#servers = servers;
    this.register(
      repeat(
        () => CONTACT_PAUSE_MILLISECONDS,
        () => this.#work(),
        () => undefined,
      ),
    );
    void this.#work().catch(() => undefined);
  }

  get fenceSupport(): 'checked' | 'unchecked' {
    return this.#fenceSupport;
  }

  get state(): OwnershipState | undefined {
    return this.#state;
  }

  /** Time of the newest answer on the runtime's monotonic clock, in milliseconds. */
  get lastAnswerAt(): number | undefined {
    return this.#lastAnswerAt;
  }

  /** Newest revision whose grant the server acknowledged. */
  get acknowledgedRevision(): number {
    return this.#acknowledgedRevision;
  }

  /** States whether others hear the server, so that it need not be asked as often. */
  setCalm(isCalm: boolean): void {
    this.#isCalm = isCalm;
  }

  /** Takes over a durable assignment and sends the grant that follows from it. */
  follow(assignment: Assignment): void {
    this.#assignment = assignment;
    void this.#work().catch(() => undefined);
  }

  async #work(): Promise<void> {
    if (this.#isBusy || this.isDisposed()) {
      return;
    }
    this.#isBusy = true;
    try {
      let handled: Assignment | undefined;
      do {
        handled = this.#assignment;
        await this.#sendWhatIsDue();
      } while (handled !== this.#assignment && !this.isDisposed());
    } finally {
      this.#isBusy = false;
    }
  }

  async #sendWhatIsDue(): Promise<void> {
    const assignment = this.#assignment;
    const server = assignment === undefined ? undefined : findServerByAddress(assignment, this.#address);
    if (assignment === undefined || server === undefined || !mayBeGranted(server)) {
      await this.#describeWhenDue();
      return;
    }
    const { grant, content } = this.#grantUnder(assignment, server);
    if (content === this.#acknowledgedContent && this.#state?.drainingKeys.length === 0) {
      this.#acknowledgedRevision = assignment.revision;
      await this.#describeWhenDue();
      return;
    }
    const state = await this.#order(grant);
    if (state?.accepted === true) {
      this.#acknowledgedContent = content;
      this.#acknowledgedRevision = assignment.revision;
    }
  }

  #grantUnder(assignment: Assignment, server: ServerRecord): PreparedGrant {
    if (this.#prepared?.assignment !== assignment) {
      const grant = grantFor(assignment, server);
      this.#prepared = { assignment, grant, content: grantContent(grant) };
    }
    return this.#prepared;
  }

  async #describeWhenDue(): Promise<void> {
    const pause = this.#isCalm ? CALM_DESCRIBE_PAUSE_MILLISECONDS : DESCRIBE_PAUSE_MILLISECONDS;
    if (performance.now() - this.#lastDescribeAt < pause) {
      return;
    }
    this.#lastDescribeAt = performance.now();
    await this.#order({ kind: 'describe' });
  }

  async #order(order: OwnershipCommand): Promise<OwnershipState | undefined> {
    const answer = await this.#servers.order(this.#address, order, leaseTiming.orderTimeoutMilliseconds);
    this.#lastAnswerAt = performance.now();
    switch (answer.kind) {
      case 'unchecked':
        this.#fenceSupport = 'unchecked';
        return undefined;
      case 'checked':
        if (this.#state !== undefined && this.#state.incarnation !== answer.state.incarnation) {
          this.#acknowledgedContent = '';
        }
        this.#fenceSupport = 'checked';
        this.#state = answer.state;
        return answer.state;
    }
  }
}

function mayBeGranted({ phase, fenceSupport }: ServerRecord): boolean {
  return phase !== 'lost' && fenceSupport === 'checked';
}
