/** A measured cost at one size. */
export interface Point {
  readonly size: number;
  readonly cost: number;
}

/** A straight line through measured points. */
export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
  /** Largest distance of a point from the line, relative to the largest cost. */
  readonly maxRelativeResidual: number;
}

/** Fits a least-squares line; needs points of at least two different sizes. */
export function fitLine(points: readonly Point[]): LinearFit {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanCost = points.reduce((sum, { cost }) => sum + cost, 0) / count;
  const covariance = points.reduce((sum, { size, cost }) => sum + (size - meanSize) * (cost - meanCost), 0);
  const variance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanCost - slope * meanSize;
  const largest = Math.max(...points.map(({ cost }) => Math.abs(cost)));
  const distance = Math.max(...points.map(({ size, cost }) => Math.abs(cost - intercept - slope * size)));
  return { intercept, slope, maxRelativeResidual: largest === 0 ? 0 : distance / largest };
}

/** Formats points and their line on one line of text. */
export function describeFit(name: string, unit: string, per: string, points: readonly Point[]): string {
  const { intercept, slope, maxRelativeResidual } = fitLine(points);
  const measured = points.map(({ size, cost }) => `${size.toString()}: ${cost.toPrecision(4)}`).join(', ');
  const line = `${intercept.toPrecision(4)} + ${slope.toPrecision(4)} per ${per}`;
  return `${name} [${unit}] at ${measured} => ${line} (residual ${(100 * maxRelativeResidual).toFixed(1)} %)`;
}
