// A service that is divided by key is added. Some seconds later the store comes back from a copy that is older than the
// first assignment of its keys. No process is stopped or killed.
import { runCase, wait } from '../rig-2/rig.mjs';
import { KEY_COUNT, KEYED_STATE, keyOf } from '../rig-2/keys.mjs';

/** Calm time before the requests that are judged: `recover` of the site, five times its `contact`. */
const CALM_MILLISECONDS = 15_000;
const AWAY_MILLISECONDS = 500;
/** Time from the change of the desired state to the drill. */
const DRILL_AFTER_MILLISECONDS = 4_500;
const JUDGED_MILLISECONDS = 15_000;
const GAP_MILLISECONDS = 40;
/** Requests on routes that were added later, and their share relative to that of the first routes. */
const MIN_REQUESTS = 20;
const MIN_RELATIVE_SHARE = 0.25;

const FIRST_SERVICE = { name: 'posudba', health_path: '/healthz', max_conns: 120 };
const FIRST_HOST = {
  host: 'loans.example',
  paths: [
    {
      name: 'loan',
      prefix: '/loan/',
      kind: 'unsafe',
      timeout: '1500ms',
      latency_goal: '800ms',
      priority: 1,
      service: 'posudba',
      attempts: 2,
    },
  ],
};
const FIRST_STATE = { services: [FIRST_SERVICE], vhosts: [FIRST_HOST] };
const SECOND_STATE = {
  services: [FIRST_SERVICE, ...KEYED_STATE.services],
  vhosts: [FIRST_HOST, ...KEYED_STATE.vhosts],
};

const servedShare = (answers) => answers.filter(({ status }) => status === 200).length / answers.length;

await runCase(import.meta.dirname, async (rig, hasTrouble) => {
  await rig.addVms(3);
  rig.configure(FIRST_STATE);
  for (let index = 1; index <= 3; index += 1) {
    await rig.addUpstream({ id: `p-${index}`, service: 'posudba' });
  }
  rig.vms.forEach((vm) => vm.start());
  await rig.waitUntil('all entry VMs are ready', () => rig.allReady());
  for (let index = 1; index <= 4; index += 1) {
    await rig.addUpstream({ id: `k-${index}`, service: 'katalog', isKeyed: true });
  }
  const first = [];
  const added = [];
  let isSending = true;
  let isAdded = false;
  const sending = (async () => {
    for (let turn = 0; isSending; turn += 1) {
      const vm = rig.vms[turn % 3];
      const loan = { host: 'loans.example', path: '/loan/1', method: 'POST', body: Buffer.from('one book') };
      void rig.send(vm, loan).then((answer) => first.push(answer));
      if (isAdded) {
        const key = keyOf((turn * 7) % KEY_COUNT);
        void rig.send(vm, { path: `/lookup/${key}`, key }).then((answer) => added.push(answer));
      }
      await wait(GAP_MILLISECONDS);
    }
  })();
  await wait(10_000);
  const copy = rig.store.takeCopy();
  rig.record.note('copy-taken');
  rig.configure(SECOND_STATE);
  rig.record.note('service-added');
  isAdded = true;
  await wait(DRILL_AFTER_MILLISECONDS);
  const awayAt = performance.now();
  if (hasTrouble) {
    rig.record.note('store-away');
    rig.store.goAway();
    await wait(AWAY_MILLISECONDS);
    rig.store.comeBack(copy);
    rig.record.note('store-back', { era: rig.store.era });
    // The operator writes again, and the upstreams with their heartbeats.
    setTimeout(() => rig.writeConfigAgain(), 300);
  }
  const judgedFrom = performance.now() + CALM_MILLISECONDS;
  await wait(CALM_MILLISECONDS + JUDGED_MILLISECONDS);
  isSending = false;
  await sending;
  await wait(2_600);
  const judged = (answers) => answers.filter(({ sentAt }) => sentAt >= judgedFrom);
  const before = added.filter(({ sentAt }) => sentAt > awayAt - 2_000 && sentAt < awayAt - 500);
  const shares = { first: servedShare(judged(first)), added: servedShare(judged(added)) };
  const elections = rig.vms
    .flatMap(({ log }) => log)
    .filter(({ line }) => line.includes('event=assigner-elected')).length;
  const text = `served on the added route before: ${servedShare(before).toFixed(2)}; in calm: first route ${shares.first.toFixed(2)} of ${judged(first).length}, added route ${shares.added.toFixed(2)} of ${judged(added).length}; elections: ${elections}`;
  rig.record.note('result', { text });
  console.log(text);
  return judged(added).length >= MIN_REQUESTS && shares.added < MIN_RELATIVE_SHARE * shares.first;
});
