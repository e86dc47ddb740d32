import * as assert from 'uvu/assert';
import { InvalidDocumentError } from '@hickoryhoist/base/common/checkedJson.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { decodeAssignment, encodeAssignment } from '../assignmentRow.js';
import type { KeyAssignment } from '../keyAssignment.js';

/** Fences after a thousand returns of the store from an older copy. */
const FENCES_AFTER_RETURNS = 10_000_000_000;
/** Maximum size of a row's value, in bytes. */
const ROW_BYTES = 65_536;

function assignmentOf(servers: number, ranges: number, firstFence = 1_000): KeyAssignment {
  const width = Math.floor(65_536 / ranges);
  return {
    revision: 1_234,
    ranges: Array.from({ length: ranges }, (_, index) => ({
      from: index * width,
      to: (index + 1) * width - 1,
      ownerId: `i-${(0xa0000000 + (index % servers)).toString(16)}ff`,
      ownerIncarnation: 1_790_000_000_000 + (index % servers),
      ownerAddress: `10.12.134.${(index % servers).toString()}:18704`,
      fence: firstFence + index,
    })),
  };
}

describe('assignmentRow', () => {
  it('decodes what it encoded', () => {
    const assignment = assignmentOf(7, 40);
    assert.equal(decodeAssignment('row', encodeAssignment(assignment)), assignment);
  });

  it('distinguishes incarnations of the same server', () => {
    const [first, second] = assignmentOf(1, 2).ranges;
    assert.ok(first !== undefined && second !== undefined);
    const assignment = { revision: 1, ranges: [first, { ...second, ownerIncarnation: 5 }] };
    assert.equal(decodeAssignment('row', encodeAssignment(assignment)), assignment);
  });

  it('fits the largest assignment into a row', () => {
    const bytes = Buffer.byteLength(encodeAssignment(assignmentOf(250, 600)));
    assert.ok(bytes <= ROW_BYTES, `${bytes.toString()} bytes`);
  });

  it('fits the largest assignment into a row also after many returns of the store', () => {
    const bytes = Buffer.byteLength(encodeAssignment(assignmentOf(250, 600, FENCES_AFTER_RETURNS)));
    assert.ok(bytes <= ROW_BYTES, `${bytes.toString()} bytes`);
  });

  it('rejects a range whose owner index is out of bounds', () => {
    const value = JSON.stringify({ revision: 1, owners: [], ranges: [[0, 9, 0, 1]] });
    assert.throws(
      () => decodeAssignment('row', value),
      (error: unknown) => error instanceof InvalidDocumentError,
    );
  });
});
