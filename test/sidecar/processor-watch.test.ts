import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ProcessorWatch, type LoopTimes } from '../../src/sidecar/processor-watch.js';

/** A watch over made-up times of an event loop. */
function createWatch() {
  let times: LoopTimes = { active: 0, idle: 0 };
  const watch = new ProcessorWatch({ now: () => times.active + times.idle }, () => times);
  const pass = (active: number, idle: number): void => {
    times = { active: times.active + active, idle: times.idle + idle };
  };
  return { watch, pass };
}

test('the pressure ends with the load although no call asks for the use', () => {
  // Guards against an entry that refuses its callers for good when its gate gets no more calls.
  const { watch, pass } = createWatch();
  pass(200, 0);
  assert.equal(watch.pressure, 1);
  pass(5, 195);
  assert.equal(watch.pressure, 0);
});

test('the use is taken once for each measurement', () => {
  // Guards against a gate that lowers its limit several times for one busy interval.
  const { watch, pass } = createWatch();
  pass(100, 0);
  assert.equal(watch.utilization, 1);
  assert.deepEqual(watch.takeUse(), { utilization: 1, elapsedMs: 100 });
  assert.equal(watch.takeUse(), null);
  pass(25, 75);
  assert.deepEqual(watch.takeUse(), { utilization: 0.25, elapsedMs: 100 });
});
