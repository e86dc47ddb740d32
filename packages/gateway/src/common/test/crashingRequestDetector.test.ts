import * as assert from 'uvu/assert';
import { toDisposable } from '@hickoryhoist/base/common/disposable.js';
import { KeyHasher } from '@hickoryhoist/base/common/keyHash.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { CrashingRequestDetector, findCrashingRequests, fingerprintOf } from '../crashingRequestDetector.js';
import { RequestExecutor } from '../requestExecutor.js';
import { LoadBalancer } from '../loadBalancer.js';
import type { AttemptResult, ServerRequest } from '../serverTransport.js';
import { buildRequest } from './fakes/requests.js';

/** Maximum number of servers that one request may crash before it is refused. */
const LOSS_LIMIT = 3;
const RESENDS = 20;

async function createExecutor(
  detector: CrashingRequestDetector,
  send: (request: ServerRequest) => AttemptResult,
): Promise<RequestExecutor> {
  const routing = {
    assignment: () => undefined,
    pooledServers: () => ['10.0.0.1:80'],
    mayRoute: () => true,
    track: () => toDisposable(() => undefined),
  };
  const transport = { send: (request: ServerRequest) => Promise.resolve(send(request)) };
  const loadBalancer = new LoadBalancer(new RandomSource(1));
  return new RequestExecutor(
    await KeyHasher.create(),
    routing,
    transport,
    loadBalancer,
    detector,
    silentLogger,
  );
}

describe('a request that crashes servers', () => {
  it('is refused after a few losses and reported as not run', async () => {
    let losses = 0;
    const executor = await createExecutor(new CrashingRequestDetector(), () => {
      losses += 1;
      return { kind: 'lost', cause: 'connection-lost' };
    });
    for (let resend = 0; resend < RESENDS; resend += 1) {
      await executor.execute(buildRequest({ id: resend.toString() }));
    }
    assert.is(losses, LOSS_LIMIT);
    assert.equal(await executor.execute(buildRequest()), { kind: 'not-run', reason: 'crashes-servers' });
  });

  it('is refused by every entry VM if their losses together reach the limit', () => {
    const detectors = [
      new CrashingRequestDetector(),
      new CrashingRequestDetector(),
      new CrashingRequestDetector(),
    ];
    const fingerprint = fingerprintOf(buildRequest());
    detectors.forEach((detector) => {
      detector.recordLoss(fingerprint);
    });
    const refused = findCrashingRequests(detectors.map((detector) => detector.report()));
    detectors.forEach((detector) => {
      detector.setRefusedFingerprints(refused);
    });
    assert.ok(detectors.every((detector) => detector.isRefused(fingerprint)));
  });

  it('does not cause the refusal of a harmless request in flight at the same servers', async () => {
    const detector = new CrashingRequestDetector();
    const executor = await createExecutor(detector, (request) =>
      request.body.includes('crash')
        ? { kind: 'lost', cause: 'connection-lost' }
        : { kind: 'answered', status: 200, headers: {}, body: Buffer.alloc(0) },
    );
    for (let loss = 0; loss < RESENDS; loss += 1) {
      const harmless = buildRequest({ body: Buffer.from('harmless') });
      detector.recordLoss(fingerprintOf(harmless));
      await executor.execute(buildRequest({ body: Buffer.from('crash') }));
      assert.is((await executor.execute(harmless)).kind, 'answered');
    }
  });
});
