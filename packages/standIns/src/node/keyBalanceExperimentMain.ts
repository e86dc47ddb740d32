import {
  hotKeyLoadPatterns,
  hotKeyRules,
  KeyBalanceExperiment,
  keyLoadPatterns,
  type KeyBalanceResult,
  type KeyOutcomes,
} from '../common/experiments/keyBalanceExperiment.js';

const SEEDS = [1, 2, 3];
/** More, since few requests are for the other keys of a hot key's owner. */
const HOT_KEY_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

function mean(results: readonly KeyBalanceResult[], value: (result: KeyBalanceResult) => number): number {
  return results.reduce((sum, result) => sum + value(result), 0) / results.length;
}

function percent(share: number): string {
  return `${(100 * share).toFixed(1)} %`;
}

function outcomes(results: readonly KeyOutcomes[]): string {
  const sum = (value: (result: KeyOutcomes) => number): number =>
    results.reduce((total, result) => total + value(result), 0);
  const offered = sum((result) => result.offered);
  const inTime = percent(sum((result) => result.inTime) / offered);
  return `of ${offered.toString()} in time ${inTime}, refused ${percent(sum((result) => result.refused) / offered)}`;
}

function write(name: string, results: readonly KeyBalanceResult[]): void {
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

for (const [name, options] of Object.entries(keyLoadPatterns)) {
  write(
    name,
    SEEDS.map((seed) => new KeyBalanceExperiment({ ...options, seed }).run()),
  );
}
for (const [name, options] of Object.entries(hotKeyLoadPatterns)) {
  for (const [ruleName, rules] of Object.entries(hotKeyRules)) {
    const results = HOT_KEY_SEEDS.map((seed) => new KeyBalanceExperiment({ ...options, rules, seed }).run());
    write(`${name}, ${ruleName}`, results);
    process.stdout.write(
      `  hot keys: ${outcomes(results.map(({ hot }) => hot))}\n` +
        `  other keys of their owners: ${outcomes(results.map(({ neighbours }) => neighbours))}\n`,
    );
  }
}
