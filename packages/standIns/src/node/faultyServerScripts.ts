import type { ReceivedRequest, ServerStep } from './scriptedServer.js';

/** How a protocol states the identifier of a request, success and refusal. */
export interface ResponseDialect {
  readonly requestIdHeader: string;
  /** Header lines of a complete successful response, each ended by a line break. */
  readonly successHeaders: string;
  readonly refusalStatusLine: string;
  /** Header lines by which a server states that it did not run a request, each ended by a line break. */
  readonly refusalHeaders: string;
}

/** Length of the body of an intact response: the request's identifier, padded. */
const BODY_LENGTH = 40;
const SUCCESS_STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const RUN: ServerStep = { kind: 'run' };
const ENDLESS_BLOCK = 'x'.repeat(16_384);

/** Body of the intact response to a request. */
export function intactBody(requestId: string): string {
  return requestId.padEnd(BODY_LENGTH, '.');
}

/** Writes the steps of faulty servers in one dialect. */
export class FaultyServerScripts {
  readonly #dialect: ResponseDialect;

  constructor(dialect: ResponseDialect) {
    this.#dialect = dialect;
  }

  /** Behaviours by name. Each reacts to one request. */
  readonly behaviours: Readonly<Record<string, (request: ReceivedRequest) => readonly ServerStep[]>> = {
    intact: ({ id }) => [RUN, send(this.#success(id))],
    slow: ({ id }) => [RUN, pause(15), send(this.#success(id))],
    'intact in single bytes': ({ id }) => [RUN, ...Array.from(this.#success(id), send)],
    'without length, ended': ({ id }) => [RUN, send(this.#successWithoutLength(id)), { kind: 'end' }],
    'without length, reset': ({ id }) => [
      RUN,
      send(this.#successWithoutLength(id).slice(0, -9)),
      { kind: 'reset' },
    ],
    'without length, reset later': ({ id }) => [
      RUN,
      send(this.#successWithoutLength(id).slice(0, -9)),
      pause(5),
      { kind: 'reset' },
    ],
    truncated: ({ id }) => [RUN, send(this.#success(id).slice(0, -9)), { kind: 'end' }],
    'truncated head': ({ id }) => [RUN, send(this.#success(id).slice(0, 30)), { kind: 'end' }],
    refusal: ({ id }) => [send(this.#refusal(id))],
    'refusal without identifier': () => [
      RUN,
      send(this.#response(this.#dialect.refusalStatusLine, this.#dialect.refusalHeaders, '')),
    ],
    'refusal with two identifiers': ({ id }) => [
      RUN,
      send(
        this.#response(
          this.#dialect.refusalStatusLine,
          this.#idLine(id) + this.#idLine('other') + this.#dialect.refusalHeaders,
          '',
        ),
      ),
    ],
    'bare misdirection': () => [RUN, send(this.#response('HTTP/1.1 421 Misdirected Request\r\n', '', ''))],
    'bare unavailability': ({ id }) => [
      RUN,
      send(this.#response('HTTP/1.1 503 Service Unavailable\r\n', this.#idLine(id), '')),
    ],
    'earlier refusal again': ({ earlierIds }) => [RUN, send(this.#refusal(earlierIds.at(-1) ?? 'other'))],
    'response to another request': () => [RUN, send(this.#success('other'))],
    'success without identifier': ({ id }) => [
      RUN,
      send(this.#response(SUCCESS_STATUS_LINE, this.#dialect.successHeaders, intactBody(id))),
    ],
    'second copy at once': ({ id }) => [RUN, send(this.#success(id) + this.#success(id))],
    'second copy late': ({ id }) => [RUN, send(this.#success(id)), pause(3), send(this.#success(id))],
    'second copy in halves': ({ id }) => {
      const copy = this.#success(id);
      return [RUN, send(copy), pause(1), send(copy.slice(0, 50)), pause(6), send(copy.slice(50))];
    },
    'refusal twice': ({ id }) => [send(this.#refusal(id)), pause(2), send(this.#refusal(id))],
    'refusal twice at once': ({ id }) => [send(this.#refusal(id) + this.#refusal(id))],
    'refusal in halves again': ({ id }) => {
      const copy = this.#refusal(id);
      return [send(copy), pause(1), send(copy.slice(0, 20)), pause(6), send(copy.slice(20))];
    },
    reset: () => [RUN, { kind: 'reset' }],
    closed: () => [RUN, { kind: 'end' }],
    'reset before running': () => [{ kind: 'reset' }],
    silent: () => [RUN],
    garbage: () => [RUN, send('\u0000\u0001 no response \r\n\r\n')],
  };

  /** Responses without end, by name. */
  readonly endlessBehaviours: Readonly<Record<string, (request: ReceivedRequest) => readonly ServerStep[]>> =
    {
      'body with length': ({ id }) => [
        RUN,
        send(this.#head(SUCCESS_STATUS_LINE, this.#successHeaders(id) + 'content-length: 99999999999\r\n')),
        endless(ENDLESS_BLOCK),
      ],
      'body without length': ({ id }) => [
        RUN,
        send(this.#head(SUCCESS_STATUS_LINE, this.#successHeaders(id))),
        endless(ENDLESS_BLOCK),
      ],
      'chunked body': ({ id }) => [RUN, send(this.#chunkedHead(id)), endless(`4000\r\n${ENDLESS_BLOCK}\r\n`)],
      'chunked body of single bytes': ({ id }) => [
        RUN,
        send(this.#chunkedHead(id)),
        endless('1\r\nx\r\n'.repeat(1_000)),
      ],
      'chunk extensions': ({ id }) => [RUN, send(`${this.#chunkedHead(id)}1;a=`), endless(ENDLESS_BLOCK)],
      trailers: ({ id }) => [RUN, send(`${this.#chunkedHead(id)}0\r\n`), endless('a: b\r\n'.repeat(1_000))],
      'interim responses': () => [RUN, endless('HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'.repeat(100))],
      'header lines': () => [RUN, send(SUCCESS_STATUS_LINE), endless('a: b\r\n'.repeat(1_000))],
      'one header': () => [RUN, send(`${SUCCESS_STATUS_LINE}a: `), endless(ENDLESS_BLOCK)],
      'blank lines': () => [RUN, endless('\r\n'.repeat(1_000))],
      'status line': () => [RUN, send('HTTP/1.1 200 '), endless(ENDLESS_BLOCK)],
      noise: () => [RUN, endless(ENDLESS_BLOCK)],
    };

  /** A response that breaks off within its head, for each length of the part that is sent. */
  truncatedHeads(id: string): readonly string[] {
    const interim = 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n';
    const responses = [
      this.#success(id),
      this.#successWithoutLength(id),
      interim + this.#successWithoutLength(id),
    ];
    return responses.flatMap((response) => {
      const headLength = response.lastIndexOf('\r\n\r\n') + 4;
      return Array.from({ length: headLength - 1 }, (_unused, index) => response.slice(0, index + 1));
    });
  }

  #idLine(id: string): string {
    return `${this.#dialect.requestIdHeader}: ${id}\r\n`;
  }

  #successHeaders(id: string): string {
    return this.#idLine(id) + this.#dialect.successHeaders;
  }

  #head(statusLine: string, headers: string): string {
    return `${statusLine}${headers}\r\n`;
  }

  #chunkedHead(id: string): string {
    return this.#head(SUCCESS_STATUS_LINE, `${this.#successHeaders(id)}transfer-encoding: chunked\r\n`);
  }

  #response(statusLine: string, headers: string, body: string): string {
    return `${this.#head(statusLine, `${headers}content-length: ${body.length.toString()}\r\n`)}${body}`;
  }

  #success(id: string): string {
    return this.#response(SUCCESS_STATUS_LINE, this.#successHeaders(id), intactBody(id));
  }

  #successWithoutLength(id: string): string {
    return (
      this.#head(SUCCESS_STATUS_LINE, `${this.#successHeaders(id)}connection: close\r\n`) + intactBody(id)
    );
  }

  #refusal(id: string): string {
    return this.#response(
      this.#dialect.refusalStatusLine,
      this.#idLine(id) + this.#dialect.refusalHeaders,
      '',
    );
  }
}

function send(text: string): ServerStep {
  return { kind: 'send', text };
}

function endless(text: string): ServerStep {
  return { kind: 'send-endlessly', text };
}

function pause(milliseconds: number): ServerStep {
  return { kind: 'pause', milliseconds };
}
