import { PaceExperiment, pacePatterns } from '../common/experiments/paceExperiment.js';
import { paceRules } from '../common/experiments/paceRules.js';

const SEED = 1;
const LOADS: readonly number[] = [0.7, 1];

for (const isKeyed of [false, true]) {
  for (const load of LOADS) {
    process.stdout.write(
      `${isKeyed ? 'keyed' : 'pooled'}, load ${load.toString()}, seed ${SEED.toString()}\n`,
    );
    for (const [name, pattern] of Object.entries(pacePatterns)) {
      for (const [rule, createPace] of Object.entries(paceRules)) {
        const result = new PaceExperiment(SEED, pattern, createPace).run(load, isKeyed);
        const inGoal = ((100 * result.inGoal) / result.offered).toFixed(1);
        const fullUse =
          result.fullUseMilliseconds === undefined ? 'never' : `${result.fullUseMilliseconds.toString()} ms`;
        process.stdout.write(
          `  ${name.padEnd(24)} ${rule.padEnd(28)} in goal ${inGoal} %, refused ${result.refused.toString()}, ` +
            `failed ${result.failed.toString()}, crashes ${result.crashes.toString()}, full use ${fullUse}\n`,
        );
      }
    }
  }
}
