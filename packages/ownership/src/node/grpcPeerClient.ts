import { credentials, Metadata, type ServiceError } from '@grpc/grpc-js';
import { DisposableBase, toDisposable } from '@hickoryhoist/base/common/disposable.js';
import {
  type AssignerMessage,
  type ConfirmLostReply,
  type ConfirmLostRequest,
  ControlClient,
  type FetchStateReply,
  type RenewRoutesReply,
  type RenewRoutesRequest,
  type WithdrawReply,
  type WithdrawRequest,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { leaseTiming } from '../common/leaseTiming.js';
import {
  type FollowListener,
  type FollowStream,
  type PeerClient,
  PeerUnreachableError,
} from '../common/peerClient.js';

const CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 500,
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
} as const;

const MAXIMUM_CLIENTS = 512;

type Callback<Reply> = (error: ServiceError | null, reply: Reply) => void;

/** Calls other entry VMs over gRPC, with one channel per address. */
export class GrpcPeerClient extends DisposableBase implements PeerClient {
  readonly #clients = new Map<string, ControlClient>();

  constructor() {
    super();
    this.register(
      toDisposable(() => {
        this.#clients.forEach((client) => {
          client.close();
        });
      }),
    );
  }

  follow(address: string, listener: FollowListener): FollowStream {
    const call = this.#client(address).follow();
    let isOpen = true;
    const close = (): void => {
      if (isOpen) {
        isOpen = false;
        listener.onClose();
      }
    };
    call.on('data', (message: AssignerMessage) => {
      if (isOpen) {
        listener.onMessage(message);
      }
    });
    call.on('error', close);
    call.on('end', close);
    return {
      send: (report) => {
        if (isOpen) {
          call.write(report);
        }
      },
      dispose: () => {
        isOpen = false;
        call.cancel();
      },
    };
  }

  withdraw(address: string, request: WithdrawRequest): Promise<WithdrawReply> {
    return this.#call(address, (client, options, callback: Callback<WithdrawReply>) =>
      client.withdraw(request, new Metadata(), options, callback),
    );
  }

  renewRoutes(address: string, request: RenewRoutesRequest): Promise<RenewRoutesReply> {
    return this.#call(address, (client, options, callback: Callback<RenewRoutesReply>) =>
      client.renewRoutes(request, new Metadata(), options, callback),
    );
  }

  fetchState(address: string): Promise<FetchStateReply> {
    return this.#call(address, (client, options, callback: Callback<FetchStateReply>) =>
      client.fetchState({}, new Metadata(), options, callback),
    );
  }

  confirmLost(address: string, request: ConfirmLostRequest): Promise<ConfirmLostReply> {
    return this.#call(address, (client, options, callback: Callback<ConfirmLostReply>) =>
      client.confirmLost(request, new Metadata(), options, callback),
    );
  }

  #call<Reply>(
    address: string,
    start: (client: ControlClient, options: { deadline: number }, callback: Callback<Reply>) => unknown,
  ): Promise<Reply> {
    return new Promise((resolve, reject) => {
      const deadline = Date.now() + leaseTiming.peerCallTimeoutMilliseconds;
      start(this.#client(address), { deadline }, (error, reply) => {
        if (error === null) {
          resolve(reply);
        } else {
          reject(new PeerUnreachableError(`${address}: ${error.message}`, { cause: error }));
        }
      });
    });
  }

  #client(address: string): ControlClient {
    const known = this.#clients.get(address);
    if (known !== undefined) {
      return known;
    }
    this.#closeOldest();
    const client = new ControlClient(address, credentials.createInsecure(), CHANNEL_OPTIONS);
    this.#clients.set(address, client);
    return client;
  }

  #closeOldest(): void {
    const oldest = this.#clients.keys().next();
    if (this.#clients.size >= MAXIMUM_CLIENTS && oldest.done !== true) {
      this.#clients.get(oldest.value)?.close();
      this.#clients.delete(oldest.value);
    }
  }
}
