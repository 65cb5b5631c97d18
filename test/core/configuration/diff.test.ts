import assert from 'node:assert/strict';
import { test } from 'node:test';
import { describeChanges } from '../../../src/core/configuration/diff.js';
import { loadSet } from './sets.js';

test('a diff describes the effect of each change and warns of dangerous changes', async () => {
  // Guards against a withdrawn key or a moved seat that the diff does not report.
  assert.deepEqual(
    describeChanges(
      await loadSet('test/fixtures/older-set'),
      await loadSet('test/fixtures/newer-set'),
    ),
    [
      'warning: revision 4 is not higher than 4: nodes ignore the newer set',
      'stock-1 no longer has a seat',
      'stock-2 gets a seat',
      'warning: move a seat only after its previous host has stopped; otherwise accounts may exceed their rate',
      'availability zone east changes to state out: its backend servers receive no new requests',
      'a key of account mill is withdrawn (hash aaaaaaaaaaaa...)',
      'a key is added to account mill (hash bbbbbbbbbbbb...)',
      'rate of account mill in requests per second changes from 5 to 7.5',
      'route cut becomes non-idempotent: its requests need an order identifier and run at most once',
    ],
  );
});

test('removed entries and services without backend servers are reported', async () => {
  // Guards against a removed account that the diff does not report.
  const older = await loadSet('test/fixtures/older-set');
  const backendServers = older.backendServers.filter(({ zone }) => zone === 'east');
  const zones = older.zones.map((zone) =>
    zone.name === 'east' ? { ...zone, state: 'out' as const } : zone,
  );
  const routes = older.routes.slice(0, 1);
  const newer = { ...older, revision: 5, zones, backendServers, accounts: [], routes };
  assert.deepEqual(describeChanges(older, newer), [
    'revision changes from 4 to 5',
    'availability zone east changes to state out: its backend servers receive no new requests',
    'backend server stock-2 of service stock is removed',
    'account mill is removed and 1 key withdrawn',
    'route cut is removed: PUT /cuts/* of service stock',
    'warning: service stock has no backend server left in an availability zone with state in',
  ]);
});
