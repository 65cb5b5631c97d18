import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UnreadAnswers, type AnswerReader } from '../../src/sidecar/unread-answers.js';

const LIMIT_BYTES = 100;

/** Opens readers whose names are listed once they are closed. */
function openReaders(names: readonly string[]): {
  readonly readers: readonly AnswerReader[];
  readonly closed: readonly string[];
} {
  const closed: string[] = [];
  const readers = names.map((name) => ({ closeUnread: () => closed.push(name) }));
  return { readers, closed };
}

test('the caller whose answer has waited longest makes room for the others', () => {
  // Guards against slow readers whose answers take the memory that others need.
  const unread = new UnreadAnswers(LIMIT_BYTES);
  const { readers, closed } = openReaders(['slow', 'quick', 'last']);
  readers.forEach((reader) => unread.add(reader, 40));
  assert.deepEqual(closed, ['slow']);
  assert.equal(unread.unreadBytes, 80);
});

test('an answer that is larger than the limit is kept for its only caller', () => {
  // Guards against a limit that no long answer passes.
  const unread = new UnreadAnswers(LIMIT_BYTES);
  const { readers, closed } = openReaders(['only']);
  readers.forEach((reader) => unread.add(reader, 3 * LIMIT_BYTES));
  assert.deepEqual(closed, []);
});

test('answers that were read are not counted', () => {
  // Guards against a count that only rises, and closes the connections of ordinary callers.
  const unread = new UnreadAnswers(LIMIT_BYTES);
  const { readers, closed } = openReaders(['first', 'second']);
  for (let round = 0; round < 10; round += 1) {
    readers.forEach((reader) => unread.add(reader, 40));
    readers.forEach((reader) => unread.remove(reader, 40));
  }
  readers.forEach((reader) => unread.add(reader, 40));
  readers.forEach((reader) => unread.removeAll(reader));
  assert.equal(unread.unreadBytes, 0);
  assert.deepEqual(closed, []);
});
