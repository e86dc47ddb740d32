import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as assert from 'uvu/assert';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { formatCheckReport } from '../../common/checkReportText.js';
import { createChecker } from '../../common/configurationFormat.js';
import { serviceFileFormat } from '../../common/serviceFileFormat.js';
import { checkConfiguration, type Comparison } from '../commands/checkCommand.js';

const catalogue = { kind: 'keyed', name: 'catalogue', pathPrefix: '/catalogue', servers: { role: 'server' } };
const loans = { kind: 'pooled', name: 'loans', pathPrefix: '/loans', servers: { role: 'server' } };

/** Checks a file with this content, or all files of its directory. @returns the text, or that of the error. */
async function check(
  content: unknown,
  comparison: Comparison = { kind: 'none' },
  path = 'a.hickoryhoist.json',
): Promise<string> {
  const directory = mkdtempSync(join(tmpdir(), 'hickoryhoist-check-'));
  const files = { 'a.hickoryhoist.json': content, 'b.json': { services: [loans, catalogue] } };
  for (const [name, value] of Object.entries(files)) {
    writeFileSync(join(directory, name), typeof value === 'string' ? value : JSON.stringify(value));
  }
  const other =
    comparison.kind === 'file' ? { ...comparison, path: join(directory, comparison.path) } : comparison;
  try {
    const checkers = [createChecker(serviceFileFormat)];
    const report = await checkConfiguration(checkers, join(directory, path), other);
    return formatCheckReport(report).replaceAll(`${directory}/`, '');
  } catch (error) {
    assert.instance(error, HickoryhoistError);
    return String(error).replaceAll(`${directory}/`, '');
  } finally {
    rmSync(directory, { recursive: true });
  }
}

/** Checks against an operator port that returns a text as the version in force. */
async function checkInForce(content: unknown, status: number, text: string): Promise<string> {
  const server = createServer((message, response) => {
    response.statusCode = message.url === '/configuration' ? status : 404;
    response.end(text);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port.toString()}`;
  try {
    return await check(content, { kind: 'in-force', address });
  } finally {
    server.close();
  }
}

describe('the check command', () => {
  it('reports file, field and cause of an invalid service file, also below a directory', async () => {
    const invalid = { ...loans, deadlineMilliseconds: 0 };
    const expected =
      /invalid\n1 finding:\n {2}invalid: a\.hickoryhoist\.json: at deadlineMilliseconds: Too small/;
    assert.match(await check(invalid), expected);
    assert.match(await check(invalid, undefined, '.'), expected);
  });

  it('reports a name that the product uses itself', async () => {
    assert.match(await check({ ...loans, name: 'entry-vms' }), /no-target: service entry-vms: /);
  });

  it('describes differences from another file, which are no findings', async () => {
    assert.is(
      await check({ ...loans, slotsPerServer: 5 }, { kind: 'file', path: 'b.json' }),
      [
        'a.hickoryhoist.json: 1 service',
        'nothing found',
        'differences from b.json (2 services):',
        '  service catalogue is removed',
        '  service loans: slotsPerServer changes from 4 to 5',
      ].join('\n'),
    );
  });

  it('compares the result of publishing a file with the version in force', async () => {
    const document = JSON.stringify({ services: [catalogue, loans] });
    const text = await checkInForce({ ...loans, name: 'loans-2' }, 200, JSON.stringify({ document }));
    assert.match(text, /service loans-2: hidden by service loans, which has the same path prefix \/loans/);
    assert.match(text, /service loans-2 is added: /);
    assert.not.match(text, 'is removed');
  });

  it('names input that it cannot use, and the cause', async () => {
    const row = '{"document":"{\\"version\\":\\"r1\\"}"}';
    assert.match(await check(loans, undefined, 'missing'), /missing: ENOENT/);
    assert.match(await check('{'), /a\.hickoryhoist\.json: not valid JSON/);
    assert.match(await check([1]), /a\.hickoryhoist\.json: is of no known kind/);
    assert.match(await check(loans, { kind: 'in-force', address: '127.0.0.1:1' }), /127\.0\.0\.1:1: /);
    assert.match(await checkInForce(loans, 503, 'none is in force'), /503: none is in force/);
    assert.match(await checkInForce(loans, 200, '{"document":"{"}'), /in force on .*: not valid JSON/);
    assert.match(await checkInForce(loans, 200, row), /in force on .*: is of no known kind/);
  });
});
