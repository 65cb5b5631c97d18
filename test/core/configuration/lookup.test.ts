import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { generateKey, hashKey } from '../../../src/core/configuration/key-hash.js';
import { Lookup } from '../../../src/core/configuration/lookup.js';
import type { Route } from '../../../src/core/model/configuration.js';
import { loadSet } from './sets.js';

const base = await loadSet('test/fixtures/older-set');

function withPaths(...paths: readonly string[]): Lookup {
  const [route] = base.routes;
  assert.ok(route);
  const routes = paths.map((path): Route => ({ ...route, name: path, path }));
  return new Lookup({ ...base, routes });
}

test('the route with more literal segments wins, also when it begins with a wildcard', () => {
  // Guards against a non-idempotent request that is treated by a wider, idempotent route.
  const lookup = withPaths('/*/*/*', '/a/*/*', '/*/b/c', '/');
  const name = (path: string, method = 'PUT') => lookup.route('stock', method, path)?.name ?? null;
  assert.equal(name('/a/b/c'), '/*/b/c');
  assert.equal(name('/a/x/c?b=/b/c'), '/a/*/*');
  assert.equal(name('/x/*/c'), '/*/*/*');
  assert.equal(name('/'), '/');
  assert.equal(name('/a//c'), null);
  assert.equal(name('/a/b'), null);
  assert.equal(name('/a/b/c', 'GET'), null);
  assert.equal(lookup.route('other', 'PUT', '/a/b/c'), null);
});

test('a wildcard matches no dot segment in any encoding', () => {
  // Guards against a request of an open route that the backend server resolves to another path.
  const lookup = withPaths('/points/*');
  const paths = ['..', '.', '%2E%2e', '..%2fadmin', 'a%5c..', '%2e.'];
  paths.forEach((segment) =>
    assert.equal(lookup.route('stock', 'PUT', `/points/${segment}`), null),
  );
  assert.equal(lookup.route('stock', 'PUT', '/points/a..b%2fc')?.name, '/points/*');
});

test('the demo keys in the README files belong to their accounts', async () => {
  // Guards against examples that nobody can try.
  for (const directory of ['examples/kelpie', 'examples/co-op']) {
    const lookup = new Lookup(await loadSet(directory));
    const readme = await readFile(`${directory}/README.md`, 'utf8');
    const rows = [...readme.matchAll(/^\| (\S+) +\| `(ah_\S+)`/gm)];
    assert.equal(rows.length, 8);
    rows.forEach(([, account, key = '']) =>
      assert.equal(lookup.accountOfKeyHash(hashKey(key))?.name, account),
    );
  }
  assert.equal(new Lookup(base).accountOfKeyHash(hashKey('unknown')), null);
});

test('backend servers are found by name and by service', () => {
  // Guards against candidates of another service.
  const lookup = new Lookup(base);
  assert.deepEqual(
    lookup.backendServersOf('stock').map(({ name }) => name),
    ['stock-1', 'stock-2'],
  );
  assert.deepEqual(lookup.backendServersOf('none'), []);
  assert.equal(lookup.backendServer('stock-2')?.zone, 'west');
  assert.equal(lookup.zone('east')?.region, 'north');
  assert.equal(lookup.account('mill')?.burst, 10);
  assert.equal(lookup.service('stock')?.name, 'stock');
});

test('generated keys have the documented form', () => {
  // Guards against keys that are short enough to guess from their hash.
  const key = generateKey((size) => new Uint8Array(size).fill(255));
  assert.equal(key, `ah_${'_'.repeat(32)}`);
});
