// DRAIN: an older entry ends what an upstream stated in its answers. See claim.txt.
import { Machines } from '../common/machines.mjs';
import { PlatformStore } from '../common/platformStore.mjs';
import { wait, waitFor } from '../common/record.mjs';
import { runCase } from '../common/runCase.mjs';
import { Upstream } from '../common/upstream.mjs';

const HOST = 'library.example';
const MACHINES = 3;
const UPSTREAMS = 4;
const DRAIN_MILLISECONDS = 2_000;
/** The upstream is down for this long (the site file: up to 4.8 s). */
const DOWN_MILLISECONDS = 1_000;
/** From the report that the upstream leaves until the late write, which is less than 6 s late (the kinds: 1 to 6 s). */
const LATE_MILLISECONDS = 2_400;

await runCase(import.meta.dirname, async ({ record, hasTrouble, cleanups }) => {
  const store = new PlatformStore();
  cleanups.push(() => store.close());
  const storeAddress = await store.listen();
  store.put('op', 'config', desiredState());
  const start = async (id, port) => {
    const upstream = new Upstream({ id, service: 'loans', store, record, slots: 4, workMilliseconds: 290 });
    await upstream.start(port);
    cleanups.push(() => upstream.isUp && upstream.crash());
    return upstream;
  };
  const upstreams = [];
  for (let index = 1; index <= UPSTREAMS; index += 1) {
    upstreams.push(await start(`i-loans-${index}`));
  }
  const machines = new Machines();
  cleanups.push(() => machines.stop());
  await machines.start(MACHINES, storeAddress, record);
  const loans = startLoans(machines, record);
  cleanups.push(() => loans.stop());
  await wait(4_000);

  // The last report of an upstream gets no answer and is done later. It crashes, and starts again under its id.
  const former = upstreams[0];
  const report = former.entry();
  const reportedAt = record.now();
  if (hasTrouble) {
    record.write('DISRUPTION a report of upstream', former.id, 'gets no answer from the store');
  }
  await wait(100);
  await former.crash();
  await wait(DOWN_MILLISECONDS);
  const next = await start(former.id, Number(former.address.split(':')[1]));
  // It runs loans of two machines or more, so that each of these will pass on an answer of it.
  await waitFor('it runs loans of two machines', () => {
    const running = next.runs.filter(({ until }) => until > record.now() + 20);
    return new Set(running.map(({ id }) => loans.sent.get(id).machine)).size >= 2;
  });

  // It leaves as planned, and says so in the store and in all its answers.
  next.drain();
  await wait(LATE_MILLISECONDS);
  // The write falls between two reports of the new life; those come every 870 ms.
  await waitFor('it has just reported', () => record.now() - next.reportedAt < 60);
  if (hasTrouble) {
    store.put('servers', former.id, report);
    record.write(
      'DISRUPTION the store does that write',
      Math.round(record.now() - reportedAt),
      'ms late: born',
      report.born,
      report.status.state,
    );
  }
  // It ends a little later, whatever runs there, but not before its next report.
  const writtenAt = record.now();
  while (record.now() - writtenAt < 700 && next.runs.filter(({ at }) => at > writtenAt).length < 2) {
    await wait(10);
  }
  await wait(100);
  await next.end();
  await wait(1_000);
  await loans.stop();

  const late = next.runs.filter(({ id }) => {
    const { machine, at } = loans.sent.get(id);
    const statedAt = Math.min(
      ...loans.answered
        .filter((answer) => answer.machine === machine && answer.isLeaving)
        .map(({ at: time }) => time),
    );
    return at > statedAt + DRAIN_MILLISECONDS;
  });
  const lost = late.filter(
    ({ id }) => ![200, 503].includes(loans.answered.find((answer) => answer.id === id)?.status),
  );
  record.write(
    'RESULT',
    `late: ${late.map(({ id }) => id).join(' ')}; of these lost: ${lost.map(({ id }) => id).join(' ')}`,
  );
  return late.length > 0
    ? [
        `DRAIN broken: ${late.length} loans reached ${next.id} later than ${DRAIN_MILLISECONDS} ms after their machine had passed on an ` +
          `answer with Server-Leaving; ${lost.length} of them were lost when it ended`,
      ]
    : [];
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

/** Forty loans a second, spread over the machines. */
function startLoans(machines, record) {
  const sent = new Map();
  const answered = [];
  const pending = new Set();
  let count = 0;
  const send = async () => {
    count += 1;
    const id = `loan-${count}`;
    const machine = machines.list[(Math.imul(count, 0x9e3779b1) >>> 16) % MACHINES];
    sent.set(id, { machine: machine.name, at: record.now() });
    record.write('client sends', id, 'to', machine.name);
    const { status, headers, text } = await machines.send(machine, {
      method: 'POST',
      path: `/loans/${id}`,
      host: HOST,
      body: `loan ${id}`,
      timeout: 3_000,
      headers: { 'x-hickoryhoist-attempt-id': id, 'x-hickoryhoist-timeout-ms': '3000' },
    });
    const isLeaving = headers['server-leaving'] === '1';
    answered.push({ id, machine: machine.name, status, isLeaving, at: record.now() });
    record.write('client gets', id, status, text.trim(), isLeaving ? 'Server-Leaving: 1' : '');
  };
  const timer = setInterval(() => {
    const one = send();
    pending.add(one);
    void one.finally(() => pending.delete(one));
  }, 25);
  return {
    sent,
    answered,
    stop: async () => {
      clearInterval(timer);
      await Promise.all(pending);
    },
  };
}
