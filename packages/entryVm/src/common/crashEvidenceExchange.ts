import type { Logger } from '@hickoryhoist/base/common/logger.js';
import type {
  CrashEvidence,
  CrashingRequestDetector,
} from '@hickoryhoist/dispatch/common/crashingRequestDetector.js';
import type { PeerMessage } from './peerMessage.js';

export interface CrashEvidenceExchangeOptions {
  readonly detector: CrashingRequestDetector;
  readonly sendToOthers: (message: PeerMessage) => void;
  /** Sends a message to one entry VM, and a duplicate in case it is lost. */
  readonly sendWithDuplicate: (ipAddress: string, message: PeerMessage) => void;
  readonly logger: Logger;
}

/** Exchanges the evidence about requests that crash servers with the other entry VMs. */
export class CrashEvidenceExchange {
  readonly #options: CrashEvidenceExchangeOptions;

  constructor(options: CrashEvidenceExchangeOptions) {
    this.#options = options;
  }

  /** Tells the other entry VMs what they should know now. Must be called repeatedly. */
  tick(): void {
    const evidence = this.#options.detector.takeEvidence();
    if (evidence !== undefined) {
      this.#options.sendToOthers(toMessage(evidence));
      this.#log(evidence);
    }
  }

  /** Tells an entry VM that has just started, and so knows nothing, of the requests that the others know. */
  welcome(ipAddress: string): void {
    const evidence = this.#options.detector.evidenceForNewcomer();
    if (evidence !== undefined) {
      this.#options.sendWithDuplicate(ipAddress, toMessage(evidence));
      this.#log(evidence, ipAddress);
    }
  }

  receive(message: PeerMessage): void {
    if (message.type === 'crash-evidence') {
      this.#options.detector.recordEvidence(message);
    }
  }

  #log({ lost, answered, known }: CrashEvidence, newcomer?: string): void {
    this.#options.logger.log('info', 'crash-evidence-shared', {
      lost: lost.length,
      answered: answered.length,
      known: known.length,
      newcomer,
    });
  }
}

function toMessage({ lost, answered, known }: CrashEvidence): PeerMessage {
  return {
    type: 'crash-evidence',
    lost: lost.map(([fingerprint, server]) => [fingerprint, server]),
    answered: [...answered],
    known: known.map(([fingerprint, servers, age]) => [fingerprint, [...servers], age]),
  };
}
