import { delay } from '@hickoryhoist/base/common/asynchronous.js';
import type { RandomSource } from '@hickoryhoist/base/common/randomSource.js';
import { headerNames } from '@hickoryhoist/protocol/common/requestHeaders.js';
import type { AttemptResult, ServerRequest, ServerTransport } from '../../serverTransport.js';

/** How a fake server handles one request. */
type Behaviour = 'respond' | 'shed' | 'not-written' | 'lose-before-run' | 'lose-after-run' | 'run-late';

const behaviours: readonly Behaviour[] = [
  'respond',
  'respond',
  'respond',
  'shed',
  'not-written',
  'lose-before-run',
  'lose-after-run',
  'run-late',
];

const LATE_RUN_DELAY_MILLISECONDS = 3_000;

/** Servers behind a faulty network. They count how often each request was run. */
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
      case 'respond':
        return this.#respond(request);
      case 'shed':
        return { kind: 'refused', refusal: 'shed' };
      case 'not-written':
        return { kind: 'not-written' };
      case 'lose-before-run':
        return { kind: 'lost', cause: 'connection-lost' };
      case 'lose-after-run':
        this.#run(request);
        return { kind: 'lost', cause: 'answer-damaged' };
      case 'run-late':
        void delay(LATE_RUN_DELAY_MILLISECONDS).then(() => {
          this.#run(request);
        });
        return { kind: 'lost', cause: 'deadline' };
    }
  }

  #respond(request: ServerRequest): AttemptResult {
    this.#run(request);
    return { kind: 'answered', status: 200, headers: {}, body: Buffer.from(request.requestId) };
  }

  #run(request: ServerRequest): void {
    const idempotencyKey = request.headers[headerNames.idempotencyKey];
    increment(this.runsByRequest, request.requestId);
    if (typeof idempotencyKey === 'string') {
      increment(this.runsByIdempotencyKey, idempotencyKey);
    }
  }
}

function increment(runs: Map<string, number>, name: string): void {
  runs.set(name, (runs.get(name) ?? 0) + 1);
}
