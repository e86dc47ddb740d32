import { randomInt, randomUUID } from 'node:crypto';
import { Agent } from 'undici';
import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { splitAddress } from '@hickoryhoist/base/common/networkAddress.js';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import {
  CrashingRequestDetector,
  findCrashingRequests,
} from '@hickoryhoist/gateway/common/crashingRequestDetector.js';
import { IdempotencyKeyRouter } from '@hickoryhoist/gateway/common/idempotencyKeyRouter.js';
import { IdempotencyLedger } from '@hickoryhoist/gateway/common/idempotencyLedger.js';
import type { CallerRequest } from '@hickoryhoist/gateway/common/callerRequest.js';
import type { RequestOutcome } from '@hickoryhoist/gateway/common/requestOutcome.js';
import { RequestExecutor } from '@hickoryhoist/gateway/common/requestExecutor.js';
import { LoadBalancer } from '@hickoryhoist/gateway/common/loadBalancer.js';
import { ServiceMetrics } from '@hickoryhoist/gateway/common/serviceMetrics.js';
import { ConnectionPool } from '@hickoryhoist/gateway/node/connectionPool.js';
import { GatewayServer } from '@hickoryhoist/gateway/node/gatewayServer.js';
import { ENTRY_VM_GROUP, EntryVmControl } from '@hickoryhoist/ownership/common/entryVmControl.js';
import { leaseTiming } from '@hickoryhoist/ownership/common/leaseTiming.js';
import { GrpcControlServer } from '@hickoryhoist/ownership/node/grpcControlServer.js';
import { GrpcPeerClient } from '@hickoryhoist/ownership/node/grpcPeerClient.js';
import { HttpServerClient } from '@hickoryhoist/ownership/node/httpServerClient.js';
import type { Platform } from '@hickoryhoist/store/common/platform.js';
import type { EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import type { EntryVmSettings } from '../common/entryVmSettings.js';
import { AssignmentRouting } from './assignmentRouting.js';
import { OperatorServer } from './operatorServer.js';
import { interceptPeerMessage } from './peerMessages.js';
import { StatusReader } from './statusReader.js';

const MAX_SEED = 0x7fffffff;
const STOP_POLL_MILLISECONDS = 50;
const COMMAND_KEEP_ALIVE_MILLISECONDS = 30_000;

/** The process of an entry VM: the gateway, the control tasks and all ports. */
export class EntryVmProcess extends DisposableBase {
  readonly #settings: EntryVmSettings;
  readonly #logger: Logger;
  readonly #control: EntryVmControl;
  readonly #callerServer: GatewayServer;
  readonly #peerServer: GatewayServer;
  readonly #operatorServer: OperatorServer;
  readonly #controlServer: GrpcControlServer;
  #isStopping = false;

  private constructor(settings: EntryVmSettings, platform: Platform, hasher: KeyHasher, logger: Logger) {
    super();
    this.#settings = settings;
    this.#logger = logger;
    const random = new RandomSource(randomInt(MAX_SEED));
    const loadBalancer = new LoadBalancer(random);
    const crashDetector = new CrashingRequestDetector();
    const agent = new Agent({
      keepAliveTimeout: COMMAND_KEEP_ALIVE_MILLISECONDS,
      connectTimeout: leaseTiming.commandTimeoutMilliseconds,
    });
    this.register(toDisposable(() => void agent.destroy()));
    this.#control = this.register(
      new EntryVmControl({
        self: describeSelf(settings),
        platform,
        peers: this.register(new GrpcPeerClient()),
        servers: new HttpServerClient(agent),
        hasher,
        random,
        logger,
        seedAddresses: settings.seedControlAddresses,
        loadReport: (group) => loadBalancer.loadReport(group),
        crashExchange: {
          onDidRecordLoss: crashDetector.onDidRecordLoss,
          report: () => crashDetector.report(),
          findCrashingRequests,
          setRefusedFingerprints: (fingerprints) => {
            crashDetector.setRefusedFingerprints(fingerprints);
          },
        },
      }),
    );
    this.#controlServer = this.register(new GrpcControlServer(this.#control));
    const routing = new AssignmentRouting(this.#control);
    const transport = this.register(new ConnectionPool());
    const executor = new RequestExecutor(hasher, routing, transport, loadBalancer, crashDetector, logger);
    const idempotencyKeyRouter = new IdempotencyKeyRouter({
      requestAddress: settings.requestAddress,
      hasher,
      routing,
      holder: this.#control.holder,
      ledger: new IdempotencyLedger(),
      executor,
      transport,
    });
    const metrics = new ServiceMetrics();
    const configuration = () => (this.#control.isIsolated ? undefined : this.#control.configuration.current);
    const execute = (request: CallerRequest): Promise<RequestOutcome> =>
      request.isIdempotent || request.idempotencyKey === undefined
        ? executor.execute(request)
        : idempotencyKeyRouter.execute(request, request.idempotencyKey);
    this.#callerServer = this.register(
      new GatewayServer({
        configuration,
        execute,
        record: (request, outcome, elapsed) => {
          metrics.record(request.service, outcome, elapsed);
        },
        logger,
      }),
    );
    this.#peerServer = this.register(
      new GatewayServer({
        configuration,
        execute: (request) => {
          const idempotencyKey = request.idempotencyKey ?? '';
          return idempotencyKeyRouter.executeAsOwner(request, idempotencyKey, hasher.hash(idempotencyKey));
        },
        intercept: (message, response) => interceptPeerMessage(this.#control.holder, message, response),
        record: () => undefined,
        logger,
      }),
    );
    const status = new StatusReader(settings, this.#control, metrics, () => ({
      isReady: this.isReady,
      inFlight: this.#callerServer.inFlight,
    }));
    this.#operatorServer = this.register(new OperatorServer(status, this.#control));
  }

  /** Opens all ports of an entry VM. @throws GatewayListenError, ControlListenError */
  static async start(settings: EntryVmSettings, platform: Platform, logger: Logger): Promise<EntryVmProcess> {
    const entryVm = new EntryVmProcess(settings, platform, await KeyHasher.create(), logger);
    try {
      await entryVm.#listen();
    } catch (error) {
      entryVm.dispose();
      throw error;
    }
    return entryVm;
  }

  /** Whether the platform's load balancer should send callers to this entry VM. */
  get isReady(): boolean {
    const hasConfiguration = this.#control.configuration.current !== undefined;
    return (
      hasConfiguration &&
      !this.#isStopping &&
      !this.#control.isIsolated &&
      this.#control.assignment(ENTRY_VM_GROUP) !== undefined
    );
  }

  /** Planned stop: transfers keys and lease renewals, completes requests in flight, and closes the ports. */
  async stop(): Promise<void> {
    if (this.#isStopping) {
      return;
    }
    this.#isStopping = true;
    this.#logger.log('info', 'stop-started', {
      id: this.#settings.id,
      inFlight: this.#callerServer.inFlight,
    });
    this.#control.leave();
    this.#callerServer.beginStop();
    await Promise.all([this.#waitForTransfer(), delay(this.#settings.balancerReactionMilliseconds)]);
    await this.#callerServer.stop();
    await this.#peerServer.stop();
    this.dispose();
    this.#logger.log('info', 'stopped', { id: this.#settings.id });
  }

  async #listen(): Promise<void> {
    const { callerAddress, requestAddress, controlAddress, operatorAddress, id } = this.#settings;
    await this.#controlServer.listen(controlAddress);
    await listenOn(this.#peerServer, requestAddress);
    await listenOn(this.#callerServer, callerAddress);
    // The operator port says whether this entry VM is ready for callers, so it opens after theirs.
    await listenOn(this.#operatorServer, operatorAddress);
    this.#logger.log('info', 'listening', {
      id,
      callerAddress,
      requestAddress,
      controlAddress,
      operatorAddress,
    });
  }

  async #waitForTransfer(): Promise<void> {
    const deadline = performance.now() + this.#settings.stopGraceMilliseconds;
    while (performance.now() < deadline && this.#isTransferPending()) {
      await delay(STOP_POLL_MILLISECONDS);
    }
  }

  #isTransferPending(): boolean {
    const assignment = this.#control.assignment(ENTRY_VM_GROUP);
    const self = assignment?.servers.find(({ address }) => address === this.#settings.requestAddress);
    const hasNoSuccessor = (assignment?.servers.filter(({ phase }) => phase === 'serving').length ?? 0) === 0;
    const ownsKeys = assignment?.owners.some((owner) => owner === self?.number) ?? false;
    const isRenewing = this.#control.groups.some(
      ({ follower }) => this.#control.renewer.report(follower.group).length > 0,
    );
    return !hasNoSuccessor && (ownsKeys || isRenewing);
  }
}

function describeSelf(settings: EntryVmSettings): EntryVm {
  const { id, availabilityZone, controlAddress, requestAddress } = settings;
  return { id, incarnation: randomUUID(), availabilityZone, controlAddress, requestAddress };
}

async function listenOn(
  server: { listen(host: string, port: number): Promise<number> },
  address: string,
): Promise<void> {
  const { host, port } = splitAddress(address);
  await server.listen(host, port);
}
