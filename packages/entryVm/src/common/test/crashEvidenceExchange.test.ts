import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import type { CallerRequest } from '@hickoryhoist/dispatch/common/callerRequest.js';
import { CrashingRequestDetector } from '@hickoryhoist/dispatch/common/crashingRequestDetector.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { CrashEvidenceExchange } from '../crashEvidenceExchange.js';
import type { PeerMessage } from '../peerMessage.js';

const NEWCOMER_ADDRESS = '10.0.0.2';
const crashing = {
  host: 'h',
  method: 'POST',
  target: '/',
  body: Buffer.alloc(0),
} as unknown as CallerRequest;

interface Process {
  readonly detector: CrashingRequestDetector;
  readonly exchange: CrashEvidenceExchange;
  readonly sent: PeerMessage[];
}

function startProcess(): Process {
  const detector = new CrashingRequestDetector();
  const sent: PeerMessage[] = [];
  const exchange = new CrashEvidenceExchange({
    detector,
    sendToOthers: (message) => sent.push(message),
    sendWithDuplicate: (_ipAddress, message) => sent.push(message),
    logger: silentLogger,
  });
  return { detector, exchange, sent };
}

describe('CrashEvidenceExchange', () => {
  describe('when an entry VM starts', () => {
    it('is told which requests crash servers', async () => {
      const clock = FakeTimers.install({ toFake: ['performance'] });
      try {
        const running = startProcess();
        running.exchange.welcome(NEWCOMER_ADDRESS);
        assert.equal(running.sent, []);
        running.detector.recordLoss(crashing, { id: 'server-1', incarnation: 1 });
        running.detector.recordLoss(crashing, { id: 'server-1', incarnation: 2 });
        await clock.tickAsync(300);
        running.exchange.tick();
        running.exchange.welcome(NEWCOMER_ADDRESS);
        const [, message] = running.sent;
        assert.ok(message);
        const newcomer = startProcess();
        newcomer.exchange.receive(message);
        assert.is(newcomer.detector.isRefused(crashing), true);
      } finally {
        clock.uninstall();
      }
    });
  });
});
