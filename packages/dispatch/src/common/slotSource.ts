import type { ServerStatements } from './serverStatements.js';
import type { AttemptOutcome } from './serverStatistics.js';
import type { SlotRequest } from './slotRequest.js';
import type { RefusalBasis, SlotRefusal } from './slotScheduler.js';

/** Permission to send one attempt to one server. */
export interface Slot {
  readonly serverId: string;
  /** The entry VM that granted it. */
  readonly coordinatorId: string;
  /**
   * Releases the slot. Must be called exactly once.
   * @param statements what the server stated in its response, if there was one.
   */
  finish(outcome: AttemptOutcome, statements?: ServerStatements): void;
}

/** Result of a slot request. */
export type SlotResult =
  | { readonly kind: 'granted'; readonly slot: Slot }
  | {
      readonly kind: 'refused';
      readonly refusal: SlotRefusal;
      readonly retryAfterMilliseconds: number;
      /** The entry VM that refused it. */
      readonly coordinatorId: string;
      readonly basis: RefusalBasis | undefined;
    };

/** A slot request without its identifier, which the slot source generates. */
export type SlotRequirements = Omit<SlotRequest, 'id'>;

/** Grants slots of servers. */
export interface SlotSource {
  /** Requests a slot. An abort of the signal cancels the slot request; the result is then a refusal. */
  acquire(service: string, requirements: SlotRequirements, signal: AbortSignal): Promise<SlotResult>;
}
