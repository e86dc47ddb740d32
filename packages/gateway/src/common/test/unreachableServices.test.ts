import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import { type ServiceFile, serviceFileSchema } from '@hickoryhoist/configuration/common/serviceFile.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { parseTarget } from '../requestTarget.js';
import { matchService } from '../serviceMatcher.js';
import { findUnreachableServices } from '../unreachableServices.js';

function createServices(pathPrefixes: readonly string[]): readonly ServiceFile[] {
  return pathPrefixes.map((pathPrefix, index) =>
    serviceFileSchema.parse({
      kind: 'pooled',
      name: `s${index.toString()}`,
      pathPrefix,
      servers: { role: 'x' },
    }),
  );
}

describe('services that no request matches', () => {
  it('are reported with the service that hides them', () => {
    const findings = findUnreachableServices(createServices(['/a', '/a/b', '/a', '//c']));
    assert.match(JSON.stringify(findings[0]), 'service s2","message":"hidden by service s0');
    assert.match(
      JSON.stringify(findings[1]),
      'service s3","message":"requests for //c are read as requests for /',
    );
  });

  it('are never returned by the matcher', () => {
    const services = fastCheck.array(fastCheck.constantFrom('/a', '/a/b', '/b', '//a', '/a//b', '/b/a'));
    const target = fastCheck.array(fastCheck.constantFrom('/', 'a', 'b', '?', '.', '%2e'));
    fastCheck.assert(
      fastCheck.property(
        services.map(createServices),
        fastCheck.array(
          target.map((parts) => `/${parts.join('')}`),
          { minLength: 50 },
        ),
        (services, targets) => {
          const hidden = new Set(
            findUnreachableServices(services).map(({ kind, place }) =>
              kind === 'never-matches' ? place : '',
            ),
          );
          for (const target of targets) {
            const found = matchService({ services }, parseTarget(target)?.pathname ?? '');
            assert.not(hidden.has(`service ${found?.name ?? ''}`));
          }
        },
      ),
      { seed: 20_261_206, numRuns: 300 },
    );
  });
});
