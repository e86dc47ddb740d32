/** What was learned of the time that a request takes at a server. */
export interface ProcessingTimeEstimate {
  readonly milliseconds: number;
  /** Requests that it was learned from; no more than the average reaches back. */
  readonly sampleCount: number;
}

/**
 * Requests that the mean of all servers counts for in the time of one: the variance of single requests (0.9 of the
 * mean squared) over that between servers (0.06).
 */
const MEAN_WEIGHT = 15;
/** Time that a request takes when nothing is known of any server, in milliseconds. */
const UNKNOWN_MILLISECONDS = 150;

/** Time that a request takes at each server of one service: of those that are little known, about the mean of all. */
export function estimateProcessingTimes(
  ids: readonly string[],
  learned: ReadonlyMap<string, ProcessingTimeEstimate>,
): ReadonlyMap<string, number> {
  const known = ids.flatMap((id) => learned.get(id) ?? []);
  const requests = known.reduce((sum, time) => sum + time.sampleCount, 0);
  const total = known.reduce((sum, time) => sum + time.sampleCount * time.milliseconds, 0);
  const mean = requests === 0 ? UNKNOWN_MILLISECONDS : total / requests;
  return new Map(
    ids.map((id) => {
      const time = learned.get(id) ?? { milliseconds: mean, sampleCount: 0 };
      const sum = time.sampleCount * time.milliseconds + MEAN_WEIGHT * mean;
      return [id, sum / (time.sampleCount + MEAN_WEIGHT)];
    }),
  );
}
