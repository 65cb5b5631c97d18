import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PauseWatch, type Pause } from '../../src/sidecar/pause-watch.js';

/** A watch with made-up clocks; `advance` moves them and fires the timer. */
function createWatch(enableTimers: () => void, tick: (ms: number) => void) {
  enableTimers();
  let steadyMs = 0;
  let dayMs = 1_000_000;
  const pauses: Pause[] = [];
  const settled: number[] = [];
  const watch = new PauseWatch({
    clock: { now: () => steadyMs },
    timeOfDay: () => dayMs,
    onCheck: () => {},
    onPause: (pause) => pauses.push(pause),
    onSettled: () => settled.push(steadyMs),
  });
  const move = (steady: number, day: number): void => {
    steadyMs += steady;
    dayMs += day;
  };
  const advance = (steady: number, day: number): void => {
    move(steady, day);
    tick(250);
  };
  return { watch, pauses, settled, move, advance };
}

test('a suspension of the host is detected although the monotonic clock stood still', (t) => {
  // Guards against full load on a backend server that was replaced during a suspension.
  const { watch, pauses, advance } = createWatch(
    () => t.mock.timers.enable({ apis: ['setInterval'] }),
    (ms) => t.mock.timers.tick(ms),
  );
  advance(250, 250);
  advance(250, 240);
  assert.deepEqual(pauses, []);
  advance(250, 4250);
  assert.deepEqual(pauses, [{ kind: 'suspended', pausedMs: 4000 }]);
  advance(250, 250);
  assert.equal(pauses.length, 1);
  watch.close();
});

test('a pause of the process alone is detected by a late check', (t) => {
  // Guards against handling stale events after a pause that the clocks of the host do not show.
  const { watch, pauses, advance } = createWatch(
    () => t.mock.timers.enable({ apis: ['setInterval'] }),
    (ms) => t.mock.timers.tick(ms),
  );
  advance(400, 400);
  assert.deepEqual(pauses, []);
  advance(950, 950);
  assert.deepEqual(pauses, [{ kind: 'stalled', pausedMs: 700 }]);
  watch.close();
});

test('a pause is detected by an event that is handled before the timers', (t) => {
  // Guards against handling the events that waited during a pause before the pause is known.
  const { watch, pauses, move } = createWatch(
    () => t.mock.timers.enable({ apis: ['setInterval'] }),
    (ms) => t.mock.timers.tick(ms),
  );
  assert.equal(watch.check(), false);
  move(100, 3100);
  assert.equal(watch.check(), true);
  assert.deepEqual(pauses, [{ kind: 'suspended', pausedMs: 3000 }]);
  watch.close();
});

test('the events of a pause count as read only after a read that follows the wait', (t) => {
  // Guards against a starved process that runs its timers before it reads what waited.
  t.mock.timers.enable({ apis: ['setInterval', 'setTimeout', 'setImmediate'] });
  const { watch, settled, move } = createWatch(
    () => {},
    (ms) => t.mock.timers.tick(ms),
  );
  move(0, 2000);
  watch.check();
  t.mock.timers.tick(40);
  move(0, 2000);
  assert.equal(watch.check(), true);
  move(40, 40);
  t.mock.timers.tick(40);
  assert.deepEqual(settled, []);
  move(10, 10);
  t.mock.timers.tick(11);
  assert.equal(settled.length, 1);
  assert.equal(watch.check(), false);
  watch.close();
});
