import {
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  status,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { describeError, HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import {
  type AssignerMessage,
  ControlService,
  type FollowerReport,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import type { ServerDuplexStream } from '@grpc/grpc-js';
import type { PeerHandler } from '../common/peerClient.js';

/** The control server could not listen. */
export class ControlListenError extends HickoryhoistError {
  readonly code = 'control-listen';
}

/** Serves the control service of an entry VM over gRPC. */
export class GrpcControlServer {
  readonly #server = new Server();

  constructor(handler: PeerHandler) {
    const implementation: UntypedServiceImplementation = {
      follow: (stream: ServerDuplexStream<FollowerReport, AssignerMessage>) => {
        serveFollower(stream, handler);
      },
      withdraw: handleUnaryCall((request: Parameters<PeerHandler['withdraw']>[0]) =>
        handler.withdraw(request),
      ),
      renewRoutes: handleUnaryCall((request: Parameters<PeerHandler['renewRoutes']>[0]) =>
        handler.renewRoutes(request),
      ),
      fetchState: handleUnaryCall(() => handler.fetchState()),
      confirmLost: handleUnaryCall((request: Parameters<PeerHandler['confirmLost']>[0]) =>
        handler.confirmLost(request),
      ),
    };
    this.#server.addService(ControlService, implementation);
  }

  /** Starts to listen. @returns the port. @throws ControlListenError */
  listen(address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error === null) {
          resolve(port);
        } else {
          reject(new ControlListenError(`${address}: ${error.message}`, { cause: error }));
        }
      });
    });
  }

  dispose(): void {
    this.#server.forceShutdown();
  }
}

function serveFollower(
  stream: ServerDuplexStream<FollowerReport, AssignerMessage>,
  handler: PeerHandler,
): void {
  const listener = handler.acceptFollower({
    send: (message) => {
      if (!stream.destroyed && stream.writable) {
        stream.write(message);
      }
    },
  });
  stream.on('data', (report: FollowerReport) => {
    listener.onReport(report);
  });
  stream.on('error', () => {
    listener.onClose();
  });
  stream.on('cancelled', () => {
    listener.onClose();
  });
  stream.on('end', () => {
    listener.onClose();
    stream.end();
  });
}

function handleUnaryCall<Request, Reply>(
  handle: (request: Request) => Reply,
): (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>) => void {
  return (call, callback) => {
    try {
      callback(null, handle(call.request));
    } catch (error) {
      callback({ code: status.INTERNAL, details: describeError(error) });
    }
  };
}
