import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { ReadBarrier } from '../../src/sidecar/read-barrier.js';

/** Turns of the event loop after which an action has run. */
async function turnsUntilRun(turnMs: readonly number[]): Promise<number> {
  let now = 0;
  let hasRun = false;
  const barrier = new ReadBarrier({ now: () => now });
  barrier.run(() => {
    hasRun = true;
  });
  for (const [turn, ms] of turnMs.entries()) {
    now += ms;
    await nextTurn();
    if (hasRun) return turn + 1;
  }
  return Infinity;
}

test('an action runs after one more poll of the sockets', async () => {
  // Guards against acting on a request before the departure of its caller is read.
  assert.equal(await turnsUntilRun([1, 1, 1, 1]), 2);
});

test('an action waits for one more poll when the process stood still meanwhile', async () => {
  // Guards against sending a request on right after a pause that began behind its poll.
  assert.equal(await turnsUntilRun([1, 2000, 1, 1]), 3);
});

test('an action runs in a process whose turns are all long', async () => {
  // Guards against requests that never start in a saturated process.
  assert.equal(await turnsUntilRun([200, 200, 200, 200]), 3);
});
