import assert from 'node:assert/strict';
import { test } from 'node:test';
import { canServeUntil } from '../../src/sidecar/graceful-stop.js';

const STOP = { startedAt: 1000, deadlineMs: 6000 } as const;

test('a request late in a stop is taken only if its deadline lies before the exit', () => {
  // Guards against taking work that the exit breaks off, and against refusing what can be finished.
  assert.ok(canServeUntil(null, 100_000, 1000));
  assert.ok(canServeUntil(STOP, 9000, 3500));
  assert.ok(canServeUntil(STOP, 6500, 5000));
  assert.ok(!canServeUntil(STOP, 6600, 5000));
  assert.ok(!canServeUntil(STOP, 9000, 5000));
});
