import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  initialIdleLimit,
  maxIdleMs,
  recordIdleBreak,
} from '../../../src/core/dispatch/idle-limit.js';

test('a connection that breaks after being idle shortens the idle limit', () => {
  // Guards against losing at-most-once requests on connections that the backend server has
  // already dropped.
  const learned = recordIdleBreak(initialIdleLimit, 400, 1000);
  assert.ok(maxIdleMs(learned, 1000) <= 200);
  const again = recordIdleBreak(learned, 180, 2000);
  assert.ok(maxIdleMs(again, 2000) <= 90);
});

test('a connection that breaks in use does not change the idle limit', () => {
  // Guards against opening a new connection for each request while answers are lost.
  const learned = recordIdleBreak(initialIdleLimit, 3, 1000);
  assert.equal(maxIdleMs(learned, 1000), maxIdleMs(initialIdleLimit, 1000));
});

test('the idle limit returns to its default when no connection has broken for a while', () => {
  // Guards against a shortened limit that outlasts its cause.
  const learned = recordIdleBreak(initialIdleLimit, 400, 1000);
  assert.equal(maxIdleMs(learned, 20_000), maxIdleMs(initialIdleLimit, 0));
});
