import assert from 'node:assert/strict';
import { test } from 'node:test';
import { watchSuspension } from '../../src/sidecar/suspension-watch.js';

test('a suspension of the host is detected although the monotonic clock stood still', (t) => {
  // Guards against full load on a backend server that was replaced during a suspension.
  t.mock.timers.enable({ apis: ['setInterval'] });
  let steadyMs = 0;
  let dayMs = 1_000_000;
  const suspensionsMs: number[] = [];
  const timer = watchSuspension({
    clock: { now: () => steadyMs },
    timeOfDay: () => dayMs,
    onResume: (suspendedMs) => suspensionsMs.push(suspendedMs),
  });
  const advance = (steady: number, day: number): void => {
    steadyMs += steady;
    dayMs += day;
    t.mock.timers.tick(250);
  };
  advance(250, 250);
  advance(250, 240);
  assert.deepEqual(suspensionsMs, []);
  advance(250, 4250);
  assert.deepEqual(suspensionsMs, [4000]);
  advance(250, 250);
  assert.deepEqual(suspensionsMs, [4000]);
  clearInterval(timer);
});
