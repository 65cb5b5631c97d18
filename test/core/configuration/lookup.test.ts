import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import fc from 'fast-check';
import { fromDocument, toDocument } from '../../../src/core/configuration/document.js';
import { generateKey, hashKey } from '../../../src/core/configuration/key-hash.js';
import { Lookup } from '../../../src/core/configuration/lookup.js';
import type { Route } from '../../../src/core/model/configuration.js';
import { loadSet } from './sets.js';

const SEED = 20261204;
const base = await loadSet('test/fixtures/older-set');

function lookupWithPaths(...paths: readonly string[]): Lookup {
  const [route] = base.routes;
  assert.ok(route);
  const routes = paths.map((path): Route => ({ ...route, name: path, path }));
  return new Lookup({ ...base, routes });
}

test('the route with more literal segments is found, also when it begins with a wildcard', () => {
  // Guards against a non-idempotent request that is treated by a more general, idempotent route.
  const lookup = lookupWithPaths('/*/*/*', '/a/*/*', '/*/b/c', '/');
  const matchedRoute = (path: string, method = 'PUT') =>
    lookup.route('stock', method, path)?.name ?? null;
  assert.equal(matchedRoute('/a/b/c'), '/*/b/c');
  assert.equal(matchedRoute('/a/x/c?b=/b/c'), '/a/*/*');
  assert.equal(matchedRoute('/x/*/c'), '/*/*/*');
  assert.equal(matchedRoute('/'), '/');
  assert.equal(matchedRoute('/a//c'), null);
  assert.equal(matchedRoute('/a/b'), null);
  assert.equal(matchedRoute('/a/b/c', 'GET'), null);
  assert.equal(lookup.route('other', 'PUT', '/a/b/c'), null);
});

test('the matching route with the most literal segments is found in every valid set', () => {
  // Guards against a search without backtracking after a literal segment whose branch has no match.
  const segment = fc.constantFrom('a', 'b', '*');
  const path = fc.array(segment, { minLength: 1, maxLength: 4 }).map((s) => `/${s.join('/')}`);
  const request = path.map((text) => text.replaceAll('*', 'c'));
  const literals = (route: string) => route.split('/').filter((part) => part !== '*').length;
  const matches = (route: string, target: string) =>
    new RegExp(`^${route.replaceAll('*', '[^/]+')}$`).test(target);
  const property = fc.property(
    fc.uniqueArray(path, { maxLength: 8 }),
    fc.array(request),
    (paths, requests) => {
      const routes = base.routes
        .slice(0, 1)
        .flatMap((route) =>
          paths.map((text, index) => ({ ...route, name: `r${index}`, path: text })),
        );
      const configuration = { ...base, routes };
      fc.pre(fromDocument(toDocument(configuration)).isOk());
      const lookup = new Lookup(configuration);
      requests.forEach((requestPath) => {
        const [best = null] = paths
          .filter((text) => matches(text, requestPath))
          .sort((left, right) => literals(right) - literals(left));
        assert.equal(lookup.route('stock', 'PUT', requestPath)?.path ?? null, best);
      });
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 300 });
});

test('a wildcard matches no dot segment in any encoding', () => {
  // Guards against a request that matches an open route but reaches another path, because the
  // backend server resolves its dot segments.
  const lookup = lookupWithPaths('/points/*');
  const paths = ['..', '.', '%2E%2e', '..%2fadmin', 'a%5c..', '%2e.'];
  paths.forEach((segment) =>
    assert.equal(lookup.route('stock', 'PUT', `/points/${segment}`), null),
  );
  assert.equal(lookup.route('stock', 'PUT', '/points/a..b%2fc')?.name, '/points/*');
});

test('the demo keys in the README files belong to their accounts', async () => {
  // Guards against documented keys that the example sets do not accept.
  for (const directory of ['examples/kelpie', 'examples/co-op']) {
    const lookup = new Lookup(await loadSet(directory));
    const readme = await readFile(`${directory}/README.md`, 'utf8');
    const rows = [...readme.matchAll(/^\| (\S+) +\| `(ah_\S+)`/gm)];
    assert.equal(rows.length, 8);
    rows.forEach(([, account, key = '']) =>
      assert.equal(lookup.accountByKeyHash(hashKey(key))?.name, account),
    );
  }
  assert.equal(new Lookup(base).accountByKeyHash(hashKey('unknown')), null);
});

test('backend servers are found by name and by service', () => {
  // Guards against requests that are routed to a backend server of another service.
  const lookup = new Lookup(base);
  assert.deepEqual(
    lookup.backendServersByService('stock').map(({ name }) => name),
    ['stock-1', 'stock-2'],
  );
  assert.deepEqual(lookup.backendServersByService('none'), []);
  assert.equal(lookup.backendServer('stock-2')?.zone, 'west');
  assert.equal(lookup.zone('east')?.region, 'north');
  assert.equal(lookup.account('mill')?.burst, 10);
  assert.equal(lookup.service('stock')?.name, 'stock');
});

test('generated keys have the documented form', () => {
  // Guards against keys that are short enough to be guessed from their published hash.
  const key = generateKey((size) => new Uint8Array(size).fill(255));
  assert.equal(key, `ah_${'_'.repeat(32)}`);
});
