import { describeDifference } from '@hickoryhoist/base/common/entryDifferences.js';
import type { CheckReport } from './configurationFormat.js';

/** Formats the result of a check for an operator. */
export function formatCheckReport({ source, description, findings, comparison }: CheckReport): string {
  const count = `${findings.length.toString()} ${findings.length === 1 ? 'finding' : 'findings'}`;
  return [
    description === undefined ? `${source}: invalid` : `${source}: ${description}`,
    findings.length === 0 ? 'nothing found' : `${count}:`,
    ...findings.map(({ kind, place, message }) => `  ${kind}: ${place}: ${message}`),
    ...formatComparison(comparison),
  ].join('\n');
}

function formatComparison(comparison: CheckReport['comparison']): readonly string[] {
  if (comparison === undefined) {
    return [];
  }
  const { other, description, differences } = comparison;
  const head = `${other} (${description})`;
  return differences.length === 0
    ? [`no differences from ${head}`]
    : [
        `differences from ${head}:`,
        ...differences.map((difference) => `  ${describeDifference(difference)}`),
      ];
}
