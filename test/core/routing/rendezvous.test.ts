import assert from 'node:assert/strict';
import { test } from 'node:test';
import { rankByRendezvous } from '../../../src/core/routing/rendezvous.js';

const names = Array.from({ length: 20 }, (_, index) => `node-${index}`);

test('the order depends only on the set of names', () => {
  // Guards against nodes computing different orders from the same names in different order.
  const forward = rankByRendezvous('paisley', names);
  assert.deepEqual(rankByRendezvous('paisley', [...names].reverse()), forward);
  assert.deepEqual(rankByRendezvous('paisley', [...names, ...names]), forward);
});

test('a removed name leaves the order of the others unchanged', () => {
  // Guards against a lost host changing the placement of keys that it did not hold.
  const [first, ...rest] = rankByRendezvous('paisley', names);
  const left = names.filter((name) => name !== first);
  assert.deepEqual(rankByRendezvous('paisley', left), rest);
});

test('keys spread evenly over the names', () => {
  // Guards against biased weights; 20 names share 10,000 keys, 500 each on average.
  const firsts = Array.from({ length: 10_000 }, (_, index) =>
    rankByRendezvous(`key-${index}`, names).at(0),
  );
  const counts = names.map((name) => firsts.filter((first) => first === name).length);
  assert.ok(Math.min(...counts) > 400 && Math.max(...counts) < 600, counts.join(' '));
});
