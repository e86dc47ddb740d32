// All processes are killed at once in a drill in which the store comes back from an older copy.
// With KILL=one, only the process is killed that last wrote to the store under a condition.
import { runCase, wait } from '../rig-2/rig.mjs';
import { HoldWatch, KEY_COUNT, KEYED_STATE, keyOf, KEYS, Traffic } from '../rig-2/keys.mjs';

/** `thaw` of the site. */
const THAW_MILLISECONDS = 300;
const AWAY_MILLISECONDS = 1_200;
const KILL_AFTER_MILLISECONDS = 200;
/** Holds of over half a second by two upstreams break the rule. */
const MAX_OVERLAP_MILLISECONDS = 500;

await runCase(import.meta.dirname, async (rig, hasTrouble) => {
  await rig.addVms(3);
  rig.configure(KEYED_STATE);
  for (let index = 1; index <= 4; index += 1) {
    await rig.addUpstream({ id: `i-${index}`, service: 'katalog', isKeyed: true });
  }
  rig.vms.forEach((vm) => vm.start());
  await rig.waitUntil('all entry VMs are ready', () => rig.allReady());
  let isShifted = false;
  const traffic = new Traffic(
    rig,
    // Once the new upstream has keys, others become busy; one request in eight is for any key.
    (turn) => (isShifted && turn % 8 !== 0 ? keyOf(36 + (turn % 12)) : keyOf((turn * 7) % KEY_COUNT)),
    12,
  );
  await wait(4_000);
  const copy = rig.store.takeCopy();
  rig.record.note('copy-taken');
  // Planned work: an empty upstream joins, and gets keys of one that stays.
  const added = await rig.addUpstream({ id: 'i-5', service: 'katalog', isKeyed: true });
  await rig.waitUntil('the new upstream has keys', () => KEYS.some((key) => added.holds(key)));
  isShifted = true;
  await wait(1_500);
  const watch = new HoldWatch(rig);
  if (hasTrouble) {
    rig.record.note('store-away');
    rig.store.goAway();
    await wait(KILL_AFTER_MILLISECONDS);
    const killed = process.env.KILL === 'one' ? [rig.lastConditionalWriter()] : rig.vms;
    killed.forEach((vm) => vm.signal('SIGKILL'));
    await wait(AWAY_MILLISECONDS - KILL_AFTER_MILLISECONDS);
    rig.store.comeBack(copy);
    rig.record.note('store-back', { era: rig.store.era });
    rig.upstreams.forEach((upstream) => (upstream.excusedUntil = performance.now() + THAW_MILLISECONDS));
    // The operator and the upstreams write again, the latter with their heartbeats.
    setTimeout(() => rig.writeConfigAgain(), 300);
  }
  await wait(9_000);
  await traffic.stop();
  const overlaps = watch.end();
  const longest = Math.max(0, ...overlaps.map(({ from, to }) => Math.round(to - from)));
  const both = overlaps.filter(({ begun }) => begun.every((count) => count > 0)).length;
  const text = `longest time with two holders of a key: ${longest} ms; keys on which both began requests meanwhile: ${both}`;
  rig.record.note('result', { text });
  console.log(text);
  return longest > MAX_OVERLAP_MILLISECONDS || both > 0;
});
