// OWNER: an entry of an upstream's former life is taken for a new life. See claim.txt.
import { Catalogue, commonHolds, grantsWhileAtWork } from '../common/catalogue.mjs';
import { wait, waitFor } from '../common/record.mjs';
import { runCase } from '../common/runCase.mjs';

/** A write without an answer is done so much later (the kinds: 1 to 6 s). */
const LATE_MILLISECONDS = 4_500;
/** The upstream is down for this long (the site file: up to 4.8 s). */
const DOWN_MILLISECONDS = 1_500;
/** Work of the requests that run at that moment; the site file allows 1300 ms. */
const WORK_MILLISECONDS = 800;

await runCase(import.meta.dirname, async ({ record, hasTrouble, cleanups }) => {
  const catalogue = new Catalogue(record, cleanups);
  const { store, upstreams } = catalogue;
  await catalogue.start({ machines: 3, upstreams: 5 });
  const traffic = catalogue.startTraffic(100, 100);
  await wait(3_000);

  // The last report of an upstream gets no answer and is done later. Then it crashes, and starts again under its id.
  const former = catalogue.ownerOf(20_000);
  const report = former.entry();
  const reportedAt = performance.now();
  if (hasTrouble) {
    record.write('DISRUPTION a report of upstream', former.id, 'gets no answer from the store');
  }
  await wait(100);
  await former.crash();
  record.write('upstream', former.id, 'at', former.address, 'crashes');
  await wait(DOWN_MILLISECONDS);
  const next = await catalogue.startUpstream(former.id);
  await waitFor('it has keys in its new life', () => next.heldRanges().length > 0);
  await wait(LATE_MILLISECONDS - (performance.now() - reportedAt));
  // The write falls between two reports of the new life; those come every 870 ms.
  await waitFor('it is 650 ms since its report', () => record.now() - next.reportedAt > 650);
  const { from, to } = next.heldRanges()[0];
  void traffic.send(from, WORK_MILLISECONDS);
  void traffic.send(to, WORK_MILLISECONDS);
  await wait(250);
  if (hasTrouble) {
    store.put('servers', former.id, report);
    record.write('DISRUPTION the store does that write: born', report.born, 'at', report.address);
  }
  await wait(6_000);
  await traffic.stop();
  return [...commonHolds(upstreams), ...grantsWhileAtWork(upstreams)];
});
