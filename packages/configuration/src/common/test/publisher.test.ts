import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { MemoryPlatform } from '@hickoryhoist/store/common/memoryPlatform.js';
import type { Platform } from '@hickoryhoist/store/common/platform.js';
import { PlatformUnavailableError } from '@hickoryhoist/store/common/tableService.js';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import { ConfigurationStore } from '../configurationStore.js';
import { PublicationConflictError, Publisher } from '../publisher.js';
import { type ServiceFile, serviceFileSchema } from '../serviceFile.js';

const SEED = 20_261_204;
const RUNS = 300;
const NAMES = ['catalogue', 'circulation', 'upload'] as const;

function buildService(name: string, deadlineMilliseconds: number): ServiceFile {
  return serviceFileSchema.parse({
    kind: 'pooled',
    name,
    pathPrefix: `/${name}`,
    servers: [{ address: '10.0.0.1:80', availabilityZone: 'a' }],
    deadlineMilliseconds,
  });
}

/** Creates a platform whose calls are interleaved by a scheduler and whose responses can be lost. */
function createScheduledPlatform(
  memory: MemoryPlatform,
  scheduler: fc.Scheduler,
  lostResponses: boolean[],
): Platform {
  const schedule = <T>(run: () => Promise<T>): Promise<T> => scheduler.schedule(Promise.resolve()).then(run);
  return {
    objects: {
      put: (name, content) => schedule(() => memory.objects.put(name, content)),
      get: (name) => schedule(() => memory.objects.get(name)),
    },
    table: {
      read: (key) => schedule(() => memory.table.read(key)),
      transact: (operations) =>
        schedule(async () => {
          const result = await memory.table.transact(operations);
          if (lostResponses.pop() === true) {
            throw new PlatformUnavailableError('the response was lost', true);
          }
          return result;
        }),
    },
    virtualMachines: memory.virtualMachines,
  };
}

interface Attempt {
  readonly name: string;
  readonly deadline: number;
}

interface Result extends Attempt {
  readonly revision: number | 'conflict';
}

async function publishConcurrently(
  memory: MemoryPlatform,
  scheduler: fc.Scheduler,
  attempts: readonly Attempt[],
  lostResponses: boolean[],
  base: ReadonlyMap<string, ServiceFile>,
): Promise<readonly Result[]> {
  const publisher = new Publisher(
    new ConfigurationStore(createScheduledPlatform(memory, scheduler, lostResponses)),
  );
  const running = attempts.map(async ({ name, deadline }): Promise<Result> => {
    const change = { name, before: base.get(name), after: buildService(name, deadline) };
    try {
      const revision = await publisher.publish({
        operator: `operator-${deadline.toString()}`,
        changes: [change],
      });
      return { name, deadline, revision };
    } catch (error) {
      assert.instance(error, PublicationConflictError);
      return { name, deadline, revision: 'conflict' };
    }
  });
  await scheduler.waitIdle();
  return Promise.all(running);
}

describe('publication', () => {
  it('keeps every accepted change and rejects only conflicting ones, in any order of calls', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.uniqueArray(
          fc.record({ name: fc.constantFrom(...NAMES), deadline: fc.integer({ min: 1, max: 9_999 }) }),
          { minLength: 1, maxLength: 5, selector: ({ deadline }) => deadline },
        ),
        fc.array(fc.boolean(), { maxLength: 6 }),
        async (scheduler, attempts, lostResponses) => {
          const memory = new MemoryPlatform();
          const results = await publishConcurrently(
            memory,
            scheduler,
            attempts,
            [...lostResponses],
            new Map(),
          );
          const accepted = results.filter(({ revision }) => revision !== 'conflict');
          const revisions = accepted.map(({ revision }) => revision);
          assert.is(new Set(revisions).size, revisions.length);
          for (const name of NAMES) {
            const sameName = results.filter((result) => result.name === name);
            const acceptedOfName = sameName.filter(({ revision }) => revision !== 'conflict');
            assert.is(acceptedOfName.length, Math.min(1, sameName.length));
          }
          const newest = await new ConfigurationStore(memory).readNewest();
          assert.is(newest?.revision, accepted.length);
          assert.equal(
            newest?.snapshot.services
              .map(({ name, deadlineMilliseconds }) => [name, deadlineMilliseconds])
              .sort(),
            accepted.map(({ name, deadline }) => [name, deadline]).sort(),
          );
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('is accepted once if it is repeated after a lost response', async () => {
    const memory = new MemoryPlatform();
    const publisher = new Publisher(new ConfigurationStore(memory));
    const publication = {
      operator: 'operator',
      changes: [{ name: 'upload', before: undefined, after: buildService('upload', 10) }],
    };
    assert.is(await publisher.publish(publication, 'publication-1'), 1);
    assert.is(await publisher.publish(publication, 'publication-1'), 1);
    assert.is((await new ConfigurationStore(memory).readNewest())?.revision, 1);
  });

  it('reports the conflicting services and the operator who changed them', async () => {
    const publisher = new Publisher(new ConfigurationStore(new MemoryPlatform()));
    const change = (deadline: number) => ({
      name: 'upload',
      before: undefined,
      after: buildService('upload', deadline),
    });
    await publisher.publish({ operator: 'ana', changes: [change(10)] });
    try {
      await publisher.publish({ operator: 'ivo', changes: [change(20)] });
      assert.unreachable('the second publication must be rejected');
    } catch (error) {
      assert.instance(error, PublicationConflictError);
      assert.equal((error as PublicationConflictError).services, ['upload']);
      assert.is((error as PublicationConflictError).operator, 'ana');
    }
  });
});
