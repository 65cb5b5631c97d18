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

test('the limit falls when fewer concurrent calls reduce the latency', () => {
  // Guards against so many concurrent calls that the additional ones only queue in the server.
  const calm = adaptOverIntervals(startLimit(40), 5, () => 10);
  const overcommitted = adaptOverIntervals(calm, 100, (running) => 10 * Math.max(1, running / 10));
  assert.ok(effectiveLimit(overcommitted, 20_000) <= 30);
});

test('the limit returns to the slots when a decrease does not reduce the latency', () => {
  // Guards against idle slots while a service is slow for other reasons.
  const calm = adaptOverIntervals(startLimit(40), 5, () => 10);
  const slow = adaptOverIntervals(calm, 60, () => 40);
  assert.equal(effectiveLimit(slow, 20_000), 40);
});

test('shed calls lower the limit, which stays between 1 and the slots', () => {
  // Guards against a limit of 0, which could never rise again because no call would run.
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

test('a hint of a load endpoint expires and lowers the limit by half at most', () => {
  // Guards against load endpoints that report outdated or wrong values.
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

test('the warm-up limit grows with successes and restarts after a step in latency', () => {
  // Guards against full load on a server whose restart was not detected otherwise.
  const warm = recordSuccesses(startWarmUp({ slots: 20, coldCapacity: 2 }), 400, 10);
  assert.equal(warm.limit, 20);
  assert.equal(recordSuccesses(warm, 4, 60, 8_000).limit, 20);
  const cold = recordSuccesses(warm, 5, 60, 8_000);
  assert.ok(cold.limit <= 2.2 && cold.epoch === 1);
  assert.ok(recordSuccesses(cold, 50, 60, 9_000).epoch === 1, 'the new level is not a second step');
});

test('successes of calls from an earlier epoch do not raise the warm-up limit', () => {
  // Guards against late answers of an old incarnation that raise the limit of the current one.
  const cold = restartWarmUp(startWarmUp({ slots: 20, coldCapacity: 2 }));
  const old = { epoch: 0, route: 'lookup', ownLatencyMs: 10, now: 0 };
  assert.equal(recordSuccess(cold, old).limit, 2);
  assert.equal(recordFailure(cold).limit, 2);
});

test('rate allocation: bounds, importance order and weighted max-min', () => {
  // Guards against allocating more or less than the rate, or a less important class first.
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
        assert.ok(
          Math.abs(given - Math.min(rate, asked)) < 1e-6,
          'the allocated rates do not add up',
        );
        let isExhausted = false;
        classes.forEach(({ allocations }) => {
          if (isExhausted) allocations.forEach((a) => assert.ok(a.rate < 1e-6));
          const short = allocations.filter((a) => a.rate < a.demand.rate - 1e-6);
          isExhausted ||= short.length > 0;
          short.forEach((a) =>
            allocations.forEach((b) =>
              assert.ok(
                a.rate / a.demand.weight >= b.rate / b.demand.weight - 1e-6,
                'a caller below its demand receives less per weight than another',
              ),
            ),
          );
        });
      },
    ),
    { seed: 20_261_204, numRuns: 1_000 },
  );
});
