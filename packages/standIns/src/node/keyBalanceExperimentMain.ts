import {
  KeyBalanceExperiment,
  keyLoadPatterns,
  type KeyBalanceResult,
} from '../common/experiments/keyBalanceExperiment.js';

const SEEDS = [1, 2, 3];

function mean(results: readonly KeyBalanceResult[], value: (result: KeyBalanceResult) => number): number {
  return results.reduce((sum, result) => sum + value(result), 0) / results.length;
}

function percent(share: number): string {
  return `${(100 * share).toFixed(1)} %`;
}

for (const [name, options] of Object.entries(keyLoadPatterns)) {
  const results = SEEDS.map((seed) => new KeyBalanceExperiment({ ...options, seed }).run());
  const inTime = percent(mean(results, (result) => result.inTime));
  const late = percent(mean(results, (result) => result.late));
  const refused = percent(mean(results, (result) => result.refused));
  const moves = mean(results, (result) => result.movesPerSecond).toFixed(1);
  const ranges = mean(results, (result) => result.rangesPerServer).toFixed(1);
  process.stdout.write(
    `${name}: in time ${inTime}, late ${late}, refused ${refused}, ` +
      `${moves} moves/s, ${ranges} ranges a server\n`,
  );
}
