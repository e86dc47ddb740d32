import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import * as assert from 'uvu/assert';
import { UnacceptingPort } from '@hickoryhoist/standIns/node/unacceptingPort.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { requestText, RequestTimeoutError, type TextRequest } from '../textRequest.js';

const TIMEOUT_MILLISECONDS = 200;
/** Until a timer fires and the error arrives. */
const SLACK_MILLISECONDS = 150;

async function withAgent(test: (agent: Agent) => Promise<void>): Promise<void> {
  const agent = new Agent();
  try {
    await test(agent);
  } finally {
    await agent.destroy();
  }
}

function requestTo(port: number, options: Partial<TextRequest> = {}): TextRequest {
  return {
    origin: `http://127.0.0.1:${port.toString()}`,
    method: 'GET',
    path: '/',
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    ...options,
  };
}

/** @returns the error and the time after which it was thrown, in milliseconds. */
async function failureOf(request: Promise<unknown>): Promise<{ error: unknown; milliseconds: number }> {
  const startedAt = performance.now();
  try {
    await request;
  } catch (error) {
    return { error, milliseconds: performance.now() - startedAt };
  }
  throw new Error('the request succeeded');
}

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

describe('requestText', () => {
  describe('to a port that neither accepts nor refuses connections', () => {
    it('fails when its time is over, also for requests behind the first', async () => {
      const port = await UnacceptingPort.listen('127.0.0.1');
      await withAgent(async (agent) => {
        const requests = [1, 2, 3].map(() => failureOf(requestText(agent, requestTo(port.port))));
        for (const { error, milliseconds } of await Promise.all(requests)) {
          assert.instance(error, RequestTimeoutError);
          assert.ok(milliseconds < TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS, milliseconds.toString());
        }
      });
      await port.dispose();
    });

    it('fails when its signal aborts', async () => {
      const port = await UnacceptingPort.listen('127.0.0.1');
      await withAgent(async (agent) => {
        const request = requestTo(port.port, {
          timeoutMilliseconds: 5_000,
          signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
        });
        const { milliseconds } = await failureOf(requestText(agent, request));
        assert.ok(milliseconds < TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS, milliseconds.toString());
      });
      await port.dispose();
    });
  });

  it('fails when the body does not end in time', async () => {
    const server = createServer((_request, response) => {
      response.write('the first part');
    });
    const port = await listen(server);
    await withAgent(async (agent) => {
      const { error } = await failureOf(requestText(agent, requestTo(port)));
      assert.instance(error, RequestTimeoutError);
    });
    server.closeAllConnections();
    server.close();
  });

  it('returns status and text', async () => {
    const server = createServer((message, response) => {
      message.on('data', (chunk: Buffer) => {
        response.writeHead(418).end(`${message.method ?? ''} ${chunk.toString()}`);
      });
    });
    const port = await listen(server);
    await withAgent(async (agent) => {
      const reply = await requestText(agent, requestTo(port, { method: 'POST', body: 'tea' }));
      assert.equal(reply, { status: 418, text: 'POST tea' });
    });
    server.closeAllConnections();
    server.close();
  });
});
