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

/** What a follower hears on its stream from an assigner. */
export interface FollowListener {
  onMessage(message: AssignerMessage): void;
  onClose(): void;
}

/** A follower's open stream. Disposing it closes the stream. */
export interface FollowStream extends Disposable {
  send(report: FollowerReport): void;
}

/** An assigner's end of a follower's stream. */
export interface FollowerConnection {
  send(message: AssignerMessage): void;
}

/** What an assigner hears on a follower's stream. */
export interface FollowerListener {
  onReport(report: FollowerReport): void;
  onClose(): void;
}

/** Calls from one entry VM to another. Addresses are `host:port`. */
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

/** Answers the calls of other entry VMs. */
export interface PeerHandler {
  acceptFollower(connection: FollowerConnection): FollowerListener;
  withdraw(request: WithdrawRequest): WithdrawReply;
  renewRoutes(request: RenewRoutesRequest): RenewRoutesReply;
  fetchState(): FetchStateReply;
  confirmLost(request: ConfirmLostRequest): ConfirmLostReply;
}

/** Another entry VM did not answer. */
export class PeerUnreachableError extends HickoryhoistError {
  readonly code = 'peer-unreachable';
}
