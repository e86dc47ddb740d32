import fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import type { Disposable } from '@hickoryhoist/base/common/disposable.js';
import { silentLogger } from '@hickoryhoist/base/common/logger.js';
import { type EarlyEnding, EarlyResponseServer } from './earlyResponseServer.js';
import { FaultyServerScripts, intactBody, type ResponseDialect } from './faultyServerScripts.js';
import { type ReceivedRequest, ScriptedServer, type ServerStep } from './scriptedServer.js';

/** Result of one try, in the terms of both transports. */
export type TryResult =
  | { readonly kind: 'answered'; readonly status: number; readonly body: string }
  | { readonly kind: 'refused' }
  | { readonly kind: 'not-written' }
  | { readonly kind: 'lost'; readonly reason: string };

/** A transport under test. */
export interface TransportUnderTest extends Disposable {
  send(
    address: string,
    requestId: string,
    timeoutMilliseconds: number,
    /** Four bytes by default. */
    body?: Buffer,
  ): Promise<TryResult>;
}

const MAX_TRIES = 3;
const TRY_TIMEOUT_MILLISECONDS = 60;
/** Maximum time for which an endless response may occupy a connection, far below the deadline used. */
const MAX_ENDLESS_MILLISECONDS = 5_000;
const ENDLESS_DEADLINE_MILLISECONDS = 20_000;
const BYTES_PER_MEBIBYTE = 1_048_576;

async function withScriptedServer(
  dialect: ResponseDialect,
  script: (request: ReceivedRequest) => readonly ServerStep[],
  test: (server: ScriptedServer) => Promise<void>,
): Promise<void> {
  const server = new ScriptedServer({
    requestIdHeader: dialect.requestIdHeader,
    script,
    logger: silentLogger,
  });
  await server.listen();
  try {
    await test(server);
  } finally {
    server.dispose();
  }
}

/** Sends a request, and again while the server states that it was not run. @returns the last result. */
async function sendWithRetries(
  transport: TransportUnderTest,
  server: ScriptedServer,
  requestId: string,
): Promise<TryResult> {
  let result: TryResult = { kind: 'not-written' };
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    result = await transport.send(server.address, requestId, TRY_TIMEOUT_MILLISECONDS);
    if (result.kind === 'answered' || result.kind === 'lost') {
      return result;
    }
    assert.not(server.executedIds.includes(requestId), `${requestId} was run but reported as ${result.kind}`);
  }
  return result;
}

/**
 * Checks over random sequences of faults on kept connections that each request gets its own whole response or a
 * failure, that no request is run twice, and that a request that was run is never reported as not run.
 * @throws an assertion error with the sequence and its seed.
 */
export async function checkFaultSequences(
  dialect: ResponseDialect,
  createTransport: () => TransportUnderTest,
  runs: { readonly count: number; readonly seed: number },
): Promise<void> {
  const { behaviours } = new FaultyServerScripts(dialect);
  const names = Object.keys(behaviours);
  const sequences = fastCheck.array(fastCheck.constantFrom(...names), { minLength: 2, maxLength: 10 });
  await fastCheck.assert(
    fastCheck.asyncProperty(sequences, async (sequence) => {
      const behaviourOf = (request: ReceivedRequest): readonly ServerStep[] =>
        behaviours[sequence[request.number] ?? 'intact']?.(request) ?? [];
      await withScriptedServer(dialect, behaviourOf, async (server) => {
        const transport = createTransport();
        try {
          for (let index = 0; index < sequence.length; index += 1) {
            const requestId = `request-${index.toString()}`;
            const result = await sendWithRetries(transport, server, requestId);
            if (result.kind === 'answered' && result.status === 200) {
              assert.is(result.body, intactBody(requestId));
            }
          }
        } finally {
          transport.dispose();
        }
        assert.is(new Set(server.executedIds).size, server.executedIds.length, 'a request was run twice');
      });
    }),
    { numRuns: runs.count, seed: runs.seed },
  );
}

/**
 * Checks that a response that ends within its head is reported as lost, wherever it ends and however the connection is
 * closed, on a new connection and on one that was used before.
 */
export async function checkTruncatedHeads(
  dialect: ResponseDialect,
  createTransport: () => TransportUnderTest,
): Promise<void> {
  const scripts = new FaultyServerScripts(dialect);
  for (const closing of ['end', 'reset'] as const) {
    const lengths = scripts.truncatedHeads('').length;
    const script = ({ id }: ReceivedRequest): readonly ServerStep[] => {
      const text = id.startsWith('cut-') ? scripts.truncatedHeads('cut')[Number(id.slice(4))] : undefined;
      return text === undefined
        ? (scripts.behaviours.intact?.({ id, number: 0, connection: 0, earlierIds: [] }) ?? [])
        : [{ kind: 'run' }, { kind: 'send', text: text.replace('cut', id) }, { kind: closing }];
    };
    await withScriptedServer(dialect, script, async (server) => {
      for (let index = 0; index < lengths; index += 1) {
        const transport = createTransport();
        try {
          if (index % 2 === 0) {
            await transport.send(server.address, `before-${index.toString()}`, ENDLESS_DEADLINE_MILLISECONDS);
          }
          const id = `cut-${index.toString()}`;
          const result = await transport.send(server.address, id, ENDLESS_DEADLINE_MILLISECONDS);
          assert.is(
            result.kind,
            'lost',
            `${closing} after ${JSON.stringify(scripts.truncatedHeads('cut')[index])}`,
          );
        } finally {
          transport.dispose();
        }
      }
    });
  }
}

const EARLY_ENDINGS: readonly EarlyEnding[] = [0, 1, 20].flatMap((pauseMilliseconds) =>
  (['reads-on', 'stops-reading', 'closes-with-unread-bytes'] as const).map((kind) => ({
    kind,
    pauseMilliseconds,
  })),
);
/** More than the buffers of a loopback connection take. */
const LONG_UPLOAD = Buffer.alloc(16_777_216, 'u');
const TRIES_PER_ENDING = 3;

/**
 * Checks that a response without a length to an upload that is still being written is reported as lost if its connection
 * is reset, however that comes about. The part that has arrived must not look complete.
 */
export async function checkBrokenEarlyResponses(
  dialect: ResponseDialect,
  createTransport: () => TransportUnderTest,
): Promise<void> {
  for (const ending of EARLY_ENDINGS) {
    for (const connection of ['connection: close\r\n', '']) {
      const server = new EarlyResponseServer(
        (head) =>
          `HTTP/1.1 200 OK\r\n${requestIdLine(dialect, head)}${dialect.successHeaders}${connection}\r\npart`,
        ending,
      );
      await server.listen();
      const transport = createTransport();
      try {
        for (let count = 0; count < TRIES_PER_ENDING; count += 1) {
          const id = `upload-${count.toString()}`;
          const result = await transport.send(server.address, id, ENDLESS_DEADLINE_MILLISECONDS, LONG_UPLOAD);
          assert.is(result.kind, 'lost', `${JSON.stringify(ending)}: ${JSON.stringify(result)}`);
        }
      } finally {
        transport.dispose();
        server.dispose();
      }
    }
  }
}

/** Status lines whose status is no final status of HTTP. */
const INVALID_STATUS_LINES = ['HTTP/1.1 000 OK', 'HTTP/1.1 000', 'HTTP/1.1 099 OK', 'HTTP/1.0 000 OK'];

/** Checks that a response with an invalid status is reported as lost, with and without a body and a length. */
export async function checkInvalidStatuses(
  dialect: ResponseDialect,
  createTransport: () => TransportUnderTest,
): Promise<void> {
  const rests = [
    'content-length: 4\r\n\r\nbody',
    'content-length: 0\r\n\r\n',
    'connection: close\r\n\r\nbody',
  ];
  for (const statusLine of INVALID_STATUS_LINES) {
    for (const rest of rests) {
      const script = ({ id }: ReceivedRequest): readonly ServerStep[] => [
        { kind: 'run' },
        {
          kind: 'send',
          text: `${statusLine}\r\n${dialect.requestIdHeader}: ${id}\r\n${dialect.successHeaders}${rest}`,
        },
        ...(rest.includes('close') ? [{ kind: 'end' } as const] : []),
      ];
      await withScriptedServer(dialect, script, async (server) => {
        const transport = createTransport();
        try {
          const startedAt = performance.now();
          const result = await transport.send(server.address, 'one', ENDLESS_DEADLINE_MILLISECONDS);
          const text = `${statusLine} ${rest}: ${JSON.stringify(result)}`;
          assert.is(result.kind, 'lost', text);
          assert.ok(performance.now() - startedAt < MAX_ENDLESS_MILLISECONDS, `${text} lasted too long`);
        } finally {
          transport.dispose();
        }
      });
    }
  }
}

function requestIdLine({ requestIdHeader }: ResponseDialect, head: string): string {
  const id = new RegExp(`^${requestIdHeader}: *(\\S*)`, 'im').exec(head)?.[1] ?? '';
  return `${requestIdHeader}: ${id}\r\n`;
}

/** Names of the responses without end that `checkEndlessResponse` accepts. */
export function endlessBehaviourNames(dialect: ResponseDialect): readonly string[] {
  return Object.keys(new FaultyServerScripts(dialect).endlessBehaviours);
}

/** Checks that a response without end is cut off long before the deadline and reported as lost. */
export async function checkEndlessResponse(
  dialect: ResponseDialect,
  createTransport: () => TransportUnderTest,
  name: string,
): Promise<void> {
  const behaviour = new FaultyServerScripts(dialect).endlessBehaviours[name] ?? (() => []);
  await withScriptedServer(dialect, behaviour, async (server) => {
    const transport = createTransport();
    try {
      const startedAt = performance.now();
      const result = await transport.send(server.address, 'request-1', ENDLESS_DEADLINE_MILLISECONDS);
      assert.is(result.kind, 'lost');
      assert.ok(performance.now() - startedAt < MAX_ENDLESS_MILLISECONDS, 'it lasted too long');
    } finally {
      transport.dispose();
    }
  });
}

/**
 * Checks that many endless bodies at once stay within a bound on memory while another request gets its response.
 * @param maxMebibytes bound on the growth of memory outside the heap.
 */
export async function checkEndlessResponsesTogether(
  dialect: ResponseDialect,
  createTransport: () => TransportUnderTest,
  count: number,
  maxMebibytes: number,
): Promise<void> {
  const { behaviours, endlessBehaviours } = new FaultyServerScripts(dialect);
  const script = (request: ReceivedRequest): readonly ServerStep[] =>
    (request.id === 'intact' ? behaviours.slow : endlessBehaviours['body without length'])?.(request) ?? [];
  await withScriptedServer(dialect, script, async (server) => {
    const transport = createTransport();
    const before = process.memoryUsage().external;
    let peak = before;
    const sampler = setInterval(() => {
      peak = Math.max(peak, process.memoryUsage().external);
    }, 1);
    try {
      const endless = Array.from({ length: count }, (_unused, index) =>
        transport.send(server.address, `endless-${index.toString()}`, ENDLESS_DEADLINE_MILLISECONDS),
      );
      const intact = await transport.send(server.address, 'intact', ENDLESS_DEADLINE_MILLISECONDS);
      assert.is(intact.kind === 'answered' && intact.body, intactBody('intact'));
      const results = await Promise.all(endless);
      assert.ok(results.every(({ kind }) => kind === 'lost'));
    } finally {
      clearInterval(sampler);
      transport.dispose();
    }
    const growth = (peak - before) / BYTES_PER_MEBIBYTE;
    assert.ok(growth < maxMebibytes, `memory grew by ${growth.toFixed(0)} MiB`);
  });
}

/**
 * Checks for each kind of response without end that commands with such a response fail, and that many at once stay within
 * a bound on memory.
 * @param maxMebibytes bound on the growth of memory, of the heap and outside it.
 * @param send sends one command, whose timeout is far below the deadline used.
 */
export async function checkEndlessCommandResponses(
  dialect: ResponseDialect,
  count: number,
  maxMebibytes: number,
  send: (address: string) => Promise<'answered' | 'failed'>,
): Promise<void> {
  const { endlessBehaviours } = new FaultyServerScripts(dialect);
  for (const [name, behaviour] of Object.entries(endlessBehaviours)) {
    await withScriptedServer(dialect, behaviour, async (server) => {
      const before = usedMemory();
      let peak = before;
      const sampler = setInterval(() => {
        peak = Math.max(peak, usedMemory());
      }, 1);
      const startedAt = performance.now();
      const results = await Promise.all(Array.from({ length: count }, () => send(server.address)));
      clearInterval(sampler);
      assert.ok(
        results.every((result) => result === 'failed'),
        name,
      );
      assert.ok(performance.now() - startedAt < MAX_ENDLESS_MILLISECONDS, `${name}: it lasted too long`);
      const growth = (peak - before) / BYTES_PER_MEBIBYTE;
      assert.ok(growth < maxMebibytes, `${name}: memory grew by ${growth.toFixed(0)} MiB`);
    });
  }
}

function usedMemory(): number {
  const { external, heapUsed } = process.memoryUsage();
  return external + heapUsed;
}
