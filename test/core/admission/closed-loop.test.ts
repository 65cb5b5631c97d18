import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Importance } from '../../../src/core/model/configuration.js';
import { runLoop, type LoopOptions, type LoopResult, type TrafficSource } from './closed-loop.js';

const SLOTS = 20;
const SERVICE_MS = 20;
const CAPACITY = (SLOTS * 1_000) / SERVICE_MS;

function trafficSource(
  account: string,
  share: number,
  importance: Importance = 'normal',
): TrafficSource {
  return { account, importance, rate: () => share * CAPACITY };
}

const FAIR = ['a', 'b', 'c', 'd'].map((account) => trafficSource(account, 0.18));

function run(options: Partial<LoopOptions>): LoopResult {
  const result = runLoop({
    sources: FAIR,
    slots: SLOTS,
    serviceMs: () => SERVICE_MS,
    deadlineMs: 300,
    durationMs: 6_000,
    hasEntry: true,
    seed: 1,
    ...options,
  });
  assert.deepEqual(result.violations, []);
  return result;
}

/** Returns the number of in-time answers per second in an interval. */
function goodput({ samples }: LoopResult, from: number, to: number): number {
  const served = samples.filter(
    ({ servedAtMs }) => servedAtMs !== null && servedAtMs >= from && servedAtMs < to,
  );
  return (served.length * 1_000) / (to - from);
}

/** Returns the share of the roots sent from an instant on that were answered in time. */
function servedShare(
  { samples }: LoopResult,
  from: number,
  isSelected: (source: TrafficSource) => boolean,
): number {
  const sent = samples.filter(({ atMs, source: sender }) => atMs >= from && isSelected(sender));
  // The last roots may still be in flight when the loop ends.
  const settled = sent.slice(0, Math.floor(sent.length * 0.95));
  return settled.filter(({ servedAtMs }) => servedAtMs !== null).length / settled.length;
}

[1, 2, 3].forEach((seed) => {
  [true, false].forEach((hasEntry) => {
    const title = `seed ${seed}, ${hasEntry ? 'with' : 'without'} early refusal at the entry`;

    test(`at 3x overload, goodput stays high and fair accounts are served (${title})`, () => {
      // Guards against congestion collapse, and against one account starving the others.
      const result = run({ sources: [trafficSource('hog', 2.28), ...FAIR], hasEntry, seed });
      assert.ok(goodput(result, 1_500, 6_000) >= 0.85 * CAPACITY);
      FAIR.forEach(({ account }) => {
        assert.ok(servedShare(result, 1_500, (sender) => sender.account === account) >= 0.9);
      });
    });

    test(`an account at 5x its fair share does not affect the others (${title})`, () => {
      // Guards against unfairness when the fair accounts alone nearly use the full capacity.
      const result = run({ sources: [trafficSource('hog', 1), ...FAIR], hasEntry, seed });
      assert.ok(goodput(result, 1_500, 6_000) >= 0.85 * CAPACITY);
      FAIR.forEach(({ account }) => {
        assert.ok(servedShare(result, 1_500, (sender) => sender.account === account) >= 0.9);
      });
    });

    test(`at 3x overload, the more important class is served in full (${title})`, () => {
      // Guards against shedding important roots while less important ones are served.
      const sources = ['a', 'b'].flatMap((account) => [
        trafficSource(account, 1.2, 'low'),
        trafficSource(account, 0.3, 'high'),
      ]);
      const result = run({ sources, hasEntry, seed });
      assert.ok(goodput(result, 1_500, 6_000) >= 0.85 * CAPACITY);
      assert.ok(servedShare(result, 1_500, ({ importance }) => importance === 'high') >= 0.99);
      assert.ok(servedShare(result, 1_500, ({ importance }) => importance === 'low') > 0.05);
    });

    test(`goodput is back within 5 s after a slow phase (${title})`, () => {
      // Guards against metastable overload, which continues after its trigger has ended.
      const serviceMs = (at: number): number => (at > 3_000 && at < 6_000 ? 5 : 1) * SERVICE_MS;
      const result = run({ serviceMs, hasEntry, seed, durationMs: 13_000 });
      assert.ok(goodput(result, 11_000, 13_000) >= 0.95 * goodput(result, 1_500, 3_000));
    });
  });
});

[1, 2, 3].forEach((seed) => {
  test(`a slow backend server keeps its slots busy at 3x overload (seed ${seed})`, () => {
    // Guards against idle slots and random refusals of fair accounts when few calls arrive in each
    // interval.
    const slowCapacity = SLOTS / 0.2;
    const rate = (share: number) => () => share * slowCapacity;
    const fair = FAIR.map((sender) => ({ ...sender, rate: rate(0.15) }));
    const hog = { ...trafficSource('hog', 0), rate: rate(2.4) };
    const slow = { serviceMs: () => 200, deadlineMs: 800, durationMs: 20_000, coldCapacity: 10 };
    const result = run({ ...slow, sources: [hog, ...fair], seed });
    assert.ok(goodput(result, 5_000, 20_000) >= 0.85 * slowCapacity);
    fair.forEach(({ account }) => {
      assert.ok(servedShare(result, 5_000, (sender) => sender.account === account) >= 0.9);
    });
  });
});

test('admit fractions settle at the true capacity and do not oscillate between 0 and 1', () => {
  // Guards against fractions that settle too high because the demand is measured after refusals at
  // the entries, and against fractions that rise too fast after a refusal.
  const share = (1 - 4 * 0.18) / 2.28;
  [1, 2, 3].forEach((seed) => {
    const sources = [trafficSource('hog', 2.28), ...FAIR];
    const { fractions } = run({ sources, durationMs: 10_000, seed });
    const settled = fractions.slice(15);
    const mean = settled.reduce((sum, fraction) => sum + fraction, 0) / settled.length;
    assert.ok(
      Math.abs(mean - share) <= 0.3 * share,
      `seed ${seed}: mean ${mean}, true share ${share}`,
    );
    assert.ok(Math.max(...settled) <= 0.4, `seed ${seed}: highest ${Math.max(...settled)}`);
    assert.ok(Math.min(...settled) >= 0.02, `seed ${seed}: lowest ${Math.min(...settled)}`);
  });
});
