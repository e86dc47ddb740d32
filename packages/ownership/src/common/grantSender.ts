import { repeat } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase } from '@hickoryhoist/base/common/disposable.js';
import {
  type Assignment,
  findServerByAddress,
  type ServerRecord,
} from '@hickoryhoist/protocol/common/assignment.js';
import type {
  OwnershipCommand,
  OwnershipGrant,
  OwnershipState,
} from '@hickoryhoist/protocol/common/serverMessages.js';
import { grantContent, grantFor } from './grants.js';
import { leaseTiming } from './leaseTiming.js';
import type { ServerClient } from './serverClient.js';

const SEND_INTERVAL_MILLISECONDS = 100;
/** Interval between two describe commands to a server that no renewer reports as reachable. */
const DESCRIBE_INTERVAL_MILLISECONDS = 300;
/** Interval between two describe commands to a server that a renewer reports as reachable. */
const MONITORED_DESCRIBE_INTERVAL_MILLISECONDS = 5_000;

/** A grant built from one assignment. */
interface PreparedGrant {
  readonly assignment: Assignment;
  readonly grant: OwnershipGrant;
  readonly content: string;
}

/** Sends one server its current grant, and probes the server with describe commands when no grant is due. */
export class GrantSender extends DisposableBase {
  readonly #address: string;
  readonly #servers: ServerClient;
  #assignment: Assignment | undefined;
  #state: OwnershipState | undefined;
  #fenceSupport: 'checked' | 'unchecked' = 'checked';
  #lastResponseAt: number | undefined;
  #lastDescribeAt = 0;
  #prepared: PreparedGrant | undefined;
  #acknowledgedContent = '';
  #acknowledgedRevision = 0;
  #isBusy = false;
  #isMonitored = false;

  constructor(address: string, servers: ServerClient) {
    super();
    this.#address = address;
    this.#servers = servers;
    this.register(
      repeat(
        () => SEND_INTERVAL_MILLISECONDS,
        () => this.#run(),
        () => undefined,
      ),
    );
    void this.#run().catch(() => undefined);
  }

  get fenceSupport(): 'checked' | 'unchecked' {
    return this.#fenceSupport;
  }

  get state(): OwnershipState | undefined {
    return this.#state;
  }

  /** Time of the last response on the runtime's monotonic clock, in milliseconds. */
  get lastResponseAt(): number | undefined {
    return this.#lastResponseAt;
  }

  /** Newest revision whose grant the server has acknowledged. */
  get acknowledgedRevision(): number {
    return this.#acknowledgedRevision;
  }

  /** Sets whether a renewer reports the server as reachable, so that it is probed less often. */
  setMonitored(isMonitored: boolean): void {
    this.#isMonitored = isMonitored;
  }

  /** Sets the newest stored assignment and sends the grant that results from it. */
  applyAssignment(assignment: Assignment): void {
    this.#assignment = assignment;
    void this.#run().catch(() => undefined);
  }

  async #run(): Promise<void> {
    if (this.#isBusy || this.isDisposed()) {
      return;
    }
    this.#isBusy = true;
    try {
      let handled: Assignment | undefined;
      do {
        handled = this.#assignment;
        await this.#sendDueCommand();
      } while (handled !== this.#assignment && !this.isDisposed());
    } finally {
      this.#isBusy = false;
    }
  }

  async #sendDueCommand(): Promise<void> {
    const assignment = this.#assignment;
    const server = assignment === undefined ? undefined : findServerByAddress(assignment, this.#address);
    if (assignment === undefined || server === undefined || !acceptsGrants(server)) {
      await this.#describeWhenDue();
      return;
    }
    const { grant, content } = this.#prepareGrant(assignment, server);
    if (content === this.#acknowledgedContent && this.#state?.drainingKeys.length === 0) {
      this.#acknowledgedRevision = assignment.revision;
      await this.#describeWhenDue();
      return;
    }
    const state = await this.#send(grant);
    if (state?.accepted === true) {
      this.#acknowledgedContent = content;
      this.#acknowledgedRevision = assignment.revision;
    }
  }

  #prepareGrant(assignment: Assignment, server: ServerRecord): PreparedGrant {
    if (this.#prepared?.assignment !== assignment) {
      const grant = grantFor(assignment, server);
      this.#prepared = { assignment, grant, content: grantContent(grant) };
    }
    return this.#prepared;
  }

  async #describeWhenDue(): Promise<void> {
    const interval = this.#isMonitored
      ? MONITORED_DESCRIBE_INTERVAL_MILLISECONDS
      : DESCRIBE_INTERVAL_MILLISECONDS;
    if (performance.now() - this.#lastDescribeAt < interval) {
      return;
    }
    this.#lastDescribeAt = performance.now();
    await this.#send({ kind: 'describe' });
  }

  async #send(command: OwnershipCommand): Promise<OwnershipState | undefined> {
    const response = await this.#servers.send(this.#address, command, leaseTiming.commandTimeoutMilliseconds);
    this.#lastResponseAt = performance.now();
    switch (response.kind) {
      case 'unchecked':
        this.#fenceSupport = 'unchecked';
        return undefined;
      case 'checked':
        if (this.#state !== undefined && this.#state.incarnation !== response.state.incarnation) {
          this.#acknowledgedContent = '';
        }
        this.#fenceSupport = 'checked';
        this.#state = response.state;
        return response.state;
    }
  }
}

function acceptsGrants({ phase, fenceSupport }: ServerRecord): boolean {
  return phase !== 'lost' && fenceSupport === 'checked';
}
