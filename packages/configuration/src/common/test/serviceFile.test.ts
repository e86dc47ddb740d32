import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { InvalidDocumentError, parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { buildSnapshot } from '../configurationSnapshot.js';
import { serviceFileSchema } from '../serviceFile.js';

const SEED = 7;

const minimalFile = {
  kind: 'keyed',
  name: 'catalogue',
  pathPrefix: '/catalogue',
  servers: [{ address: '10.0.0.1:80', availabilityZone: 'a' }],
};

function findProblems(change: object): readonly string[] {
  try {
    parseDocument('service.json', serviceFileSchema, JSON.stringify({ ...minimalFile, ...change }));
    return [];
  } catch (error) {
    assert.instance(error, InvalidDocumentError);
    return (error as InvalidDocumentError).problems;
  }
}

describe('a service file', () => {
  it('is valid if it has the required fields', () => {
    assert.equal(findProblems({}), []);
  });

  it('is rejected with the path of an invalid field and what is allowed', () => {
    assert.match(
      findProblems({ servers: [{ address: 'db.example:80', availabilityZone: 'a' }] })[0] ?? '',
      /IP address/,
    );
    assert.match(findProblems({ pathPrefix: 'catalogue' })[0] ?? '', /at pathPrefix: must start with "\/"/);
    assert.match(findProblems({ deadlineMilliseconds: -1 })[0] ?? '', /at deadlineMilliseconds/);
  });

  it('is rejected if it has an unknown field', () => {
    assert.match(findProblems({ dead1ine: 5 })[0] ?? '', /dead1ine/);
  });

  it('is rejected with an InvalidDocumentError if its text is invalid', () => {
    const property = fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      try {
        parseDocument('service.json', serviceFileSchema, text);
      } catch (error) {
        assert.instance(error, InvalidDocumentError);
      }
    });
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });

  it('must not have the name or path prefix of another one', () => {
    const service = serviceFileSchema.parse(minimalFile);
    assert.throws(() => buildSnapshot([service, service]), /is used by both/);
  });
});
