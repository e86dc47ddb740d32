import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { RegisteredServer } from '@hickoryhoist/keyownership/common/keyAssigner.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { AssignableServers } from '../assignableServers.js';
import { ServerRegistry } from '../serverRegistry.js';
import { ZoneEvacuations } from '../zoneEvacuations.js';

const FULL_REQUESTS_PER_SECOND = 20;
const coldStart = { warmupMilliseconds: 3_000, requestsPerSecond: 6 };
const logger = { log: () => undefined };

class Scenario {
  readonly evacuations = new ZoneEvacuations(
    (key) => key,
    () => true,
    logger,
  );
  readonly #registry = new ServerRegistry(
    (_id, value) => JSON.parse(value) as ServerRecord,
    () => 60_000,
    logger,
  );
  readonly #servers: AssignableServers;

  constructor(
    readonly clock: FakeTimers.Clock,
    service: Pick<RoutedService, 'coldStart'>,
  ) {
    this.#servers = new AssignableServers(
      this.#registry,
      this.evacuations,
      () =>
        new Map([['catalogue', { name: 'catalogue', kind: 'keyed', connectionsPerServer: 9, ...service }]]),
    );
  }

  announce(incarnation: number, warmupMilliseconds: number): void {
    const record = {
      id: 'server-1',
      incarnation,
      service: 'catalogue',
      address: '10.0.0.1:80',
      availabilityZone: 'zone-1',
      phase: 'ready',
      slots: 4,
      warmupMilliseconds,
    };
    this.#registry.update(
      new Map([
        [
          'server-1',
          { table: 'servers', key: 'server-1', value: JSON.stringify(record), version: incarnation },
        ],
      ]),
    );
    this.server();
  }

  evacuate(...zones: readonly string[]): void {
    this.evacuations.update(
      new Map(zones.map((zone) => [zone, { table: 'operator', key: zone, value: '', version: 1 }])),
    );
  }

  server(): RegisteredServer | undefined {
    const times = new Map([['server-1', { milliseconds: 200, sampleCount: 1_000 }]]);
    return this.#servers.ofService('catalogue', times).get('server-1');
  }
}

function withScenario(service: Pick<RoutedService, 'coldStart'>, run: (scenario: Scenario) => void): void {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  try {
    run(new Scenario(clock, service));
  } finally {
    clock.uninstall();
  }
}

describe('servers that keys are assigned to', () => {
  it('are bounded while they warm up, and then by a bound that doubles each second', () => {
    withScenario({ coldStart }, (scenario) => {
      scenario.announce(1, 3_000);
      const bounds = [2_900, 1_000, 1_000, 1_000].map((milliseconds) => {
        scenario.clock.tick(milliseconds);
        return scenario.server()?.maxReceivedRequestsPerSecond;
      });
      assert.equal(bounds, [6, 6, 12, undefined]);
      assert.is(Math.round(scenario.server()?.requestsPerSecond ?? 0), FULL_REQUESTS_PER_SECOND);
      scenario.announce(2, 3_000);
      assert.is(scenario.server()?.maxReceivedRequestsPerSecond, 6);
    });
  });

  it('are not bounded if they started long ago, or if the service has no limits for cold servers', () => {
    withScenario({ coldStart }, (scenario) => {
      scenario.announce(1, 0);
      assert.is(scenario.server()?.maxReceivedRequestsPerSecond, undefined);
    });
    withScenario({}, (scenario) => {
      scenario.announce(1, 3_000);
      assert.is(scenario.server()?.maxReceivedRequestsPerSecond, undefined);
    });
  });

  it('receive nothing while their zone is evacuated, and may be cold when it is taken back', () => {
    withScenario({ coldStart }, (scenario) => {
      scenario.announce(1, 0);
      scenario.evacuate('zone-1');
      assert.is(scenario.server()?.phase, 'evacuated');
      scenario.clock.tick(20_000);
      scenario.evacuate();
      assert.is(scenario.server()?.phase, 'ready');
      assert.is(scenario.server()?.maxReceivedRequestsPerSecond, 6);
      scenario.clock.tick(6_000);
      assert.is(scenario.server()?.maxReceivedRequestsPerSecond, undefined);
    });
  });
});
