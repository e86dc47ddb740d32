import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type ServiceFile, serviceFileSchema } from '../serviceFile.js';
import { checkServiceChanges, checkServiceFiles } from '../serviceFileCheck.js';
import { compareServiceFiles } from '../serviceFileDifference.js';

const servers = ['10.0.0.1:80', '10.0.0.2:80'].map((address) => ({ address, availabilityZone: 'hr-1' }));

function service(change: object = {}): ServiceFile {
  return serviceFileSchema.parse({ kind: 'keyed', name: 'a', pathPrefix: '/a', servers, ...change });
}

describe('the check of service files', () => {
  const keyed = service();
  const weights = { imbalance: 0, churn: 0, unavailableTime: 0 };
  const [server] = servers;
  const cases = new Map<string, readonly ServiceFile[]>([
    ['deadline of 900 ms is below the objective of 1000 ms', [service({ deadlineMilliseconds: 900 })]],
    ['connectionsPerServer 2 is below slotsPerServer 4', [service({ connectionsPerServer: 2 })]],
    ['1 slices leave some of 2 servers without keys', [service({ sliceCount: 1 })]],
    ['all weights are 0', [service({ weights })]],
    ['no request has a header "a b"', [service({ key: { in: 'header', name: 'a b' } })]],
    ['10.0.0.1:70000 has no port', [service({ servers: [{ ...server, address: '10.0.0.1:70000' }] })]],
    ['10.0.0.1:80 is listed more than once', [service({ servers: [server, server] })]],
    ['GET, HEAD need another server', [service({ kind: 'pooled', servers: [server] })]],
    ['10.0.0.1:80 also runs a', [keyed, service({ name: 'b', pathPrefix: '/b', servers: [server] })]],
    ['"/a" is used by both a and b', [keyed, service({ name: 'b', servers: { role: 'b' } })]],
  ]);
  for (const [expected, services] of cases) {
    it(`reports: ${expected}`, () => {
      const findings = checkServiceFiles(services);
      assert.is(findings.length, 1);
      assert.ok(findings[0]?.message.includes(expected));
    });
  }

  it('finds nothing in a sound file', () => {
    assert.equal(
      checkServiceFiles([keyed, service({ name: 'b', pathPrefix: '/b', servers: { role: 'b' } })]),
      [],
    );
  });

  it('reports a number of slices that changes while the service runs', () => {
    assert.equal(checkServiceChanges([keyed], [keyed]), []);
    assert.match(
      checkServiceChanges([keyed], [service({ sliceCount: 8 })])[0]?.message ?? '',
      /from 1024 to 8/,
    );
  });
});

describe('the comparison of service files', () => {
  it('states old and new values regardless of the order of servers', () => {
    const after = service({ servers: [...servers].reverse(), objective: { share: 0.9 } });
    assert.equal(compareServiceFiles([service()], [after]), [
      { kind: 'changed', entry: 'service a', field: 'objective.share', before: '0.99', after: '0.9' },
    ]);
  });
});
