import assert from 'node:assert/strict';
import { test } from 'node:test';
import { initialPace, paceNextRead } from '../../../src/core/publications/read-pace.js';

/** Silence of a reader after which its followers read the store themselves. */
const FEED_TIMEOUT_MS = 1250;

/** Lists the instants of the calls of a reader until `endAt`; each answer takes `answerMs`. */
function listCalls(endAt: number, answerMs: (waitMs: number) => number): readonly number[] {
  const calls: number[] = [];
  let pace = initialPace;
  let waitMs = 0;
  for (let now = 0; now < endAt;) {
    calls.push(now);
    now += answerMs(waitMs);
    const next = paceNextRead(pace, now, null);
    pace = next.pace;
    waitMs = next.waitMs;
    now += next.pauseMs;
  }
  return calls;
}

test('a reader calls the store once a second while nothing changes', () => {
  // Guards against calls to the store, which cost money, and against followers that miss a feed.
  const calls = listCalls(60_000, (waitMs) => waitMs);
  const gaps = calls.slice(1).map((at, index) => at - (calls[index] ?? 0));
  assert.ok(gaps.every((gapMs) => gapMs <= FEED_TIMEOUT_MS));
  assert.ok(calls.length <= 62, `${calls.length} calls in 60 s`);
});

test('a change that follows another one is read within a twentieth of a second', () => {
  // Guards against the full load on a server that becomes cold just after another change.
  const { pauseMs } = paceNextRead(paceNextRead(initialPace, 0, null).pace, 10, null);
  assert.ok(pauseMs <= 50, `${pauseMs} ms`);
});

test('changes without end cost a reader five calls a second', () => {
  // Guards against readers of a large fleet that exceed the calls which the store takes.
  const calls = listCalls(60_000, () => 1);
  assert.ok(calls.length <= 320, `${calls.length} calls in 60 s`);
  const last = calls.filter((at) => at >= 50_000);
  assert.ok(last.length <= 50, `${last.length} calls in the last 10 s`);
});
