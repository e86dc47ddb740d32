import { Agent } from 'undici';
import { checkEndlessCommandResponses } from '@hickoryhoist/standIns/node/faultyServerChecks.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { HttpServerClient } from '../httpServerClient.js';

/** Half of the memory of the smallest VM of the users' platform, which has 210 MB. */
const MAX_GROWTH_MEBIBYTES = 100;
const COMMANDS_AT_ONCE = 20;
const TIMEOUT_MILLISECONDS = 500;

const dialect = {
  requestIdHeader: 'request-id',
  successHeaders: 'content-type: application/json\r\n',
  refusalStatusLine: 'HTTP/1.1 421 Misdirected Request\r\n',
  refusalHeaders: '',
};

describe('a command to a server', () => {
  describe('whose response has no end', () => {
    it('fails in its time and takes bounded memory', async () => {
      const agent = new Agent();
      const client = new HttpServerClient(agent);
      try {
        await checkEndlessCommandResponses(dialect, COMMANDS_AT_ONCE, MAX_GROWTH_MEBIBYTES, (address) =>
          client.send(address, { kind: 'describe' }, TIMEOUT_MILLISECONDS).then(
            () => 'answered',
            () => 'failed',
          ),
        );
      } finally {
        await agent.destroy();
      }
    });
  });
});
