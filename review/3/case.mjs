// BUDGET: a request that crashes the upstreams that run it. See claim.txt.
import { Machines } from '../common/machines.mjs';
import { PlatformStore } from '../common/platformStore.mjs';
import { wait, waitFor } from '../common/record.mjs';
import { runCase } from '../common/runCase.mjs';
import { Upstream } from '../common/upstream.mjs';

const MACHINES = 6;
const UPSTREAMS = 8;
const HOST = 'library.example';
const CONTACT_MILLISECONDS = 3_000;
/** An upstream that crashed is back after this time; its entry runs out after three heartbeats. */
const BACK_AFTER_MILLISECONDS = 3_000;
const ENTRY_EXPIRY_MILLISECONDS = 2_610;
/** The crashing request comes again at this interval, at the next machine. */
const COMES_AGAIN_MILLISECONDS = 1_500;
const TIMES = 14;
const CRASHING_PATH = '/loans/crash';
/** BUDGET: "in more than three retries". */
const MAX_LATE_RETRIES = 3;

await runCase(import.meta.dirname, async ({ record, hasTrouble, cleanups }) => {
  const store = new PlatformStore();
  cleanups.push(() => store.close());
  const storeAddress = await store.listen();
  store.put('op', 'config', desiredState());
  const crashes = [];
  let lives = 0;
  const start = async (port) => {
    lives += 1;
    const upstream = new Upstream({
      id: `i-loans-${lives}`,
      service: 'loans',
      store,
      record,
      workMilliseconds: 290,
    });
    upstream.onRun = (run) => {
      if (run.target === CRASHING_PATH && hasTrouble) {
        crashes.push({ at: record.now(), id: run.id, upstream: upstream.id });
        record.write('DISRUPTION upstream', upstream.id, 'crashes on', run.id);
        void restart(upstream);
      }
    };
    await upstream.start(port);
    cleanups.push(() => upstream.isUp && upstream.crash());
  };
  const restart = async (upstream) => {
    const port = Number(upstream.address.split(':')[1]);
    setTimeout(() => store.delete('servers', upstream.id), ENTRY_EXPIRY_MILLISECONDS);
    await upstream.crash();
    await wait(BACK_AFTER_MILLISECONDS);
    await start(port);
  };
  for (let index = 0; index < UPSTREAMS; index += 1) {
    await start(0);
  }
  const machines = new Machines();
  cleanups.push(() => machines.stop());
  await machines.start(MACHINES, storeAddress, record);
  await wait(CONTACT_MILLISECONDS);

  const others = startTraffic(machines, record);
  cleanups.push(() => others.stop());
  await wait(1_000);
  const attempts = [];
  for (let time = 1; time <= TIMES; time += 1) {
    const machine = machines.list[(time - 1) % MACHINES];
    const attempt = { id: `crash-${time}`, at: record.now(), machine: machine.name };
    attempts.push(attempt);
    void send(machines, machine, record, attempt.id, CRASHING_PATH, 'loan of the damaged book');
    await wait(COMES_AGAIN_MILLISECONDS);
  }
  await others.stop();
  return check({ record, crashes, attempts, lost: others.lost });
});

function desiredState() {
  return {
    version: 'r1',
    services: [{ name: 'loans', health_path: '/healthz', max_conns: 120 }],
    limits: { header_bytes: 16_384, body_bytes: 1_000_000, header_timeout: '3s', idle_timeout: '15s' },
    vhosts: [
      {
        host: HOST,
        paths: [
          {
            name: 'loans',
            prefix: '/loans/',
            kind: 'unsafe',
            timeout: '1500ms',
            latency_goal: '800ms',
            priority: 1,
            attempts: 2,
            service: 'loans',
          },
        ],
      },
    ],
  };
}

async function send(machines, machine, record, id, path, body) {
  record.write('client sends', id, 'POST', path, 'to', machine.name);
  const { status, text } = await machines.send(machine, {
    method: 'POST',
    path,
    host: HOST,
    body,
    timeout: 3_000,
    headers: { 'x-hickoryhoist-attempt-id': id, 'x-hickoryhoist-timeout-ms': '3000' },
  });
  record.write('client gets', id, status, text.trim());
  return status;
}

/** Other clients: thirty loans a second, at all machines in turn. */
function startTraffic(machines, record) {
  let count = 0;
  const lost = [];
  const pending = new Set();
  const timer = setInterval(() => {
    count += 1;
    const id = `loan-${count}`;
    const sent = send(
      machines,
      machines.list[count % MACHINES],
      record,
      id,
      `/loans/${id}`,
      `loan ${id}`,
    ).then((status) => {
      if (status !== 200 && status !== 503) {
        lost.push(id);
      }
    });
    pending.add(sent);
    void sent.finally(() => pending.delete(sent));
  }, 33);
  return {
    lost,
    stop: async () => {
      clearInterval(timer);
      await Promise.all(pending);
    },
  };
}

function check({ record, crashes, attempts, lost }) {
  const third = crashes[2];
  record.write('RESULT', `${crashes.length} crashes, ${attempts.length} times sent`);
  record.write(
    'RESULT',
    `${lost.length} other loans ended with 502, 504 or a closed connection:`,
    lost.join(' '),
  );
  if (third === undefined) {
    return [];
  }
  const countsFrom = third.at + CONTACT_MILLISECONDS;
  const late = attempts.filter(({ at, id }) => at > countsFrom && crashes.some((crash) => crash.id === id));
  record.write(
    'RESULT',
    `third crash at ${(third.at / 1000).toFixed(3)} s; retries that reached an upstream from ${(countsFrom / 1000).toFixed(3)} s on: ${late.length}`,
  );
  return late.length > MAX_LATE_RETRIES
    ? [
        `BUDGET broken: after the request had crashed three upstreams and contact had passed, ${late.length} retries reached an upstream and crashed it ` +
          `(${late.map(({ id, machine }) => `${id} by ${machine}`).join(', ')}); ${lost.length} other loans were lost`,
      ]
    : [];
}
