import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnswerBuffer, type AnswerHold } from '../../src/sidecar/answer-buffer.js';

const LIMIT_BYTES = 100;

function openBuffer(): AnswerBuffer {
  return new AnswerBuffer({ maxBytes: () => LIMIT_BYTES, evicts: 'oldest' });
}

/** Opens readers whose names are listed once they are closed. */
function openReaders(names: readonly string[]): {
  readonly readers: readonly AnswerHold[];
  readonly closed: readonly string[];
} {
  const closed: string[] = [];
  const readers = names.map((name) => ({ evict: () => closed.push(name) }));
  return { readers, closed };
}

test('the caller whose answer has waited longest makes room for the others', () => {
  // Guards against slow readers whose answers take the memory that others need.
  const unread = openBuffer();
  const { readers, closed } = openReaders(['slow', 'quick', 'last']);
  readers.forEach((reader) => unread.add(reader, 40));
  assert.deepEqual(closed, ['slow']);
  assert.equal(unread.heldBytes, 80);
});

test('an answer that is larger than the limit is kept for its only caller', () => {
  // Guards against a limit that no long answer passes.
  const unread = openBuffer();
  const { readers, closed } = openReaders(['only']);
  readers.forEach((reader) => unread.add(reader, 3 * LIMIT_BYTES));
  assert.deepEqual(closed, []);
});

test('answers that were read are not counted', () => {
  // Guards against a count that only rises, and closes the connections of ordinary callers.
  const unread = openBuffer();
  const { readers, closed } = openReaders(['first', 'second']);
  for (let round = 0; round < 10; round += 1) {
    readers.forEach((reader) => unread.add(reader, 40));
    readers.forEach((reader) => unread.remove(reader, 40));
  }
  readers.forEach((reader) => unread.add(reader, 40));
  readers.forEach((reader) => unread.release(reader));
  assert.equal(unread.heldBytes, 0);
  assert.deepEqual(closed, []);
});
