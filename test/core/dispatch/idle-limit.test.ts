import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  initialIdleLimit,
  maxIdleMs,
  recordIdleBreak,
} from '../../../src/core/dispatch/idle-limit.js';

test('a connection that broke after a pause shortens the pause after which others are used', () => {
  // Guards against at-most-once requests that are lost on connections which the backend server
  // has forgotten.
  const learned = recordIdleBreak(initialIdleLimit, 400, 1000);
  assert.ok(maxIdleMs(learned, 1000) <= 200);
  const again = recordIdleBreak(learned, 180, 2000);
  assert.ok(maxIdleMs(again, 2000) <= 90);
});

test('a connection that breaks in use says nothing of idle ones', () => {
  // Guards against a new connection for each request while answers are lost.
  const learned = recordIdleBreak(initialIdleLimit, 3, 1000);
  assert.equal(maxIdleMs(learned, 1000), maxIdleMs(initialIdleLimit, 1000));
});

test('idle connections are kept as before when none has broken for a while', () => {
  // Guards against a limit that stays after its reason has gone.
  const learned = recordIdleBreak(initialIdleLimit, 400, 1000);
  assert.equal(maxIdleMs(learned, 20_000), maxIdleMs(initialIdleLimit, 0));
});
