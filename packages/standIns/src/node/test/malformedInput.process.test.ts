import { once } from 'node:events';
import { connect } from 'node:net';
import { Client, credentials } from '@grpc/grpc-js';
import fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import { splitAddress } from '@hickoryhoist/base/common/networkAddress.js';
import { ControlService } from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { type EntryVmRigProcess, ProcessRig, readStatus, waitUntil } from '../processRig.js';

const SEED = 20261204;
const INPUTS = 60;
const CALL_TIMEOUT_MILLISECONDS = 500;
/** First bytes of a connection over HTTP/2. */
const HTTP2_PREFACE = Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n');

async function withEntryVm(test: (entryVm: EntryVmRigProcess) => Promise<void>): Promise<void> {
  const rig = new ProcessRig();
  try {
    const platform = await rig.startPlatform();
    const entryVm = await rig.startEntryVm({
      platformAddress: platform.address,
      id: 'entry-vm-1',
      availabilityZone: 'hr-1',
    });
    await waitUntil('the entry VM responds', async () => (await readStatus(entryVm)) !== undefined);
    await test(entryVm);
    assert.is(entryVm.child.exitCode, null, rig.describeProcesses());
    assert.ok(await readStatus(entryVm), rig.describeProcesses());
  } finally {
    rig.dispose();
  }
}

/** Writes bytes on a connection of its own and closes it. */
async function writeBytes(address: string, bytes: Buffer): Promise<void> {
  const { host, port } = splitAddress(address);
  const socket = connect(port, host);
  socket.on('error', () => {
    // The other side may reset the connection.
  });
  socket.end(bytes);
  socket.resume();
  await once(socket, 'close');
}

/** Sends bytes as the request message of a call; any answer or error will do. */
function call(client: Client, path: string, isStream: boolean, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    const identity = (buffer: Buffer): Buffer => buffer;
    const deadline = Date.now() + CALL_TIMEOUT_MILLISECONDS;
    if (isStream) {
      const stream = client.makeBidiStreamRequest(path, identity, identity, { deadline });
      stream.on('data', () => undefined);
      stream.on('error', () => {
        resolve();
      });
      stream.on('end', () => {
        resolve();
      });
      stream.write(bytes);
      stream.end();
    } else {
      client.makeUnaryRequest(path, identity, identity, bytes, { deadline }, () => {
        resolve();
      });
    }
  });
}

const drawnBytes = (): fastCheck.Arbitrary<Buffer> =>
  fastCheck.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes));

describe("malformed input to a daemon of the product's own interface", () => {
  it('does not end it when it comes as a message of another entry VM', () =>
    withEntryVm(async ({ controlAddress }) => {
      const client = new Client(controlAddress, credentials.createInsecure());
      const methods = Object.values(ControlService).map(({ path, requestStream }) => ({
        path,
        isStream: requestStream,
      }));
      try {
        for (const { path, isStream } of methods) {
          await call(client, path, isStream, Buffer.alloc(0));
        }
        await fastCheck.assert(
          fastCheck.asyncProperty(
            fastCheck.constantFrom(...methods),
            drawnBytes(),
            async ({ path, isStream }, bytes) => {
              await call(client, path, isStream, bytes);
            },
          ),
          { seed: SEED, numRuns: INPUTS },
        );
      } finally {
        client.close();
      }
    }));

  it('does not end it when it comes as bytes on any of its ports', () =>
    withEntryVm(async ({ address, requestAddress, controlAddress, operatorAddress }) => {
      await fastCheck.assert(
        fastCheck.asyncProperty(
          fastCheck.constantFrom(address, requestAddress, controlAddress, operatorAddress),
          fastCheck.constantFrom(
            Buffer.alloc(0),
            HTTP2_PREFACE,
            Buffer.from('POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\n'),
          ),
          drawnBytes(),
          async (target, start, bytes) => {
            await writeBytes(target, Buffer.concat([start, bytes]));
          },
        ),
        { seed: SEED, numRuns: INPUTS },
      );
    }));
});
