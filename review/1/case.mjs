// OWNER: keys get a new owner while the old one still holds them. See claim.txt.
import { Catalogue, commonHolds } from '../common/catalogue.mjs';
import { CannotRunError, wait, waitFor } from '../common/record.mjs';
import { runCase } from '../common/runCase.mjs';

/** The store is down for this long (the site file: up to 8 s). */
const OUTAGE_MILLISECONDS = 1_900;
/** From the start of the outage until one upstream is cut off from all machines. */
const CUT_AFTER_MILLISECONDS = 1_650;
/** The upstream is cut off for this long (the site file: up to 12 s). */
const CUT_MILLISECONDS = 7_000;
const WORK_MILLISECONDS = 450;
const RENEWAL_MILLISECONDS = 1_000;

await runCase(import.meta.dirname, async ({ record, hasTrouble, cleanups }) => {
  const catalogue = new Catalogue(record, cleanups);
  const { store, upstreams } = catalogue;
  await catalogue.start({ machines: 3, upstreams: 5 });
  await wait(1_500);

  // The first upstream leaves as planned, and its neighbours get its keys.
  const first = catalogue.ownerOf(20_000);
  first.drain();
  const others = upstreams.filter((one) => one !== first);
  await waitFor('the keys of the first one are held by others', () => catalogue.isAllHeld(others));
  await wait(2_500);
  await first.end();
  await wait(1_000);

  // Some upstream now has two adjacent ranges, which the next write of the assignment makes one.
  const cut = upstreams.find((one) => hasAdjacentRanges(one));
  if (cut === undefined) {
    throw new CannotRunError('no upstream has two adjacent ranges');
  }
  const ranges = cut.heldRanges().map(({ from, to }) => `${from}-${to}`);
  record.write('upstream', cut.id, 'holds adjacent ranges:', ranges.join(' '));
  const traffic = catalogue.startTraffic(200, 30);
  await wait(500);

  // A second upstream leaves as planned, while requests of 450 ms run there, so its keys are free after that. Ranges are
  // merged unless they are being renewed just then, so the script picks a moment at which no renewal is due.
  await waitFor('no renewal is due when the keys are free', () =>
    cut.heldRanges().every(({ renewedAt }) => {
      const sinceRenewal = (record.now() + WORK_MILLISECONDS - renewedAt) % RENEWAL_MILLISECONDS;
      return sinceRenewal > 150 && sinceRenewal < RENEWAL_MILLISECONDS - 250;
    }),
  );
  const second = upstreams.find((one) => one !== first && one !== cut);
  for (const key of new Set(second.heldRanges().map(({ from }) => from))) {
    void traffic.send(key, WORK_MILLISECONDS);
  }
  await wait(100);
  second.drain();
  await waitFor('it is asked to release its keys', () => second.hasReleaseInProgress);
  if (hasTrouble) {
    store.setBusy(true);
    record.write('DISRUPTION the store is down (busy, 503)');
    await wait(CUT_AFTER_MILLISECONDS);
    await cut.cutOff();
    record.write('DISRUPTION upstream', cut.id, 'is cut off from all machines; it stays up');
    await wait(OUTAGE_MILLISECONDS - CUT_AFTER_MILLISECONDS);
    store.setBusy(false);
    record.write('DISRUPTION the store works again');
    await wait(CUT_MILLISECONDS - (OUTAGE_MILLISECONDS - CUT_AFTER_MILLISECONDS));
    await cut.heal();
    record.write('DISRUPTION upstream', cut.id, 'can be reached again');
  } else {
    await wait(CUT_AFTER_MILLISECONDS + CUT_MILLISECONDS);
  }
  await second.end();
  await wait(1_000);
  await traffic.stop();
  return commonHolds(upstreams);
});

function hasAdjacentRanges(upstream) {
  const held = upstream.heldRanges();
  return held.some(({ to }) => held.some(({ from }) => from === to + 1));
}
