import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { InvalidDocumentError, parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { buildSnapshot } from '../configurationSnapshot.js';
import { serviceFileSchema } from '../serviceFile.js';

const SEED = 7;

const smallest = {
  kind: 'keyed',
  name: 'catalogue',
  pathPrefix: '/catalogue',
  servers: [{ address: '10.0.0.1:80', availabilityZone: 'a' }],
};

function problemsOf(change: object): readonly string[] {
  try {
    parseDocument('service.json', serviceFileSchema, JSON.stringify({ ...smallest, ...change }));
    return [];
  } catch (error) {
    assert.instance(error, InvalidDocumentError);
    return (error as InvalidDocumentError).problems;
  }
}

describe('a service file', () => {
  it('needs only a few lines', () => {
    assert.equal(problemsOf({}), []);
  });

  it('names the path of what is wrong and what is allowed', () => {
    assert.match(
      problemsOf({ servers: [{ address: 'db.example:80', availabilityZone: 'a' }] })[0] ?? '',
      /IP number/,
    );
    assert.match(problemsOf({ pathPrefix: 'catalogue' })[0] ?? '', /at pathPrefix: must start with "\/"/);
    assert.match(problemsOf({ deadlineMilliseconds: -1 })[0] ?? '', /at deadlineMilliseconds/);
  });

  it('refuses unknown fields', () => {
    assert.match(problemsOf({ dead1ine: 5 })[0] ?? '', /dead1ine/);
  });

  it('fails with a typed error for any text', () => {
    const property = fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      try {
        parseDocument('service.json', serviceFileSchema, text);
      } catch (error) {
        assert.instance(error, InvalidDocumentError);
      }
    });
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });

  it('must not share its name or path prefix with another', () => {
    const service = serviceFileSchema.parse(smallest);
    assert.throws(() => buildSnapshot([service, service]), /is used by both/);
  });
});
