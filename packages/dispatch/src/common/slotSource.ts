import type { AttemptOutcome } from './serverStatistics.js';
import type { RefusalBasis, SlotRequest, SlotRefusal } from './slotScheduler.js';

/** The right to send one attempt to one server. */
export interface Slot {
  readonly serverId: string;
  /** The entry VM that handed it out. */
  readonly coordinatorId: string;
  /** Gives the slot back. Must be called exactly once. */
  finish(use: AttemptOutcome): void;
}

/** Result of asking for a slot. */
export type SlotResult =
  | { readonly kind: 'granted'; readonly slot: Slot }
  | {
      readonly kind: 'refused';
      readonly refusal: SlotRefusal;
      readonly retryAfterMilliseconds: number;
      /** The entry VM that decided. */
      readonly coordinatorId: string;
      readonly basis: RefusalBasis | undefined;
    };

/** What a request wants; the source adds an identifier. */
export type SlotRequirements = Omit<SlotRequest, 'id'>;

/** Hands out slots of servers. */
export interface SlotSource {
  /** Withdraws the ask when the signal aborts; the result is then a refusal. */
  acquire(service: string, wish: SlotRequirements, signal: AbortSignal): Promise<SlotResult>;
}
