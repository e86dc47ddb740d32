import FakeTimers from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { RoutedService } from '@hickoryhoist/routing/common/routeConfiguration.js';
import type { StoredRow } from '@hickoryhoist/store/common/rowStore.js';
import { versionOfEra } from '@hickoryhoist/store/common/storeVersion.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { AvailableServers } from '../availableServers.js';
import { ServerRegistry } from '../serverRegistry.js';
import { ZoneEvacuations } from '../zoneEvacuations.js';

const services = new Map<string, RoutedService>([
  ['catalogue', { name: 'catalogue', kind: 'keyed', connectionsPerServer: 50 }],
  [
    'loans',
    {
      name: 'loans',
      kind: 'pooled',
      connectionsPerServer: 50,
      coldStart: { warmupMilliseconds: 3_000, requestsPerSecond: 6 },
    },
  ],
]);

class Scenario {
  readonly events: string[] = [];
  readonly evacuations: ZoneEvacuations;
  readonly servers: AvailableServers;
  changes = 0;
  readonly #rows = new Map<string, StoredRow>();
  #version = 0;

  constructor(readonly clock: FakeTimers.Clock) {
    const logger = {
      log: (_level: string, event: string) => {
        this.events.push(event);
      },
    };
    this.evacuations = new ZoneEvacuations(
      (key, value) => {
        if (value === 'unreadable') {
          throw new Error(value);
        }
        return key.startsWith('leave/') ? key.slice('leave/'.length) : undefined;
      },
      (zone) => zone.startsWith('zone-'),
      logger,
    );
    this.evacuations.onDidChange(() => {
      this.changes += 1;
    });
    const registry = new ServerRegistry(
      (_id, value) => JSON.parse(value) as ServerRecord,
      () => 60_000,
      logger,
    );
    registry.update(
      new Map(
        [...services.keys()].flatMap((service) =>
          ['zone-1', 'zone-2'].map((zone): [string, StoredRow] => {
            const id = `${service}@${zone}`;
            const record = {
              id,
              incarnation: 1,
              service,
              availabilityZone: zone,
              phase: 'ready',
              warmupMilliseconds: 0,
            };
            return [id, { table: 'servers', key: id, value: JSON.stringify(record), version: 1 }];
          }),
        ),
      ),
    );
    this.servers = new AvailableServers(registry, this.evacuations, () => services);
  }

  put(key: string, value = '{}'): void {
    this.#version += 1;
    this.#rows.set(key, { table: 'operator', key, value, version: this.#version });
    this.evacuations.update(this.#rows);
  }

  delete(key: string): void {
    this.#rows.delete(key);
    this.evacuations.update(this.#rows);
  }

  /** The store comes back from a copy that lacks a row. */
  returnStore(lostKey: string): void {
    this.#rows.delete(lostKey);
    this.#version = versionOfEra(1, 1);
    for (const [key, row] of this.#rows) {
      this.#rows.set(key, { ...row, version: this.#version });
    }
    this.evacuations.update(this.#rows);
  }

  advance(milliseconds: number): void {
    this.clock.tick(milliseconds);
    this.evacuations.tick(performance.now());
  }

  available(): readonly string[] {
    return [...services.keys()].flatMap((service) => this.servers.ofService(service).map(({ id }) => id));
  }
}

function withScenario(run: (scenario: Scenario) => void): void {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  try {
    run(new Scenario(clock));
  } finally {
    clock.uninstall();
  }
}

describe('evacuations of zones', () => {
  it('take pooled servers out at once, and owners of keys when the zone is closed', () => {
    withScenario((scenario) => {
      scenario.put('configuration');
      scenario.put('leave/zone-1');
      assert.equal(scenario.available(), ['catalogue@zone-1', 'catalogue@zone-2', 'loans@zone-2']);
      assert.is(scenario.servers.isInClosedZone('catalogue@zone-1'), false);
      scenario.advance(1_499);
      assert.ok(scenario.servers.get('catalogue@zone-1'));
      scenario.advance(1);
      assert.equal(scenario.available(), ['catalogue@zone-2', 'loans@zone-2']);
      assert.is(scenario.servers.get('catalogue@zone-1'), undefined);
      assert.is(scenario.servers.isInClosedZone('catalogue@zone-1'), true);
      assert.is(scenario.changes, 2);
    });
  });

  it('are old if they are in the first copy of the table', () => {
    withScenario((scenario) => {
      scenario.put('leave/zone-1');
      assert.is(scenario.evacuations.phaseOf('zone-1'), 'closed');
    });
  });

  it('end when their row is removed, at any moment', () => {
    withScenario((scenario) => {
      scenario.put('configuration');
      scenario.put('leave/zone-1');
      scenario.advance(700);
      scenario.delete('leave/zone-1');
      scenario.advance(5_000);
      assert.is(scenario.available().length, 4);
      assert.is(scenario.evacuations.millisecondsSinceReturn('zone-1'), 5_000);
      assert.is(scenario.evacuations.millisecondsSinceReturn('zone-2'), undefined);
    });
  });

  describe('when the store comes back from an older copy that lacks one', () => {
    it('stay in force for as long as the operator may take to write them again, and end after it', () => {
      withScenario((scenario) => {
        scenario.put('configuration');
        scenario.put('leave/zone-1');
        scenario.advance(5_000);
        scenario.returnStore('leave/zone-1');
        scenario.advance(2_000);
        assert.is(scenario.evacuations.phaseOf('zone-1'), 'closed');
        scenario.advance(1_000);
        assert.is(scenario.evacuations.phaseOf('zone-1'), undefined);
      });
    });

    it('stay in force without a break if the operator writes them again', () => {
      withScenario((scenario) => {
        scenario.put('configuration');
        scenario.put('leave/zone-1');
        scenario.advance(5_000);
        scenario.returnStore('leave/zone-1');
        scenario.advance(1_500);
        scenario.put('leave/zone-1');
        scenario.advance(5_000);
        assert.is(scenario.evacuations.phaseOf('zone-1'), 'closed');
        assert.is(scenario.events.includes('evacuation-ended'), false);
      });
    });
  });

  it('leave servers that warm up again, if the service has limits for cold servers', () => {
    withScenario((scenario) => {
      const warmups = (): readonly number[] =>
        [...services.keys()].flatMap((service) =>
          scenario.servers.ofService(service).map((server) => scenario.servers.warmupMilliseconds(server)),
        );
      scenario.put('leave/zone-1');
      scenario.delete('leave/zone-1');
      scenario.advance(1_000);
      assert.equal(warmups(), [0, 0, 2_000, 0]);
      scenario.advance(2_000);
      assert.equal(warmups(), [0, 0, 0, 0]);
    });
  });

  it('may concern several zones, also all of them', () => {
    withScenario((scenario) => {
      scenario.put('configuration');
      scenario.put('leave/zone-1');
      scenario.advance(1_000);
      scenario.put('leave/zone-2');
      scenario.advance(500);
      assert.equal(scenario.available(), ['catalogue@zone-2']);
      scenario.advance(1_000);
      assert.equal(scenario.available(), []);
      scenario.delete('leave/zone-1');
      assert.equal(scenario.available(), ['catalogue@zone-1', 'loans@zone-1']);
    });
  });

  it('end although an unreadable row has a key that ends like theirs', () => {
    withScenario((scenario) => {
      scenario.put('leave/zone-2');
      scenario.put('leave/other/zone-2', 'unreadable');
      scenario.delete('leave/zone-2');
      assert.equal(scenario.evacuations.zones, []);
    });
  });

  it('neither begin nor end by a row that cannot be read, which is logged once', () => {
    withScenario((scenario) => {
      scenario.put('configuration');
      scenario.put('leave/zone-1');
      scenario.put('leave/zone-1', 'unreadable');
      scenario.put('leave/zone-2', 'unreadable');
      scenario.put('configuration');
      assert.equal(scenario.evacuations.zones, ['zone-1']);
      assert.is(scenario.events.filter((event) => event === 'evacuation-unreadable').length, 2);
    });
  });

  it('of an unknown zone are logged', () => {
    withScenario((scenario) => {
      scenario.put('configuration');
      scenario.put('leave/elsewhere');
      scenario.put('leave/zone-2');
      scenario.advance(1_500);
      scenario.advance(1_500);
      scenario.delete('leave/zone-2');
      assert.is(scenario.events.filter((event) => event === 'evacuation-zone-unknown').length, 1);
      assert.is(scenario.available().length, 4);
    });
  });
});
