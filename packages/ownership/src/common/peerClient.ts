import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type {
  AssignerMessage,
  ConfirmLostReply,
  ConfirmLostRequest,
  FetchStateReply,
  FollowerReport,
  RenewRoutesReply,
  RenewRoutesRequest,
  WithdrawReply,
  WithdrawRequest,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';

/** Receives the events of a follower's stream to an assigner. */
export interface FollowListener {
  onMessage(message: AssignerMessage): void;
  onClose(): void;
}

/** A follower's open stream to an assigner. Disposing it closes the stream. */
export interface FollowStream extends Disposable {
  send(report: FollowerReport): void;
}

/** The assigner's side of a follower's stream. */
export interface FollowerConnection {
  send(message: AssignerMessage): void;
}

/** Receives the events of a follower's stream in the assigner. */
export interface FollowerListener {
  onReport(report: FollowerReport): void;
  onClose(): void;
}

/** Calls other entry VMs. Addresses are `host:port`. */
export interface PeerClient {
  follow(address: string, listener: FollowListener): FollowStream;
  /** @throws PeerUnreachableError */
  withdraw(address: string, request: WithdrawRequest): Promise<WithdrawReply>;
  /** @throws PeerUnreachableError */
  renewRoutes(address: string, request: RenewRoutesRequest): Promise<RenewRoutesReply>;
  /** @throws PeerUnreachableError */
  fetchState(address: string): Promise<FetchStateReply>;
  /** @throws PeerUnreachableError */
  confirmLost(address: string, request: ConfirmLostRequest): Promise<ConfirmLostReply>;
}

/** Handles the calls of other entry VMs. */
export interface PeerHandler {
  acceptFollower(connection: FollowerConnection): FollowerListener;
  withdraw(request: WithdrawRequest): WithdrawReply;
  renewRoutes(request: RenewRoutesRequest): RenewRoutesReply;
  fetchState(): FetchStateReply;
  confirmLost(request: ConfirmLostRequest): ConfirmLostReply;
}

/** Another entry VM did not respond. */
export class PeerUnreachableError extends HickoryhoistError {
  readonly code = 'peer-unreachable';
}
