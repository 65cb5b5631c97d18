import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  applyChanges,
  applyListing,
  listChangesAfter,
  emptyMirror,
} from '../../../src/core/publications/mirror.js';
import type { Publication } from '../../../src/core/publications/publication.js';

function item(key: string, revision: number, text: string | null = 'x'): Publication {
  return { key, revision, text };
}

test('late and duplicate changes never replace newer ones', () => {
  // Guards against a configuration reverting because a slow peer forwards an old one.
  const newer = applyChanges(emptyMirror, [item('a', 5, 'new')], 5, 0);
  const late = applyChanges(newer, [item('a', 3, 'old')], 4, 1);
  assert.equal(late.publications.get('a')?.text, 'new');
  assert.equal(late.revision, 5);
});

test('a lagging peer does not restore a removed value', () => {
  // Guards against requests to a backend server that has been removed.
  const known = applyChanges(emptyMirror, [item('a', 2)], 2, 0);
  const removed = applyChanges(known, [item('a', 4, null)], 4, 1);
  const late = applyChanges(removed, [item('a', 2)], 3, 2);
  assert.equal(late.publications.get('a')?.text, null);
});

test('a listing removes values that are missing from it and not newer', () => {
  // Guards against entries that are never removed after the store dropped its history.
  const known = applyChanges(emptyMirror, [item('a', 2), item('b', 9)], 9, 0);
  const listed = applyListing(known, [item('c', 5)], 6, 1);
  assert.equal(listed.publications.get('a')?.text, null);
  assert.equal(listed.publications.get('b')?.text, 'x');
  assert.equal(listed.publications.get('c')?.text, 'x');
});

test('a peer that is behind gets exactly the changes that it is missing', () => {
  // Guards against messages that grow with the number of published values.
  const known = applyChanges(emptyMirror, [item('a', 2), item('b', 4), item('c', 6, null)], 6, 0);
  assert.deepEqual(listChangesAfter(known, 3), [item('b', 4), item('c', 6, null)]);
});
