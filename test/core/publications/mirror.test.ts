import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  applyChanges,
  applyChangeSet,
  applyListing,
  collectChanges,
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
  assert.deepEqual(collectChanges(known, 3).changes, [item('b', 4), item('c', 6, null)]);
});

test('a node that has just started takes no value that was removed before its first listing', () => {
  // Guards against a server that had left, or a zone that was taken back, in use again after a
  // restart: a peer that had been cut off for long still listed it.
  const started = applyListing(emptyMirror, [item('b', 9)], 100, 0);
  const cutOff = applyChanges(emptyMirror, [item('a', 2), item('b', 9)], 50, 0);
  const late = applyChangeSet(started, collectChanges(cutOff, 0), 1);
  assert.equal(late.publications.get('a'), undefined);
  assert.equal(late.revision, 100);
});

test('a node that was cut off for longer than removals are remembered learns of them', () => {
  // Guards against a server that had left and stays in use at one node until it restarts.
  const known = applyChanges(emptyMirror, [item('a', 2), item('b', 3)], 3, 0);
  const removed = applyChanges(known, [item('a', 4, null)], 4, 0);
  const forgotten = applyChanges(removed, [item('c', 8)], 8, 120_000);
  assert.equal(forgotten.publications.has('a'), false);
  const caughtUp = applyChangeSet(known, collectChanges(forgotten, known.revision), 120_000);
  assert.equal(caughtUp.publications.get('a')?.text ?? null, null);
  assert.equal(caughtUp.publications.get('b')?.text, 'x');
  assert.equal(caughtUp.revision, 8);
});

test('a peer that is behind learns of removals that a node which started later never saw', () => {
  // Guards against a server that had left and stays in use at a node that was cut off, because the
  // neighbour that brought it up to date had started after the removal.
  const started = applyListing(emptyMirror, [item('b', 9)], 100, 0);
  const cutOff = applyChanges(emptyMirror, [item('a', 2), item('b', 9)], 50, 0);
  const caughtUp = applyChangeSet(cutOff, collectChanges(started, cutOff.revision), 1);
  assert.equal(caughtUp.publications.get('a')?.text ?? null, null);
  assert.equal(caughtUp.revision, 100);
});

test('changes that do not follow on the known ones leave the revision, to request the rest', () => {
  // Guards against a change that is lost for good with one message between a reader and a follower.
  const known = applyChanges(emptyMirror, [item('a', 2)], 2, 0);
  const later = { changes: [item('c', 9)], revision: 9, since: 5 };
  const next = applyChangeSet(known, later, 1);
  assert.equal(next.publications.get('c')?.text, 'x');
  assert.equal(next.revision, 2);
});
