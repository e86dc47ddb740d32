import { keyOwnershipTiming } from './keyOwnershipTiming.js';
import type { Candidate, HeartbeatAcknowledgement } from './candidate.js';

/** What a newly elected assigner knows about the one before it, which may still send commands to servers. */
export type PreviousAssigner =
  /** It sends no further commands, nor do those before it. */
  | { readonly kind: 'gone' }
  /** This process, which has not been replaced meanwhile. Those before it may still act as long as in its last term. */
  | { readonly kind: 'self' }
  /** The one that the store named. */
  | { readonly kind: 'known'; readonly candidate: Candidate }
  /** Any process: there may be more than one, or the store has lost the record of the last one. */
  | { readonly kind: 'unknown' };

/** What the store may lack about the assigners before a new one. */
export type RecordGap =
  | 'none'
  /** The last assigner may not have outlasted those before it, which are not recorded. */
  | 'earlier-assigners'
  /** The store may have lost the record of the last assigner, and assignments by which servers hold keys. */
  | 'lost-records';

/**
 * Time by which the commands of earlier assigners have arrived at the servers or do not arrive any more, on the monotonic
 * clock; infinite if the acknowledgements do not tell that they send no further ones. A process that acknowledges a term
 * stops acting in all earlier ones.
 * @param acknowledgements the newest one of each process, by ID.
 * @param peerIds all other processes that can be elected.
 */
export function lastCommandsArriveAt(
  previous: PreviousAssigner,
  term: number,
  acknowledgements: ReadonlyMap<string, HeartbeatAcknowledgement>,
  peerIds: readonly string[],
  now: number,
): number {
  const hasAcknowledged = (id: string): boolean => (acknowledgements.get(id)?.term ?? 0) >= term;
  const arriveBy = now + keyOwnershipTiming.grantTimeoutMilliseconds;
  switch (previous.kind) {
    case 'gone':
      return now;
    case 'known': {
      const { id, incarnation } = previous.candidate;
      const isSame = acknowledgements.get(id)?.incarnation === incarnation;
      return isSame && hasAcknowledged(id) ? arriveBy : Number.POSITIVE_INFINITY;
    }
    case 'self':
      return Number.POSITIVE_INFINITY;
    case 'unknown':
      return peerIds.every(hasAcknowledged) ? arriveBy : Number.POSITIVE_INFINITY;
  }
}
