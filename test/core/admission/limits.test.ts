import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  adaptLimit,
  effectiveLimit,
  recordHint,
  recordLatency,
  recordShed,
  startLimit,
  type ConcurrencyLimit,
} from '../../../src/core/admission/concurrency-limit.js';
import { allocateRate, type Demand } from '../../../src/core/admission/rate-allocation.js';
import {
  restartWarmUp,
  recordFailure,
  recordSuccess,
  startWarmUp,
  type WarmUp,
} from '../../../src/core/admission/warm-up.js';
import { IMPORTANCES } from '../../../src/core/model/configuration.js';

function adaptOverIntervals(
  start: ConcurrencyLimit,
  count: number,
  latency: (limit: number) => number,
): ConcurrencyLimit {
  let limit = start;
  for (let index = 1; index <= count; index += 1) {
    const running = effectiveLimit(limit, index * 100);
    limit = adaptLimit(recordLatency(limit, latency(running)), running, index * 100);
  }
  return limit;
}

test('the limit falls when fewer calls at a time are faster', () => {
  // Guards against a server that is driven past the point where more calls only wait inside it.
  const calm = adaptOverIntervals(startLimit(40), 5, () => 10);
  const overcommitted = adaptOverIntervals(calm, 100, (running) => 10 * Math.max(1, running / 10));
  assert.ok(effectiveLimit(overcommitted, 20_000) <= 30);
});

test('the limit returns to the slots when a lower one does not help', () => {
  // Guards against idle slots while a service is slow for other reasons.
  const calm = adaptOverIntervals(startLimit(40), 5, () => 10);
  const slow = adaptOverIntervals(calm, 60, () => 40);
  assert.equal(effectiveLimit(slow, 20_000), 40);
});

test('shedding lowers the limit, which never leaves 1 to slots', () => {
  // Guards against a limit of 0, from which there is no way back.
  let limit = startLimit(20);
  for (let index = 0; index < 100; index += 1) limit = adaptLimit(recordShed(limit), 20, index);
  assert.equal(effectiveLimit(limit, 0), 1);
  assert.equal(
    effectiveLimit(
      adaptOverIntervals(limit, 400, () => 10),
      40_000,
    ),
    20,
  );
});

test('a load endpoint lowers the limit for a while and by half at most', () => {
  // Guards against endpoints that lag or mislead.
  const hinted = recordHint(startLimit(20), 0, 0);
  assert.equal(effectiveLimit(hinted, 500), 10);
  assert.equal(effectiveLimit(hinted, 1_500), 20);
  assert.equal(effectiveLimit(recordHint(startLimit(20), 99, 0), 500), 20);
});

function recordSuccesses(start: WarmUp, count: number, ownLatencyMs: number, from = 0): WarmUp {
  let warmUp = start;
  for (let index = 0; index < count; index += 1) {
    const { epoch } = warmUp;
    const success = { epoch, route: 'lookup', ownLatencyMs, now: from + index * 20 };
    warmUp = recordSuccess(warmUp, success);
  }
  return warmUp;
}

test('warm-up grows with successes and falls back at a step in latency', () => {
  // Guards against full load on a server that restarted without a sign.
  const warm = recordSuccesses(startWarmUp({ slots: 20, coldCapacity: 2 }), 400, 10);
  assert.equal(warm.limit, 20);
  assert.equal(recordSuccesses(warm, 4, 60, 8_000).limit, 20);
  const cold = recordSuccesses(warm, 5, 60, 8_000);
  assert.ok(cold.limit <= 2.2 && cold.epoch === 1);
  assert.ok(recordSuccesses(cold, 50, 60, 9_000).epoch === 1, 'the new level is no further step');
});

test('successes of calls from before a fall do not warm the server', () => {
  // Guards against late answers of the old incarnation that raise the limit of the new one.
  const cold = restartWarmUp(startWarmUp({ slots: 20, coldCapacity: 2 }));
  const old = { epoch: 0, route: 'lookup', ownLatencyMs: 10, now: 0 };
  assert.equal(recordSuccess(cold, old).limit, 2);
  assert.equal(recordFailure(cold).limit, 2);
});

test('rate allocation: bounds, importance order and weighted max-min', () => {
  // Guards against rate that is created, lost, or given to a less important class first.
  const demand: fc.Arbitrary<Demand> = fc.record({
    importance: fc.constantFrom(...IMPORTANCES),
    caller: fc.constantFrom('account:a', 'account:b', 'account:c', 'account:d'),
    weight: fc.integer({ min: 1, max: 5 }),
    rate: fc.double({ min: 0, max: 100, noNaN: true }),
  });
  const key = ({ importance, caller }: Demand): string => `${importance} ${caller}`;
  fc.assert(
    fc.property(
      fc.uniqueArray(demand, { selector: key, maxLength: 16 }),
      fc.double({ min: 0, max: 500, noNaN: true }),
      (demands, rate) => {
        const classes = allocateRate(demands, rate);
        const all = classes.flatMap(({ allocations }) => allocations);
        const given = all.reduce((sum, { rate: part }) => sum + part, 0);
        const asked = demands.reduce((sum, { rate: part }) => sum + part, 0);
        assert.ok(Math.abs(given - Math.min(rate, asked)) < 1e-6, 'rate is created or lost');
        let isExhausted = false;
        classes.forEach(({ allocations }) => {
          if (isExhausted) allocations.forEach((a) => assert.ok(a.rate < 1e-6));
          const short = allocations.filter((a) => a.rate < a.demand.rate - 1e-6);
          isExhausted ||= short.length > 0;
          short.forEach((a) =>
            allocations.forEach((b) =>
              assert.ok(
                a.rate / a.demand.weight >= b.rate / b.demand.weight - 1e-6,
                'a caller that is cut gets less for its weight than another',
              ),
            ),
          );
        });
      },
    ),
    { seed: 20_261_204, numRuns: 1_000 },
  );
});
