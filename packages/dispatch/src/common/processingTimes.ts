/** Estimate of the time that a server takes to process a request. */
export interface ProcessingTimeEstimate {
  readonly milliseconds: number;
  /** Number of requests behind the estimate, at most the number that the average covers. */
  readonly sampleCount: number;
}

/**
 * Weight of the mean over all servers in the estimate for one server, as a number of requests. It is the
 * variance between single requests (0.9 of the squared mean) divided by the variance between servers (0.06).
 */
const MEAN_WEIGHT_SAMPLES = 15;
/** Processing time assumed when there is no estimate for any server, in milliseconds. */
const DEFAULT_MILLISECONDS = 150;

/**
 * Estimates the processing time at each server of one service. With few samples, the estimate of a server is
 * close to the mean over all servers.
 */
export function estimateProcessingTimes(
  ids: readonly string[],
  measured: ReadonlyMap<string, ProcessingTimeEstimate>,
): ReadonlyMap<string, number> {
  const known = ids.flatMap((id) => measured.get(id) ?? []);
  const totalSamples = known.reduce((sum, time) => sum + time.sampleCount, 0);
  const total = known.reduce((sum, time) => sum + time.sampleCount * time.milliseconds, 0);
  const mean = totalSamples === 0 ? DEFAULT_MILLISECONDS : total / totalSamples;
  return new Map(
    ids.map((id) => {
      const time = measured.get(id) ?? { milliseconds: mean, sampleCount: 0 };
      const sum = time.sampleCount * time.milliseconds + MEAN_WEIGHT_SAMPLES * mean;
      return [id, sum / (time.sampleCount + MEAN_WEIGHT_SAMPLES)];
    }),
  );
}
