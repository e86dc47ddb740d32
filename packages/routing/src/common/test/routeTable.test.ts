import * as assert from 'uvu/assert';
import { describe, it } from '@hickoryhoist/testing/common/describe.js';
import type { Route, RouteConfiguration, WeightedService } from '../routeConfiguration.js';
import { RouteTable } from '../routeTable.js';

function createRoute(
  name: string,
  host: string,
  pathPrefix: string,
  services: readonly WeightedService[],
): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: 'idempotent',
    timeoutMilliseconds: 1_000,
    goalMilliseconds: 500,
    rank: 1,
    maxAttempts: 2,
    services,
  };
}

function createTable(...routes: readonly Route[]): RouteTable {
  const names = ['catalogue', 'circulation', 'upload'];
  const configuration: RouteConfiguration = {
    revision: 1,
    routes,
    services: new Map(names.map((name) => [name, { name, kind: 'pooled', connectionsPerServer: 10 }])),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
  };
  return new RouteTable(configuration);
}

const singleService = [{ service: 'catalogue', weight: 1 }];

describe('the route of a request', () => {
  const table = createTable(
    createRoute('short', 'a.example', '/books/', singleService),
    createRoute('long', 'a.example', '/books/new/', singleService),
    createRoute('root', 'b.example', '/', singleService),
  );

  it('has the longest prefix of the path', () => {
    assert.is(table.match('a.example', '/books/new/7')?.route.name, 'long');
    assert.is(table.match('a.example', '/books/newer')?.route.name, 'short');
    assert.is(table.match('a.example', '/books/?from=/books/new/')?.route.name, 'short');
  });

  it('is matched by host regardless of case and port', () => {
    assert.is(table.match('A.example:8080', '/books/1')?.route.name, 'short');
    assert.is(table.match('b.example', '/anything')?.route.name, 'root');
    assert.is(table.match('c.example', '/books/1'), undefined);
  });

  it('is undefined if no route has a prefix of the path', () => {
    assert.is(table.match('a.example', '/books'), undefined);
    assert.is(table.match('a.example', '/'), undefined);
  });
});

describe('a weighted split between services', () => {
  it('distributes a hundred requests by weight to within one request', () => {
    const table = createTable(
      createRoute('split', 'a.example', '/', [
        { service: 'catalogue', weight: 90 },
        { service: 'upload', weight: 10 },
        { service: 'circulation', weight: 0 },
      ]),
    );
    const counts = new Map<string, number>();
    for (let count = 0; count < 100; count += 1) {
      const name = table.match('a.example', '/x')?.service.name ?? '';
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    assert.ok(Math.abs((counts.get('catalogue') ?? 0) - 90) <= 1);
    assert.ok(Math.abs((counts.get('upload') ?? 0) - 10) <= 1);
    assert.is(counts.get('circulation'), undefined);
  });
});
