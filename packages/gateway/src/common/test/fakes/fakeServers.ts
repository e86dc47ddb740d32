import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { headerNames } from '@hickoryhoist/protocol/common/requestHeaders.js';
import type { AttemptResult, ServerRequest, ServerTransport } from '../../serverTransport.js';

/** What a fake server does with one request. */
type Behaviour =
  'answer' | 'refuse-shed' | 'not-written' | 'lose-before-running' | 'lose-after-running' | 'run-long-after';

const behaviours: readonly Behaviour[] = [
  'answer',
  'answer',
  'answer',
  'refuse-shed',
  'not-written',
  'lose-before-running',
  'lose-after-running',
  'run-long-after',
];

const LONG_AFTER_MILLISECONDS = 3_000;

/** Servers behind a faulty network. They count what they ran. */
export class FakeServers implements ServerTransport {
  readonly #random: RandomSource;
  readonly runsByRequest = new Map<string, number>();
  readonly runsByIdempotencyKey = new Map<string, number>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  async send(request: ServerRequest): Promise<AttemptResult> {
    await delay(this.#random.integer(1, 5));
    switch (this.#random.pick(behaviours)) {
      case 'answer':
        return this.#answer(request);
      case 'refuse-shed':
        return { kind: 'refused', refusal: 'shed' };
      case 'not-written':
        return { kind: 'not-written' };
      case 'lose-before-running':
        return { kind: 'lost', cause: 'connection-lost' };
      case 'lose-after-running':
        this.#run(request);
        return { kind: 'lost', cause: 'answer-damaged' };
      case 'run-long-after':
        void delay(LONG_AFTER_MILLISECONDS).then(() => {
          this.#run(request);
        });
        return { kind: 'lost', cause: 'deadline' };
    }
  }

  #answer(request: ServerRequest): AttemptResult {
    this.#run(request);
    return { kind: 'answered', status: 200, headers: {}, body: Buffer.from(request.requestId) };
  }

  #run(request: ServerRequest): void {
    const idempotencyKey = request.headers[headerNames.idempotencyKey];
    count(this.runsByRequest, request.requestId);
    if (typeof idempotencyKey === 'string') {
      count(this.runsByIdempotencyKey, idempotencyKey);
    }
  }
}

function count(runs: Map<string, number>, name: string): void {
  runs.set(name, (runs.get(name) ?? 0) + 1);
}
