import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  noAttempts,
  recordAttempt,
  type CallerAttempt,
} from '../../../src/core/shedding/caller-attempts.js';

const FIRST: CallerAttempt = { fingerprint: 'balance', arrivedAt: 1000, callerTimeoutMs: 6000 };

test('a caller that comes back is known by its request and its deadline', () => {
  // Guards against returns that count as demand, which let in more the more is refused.
  const { attempts, isReturn } = recordAttempt(noAttempts, FIRST);
  assert.equal(isReturn, false);
  const second = { ...FIRST, arrivedAt: 1800, callerTimeoutMs: 5200 };
  const again = recordAttempt(attempts, second);
  assert.equal(again.isReturn, true);
  const third = { ...FIRST, arrivedAt: 3300, callerTimeoutMs: 3650 };
  assert.equal(recordAttempt(again.attempts, third).isReturn, true);
});

test('equal requests of other callers are no returns', () => {
  // Guards against callers of one popular resource that are taken for one caller and refused.
  const { attempts } = recordAttempt(noAttempts, FIRST);
  const others: readonly CallerAttempt[] = [
    { ...FIRST, arrivedAt: 1050 },
    { ...FIRST, arrivedAt: 2500 },
    { ...FIRST, arrivedAt: 2500, callerTimeoutMs: 5900 },
    { ...FIRST, arrivedAt: 1800, callerTimeoutMs: 900 },
    { ...FIRST, arrivedAt: 1800, callerTimeoutMs: null },
    { ...FIRST, arrivedAt: 1800, callerTimeoutMs: 5200, fingerprint: 'other' },
  ];
  others.forEach((other) => assert.equal(recordAttempt(attempts, other).isReturn, false));
});

test('a caller is known for at least three seconds after its last attempt', () => {
  // Guards against callers that wait for as long as they were told and then count as new ones.
  let { attempts } = recordAttempt(noAttempts, { ...FIRST, arrivedAt: 0 });
  for (let arrivedAt = 10; arrivedAt < 3000; arrivedAt += 10) {
    const other = { ...FIRST, arrivedAt, fingerprint: String(arrivedAt) };
    attempts = recordAttempt(attempts, other).attempts;
  }
  const last = { ...FIRST, arrivedAt: 2999, fingerprint: '10', callerTimeoutMs: 3010 };
  assert.equal(recordAttempt(attempts, last).isReturn, true);
  const late = { ...FIRST, arrivedAt: 5900, fingerprint: '2990', callerTimeoutMs: 3090 };
  assert.equal(recordAttempt(attempts, late).isReturn, true);
});

test('the memory of attempts stays bounded under any order of requests', () => {
  // Guards against a node whose memory grows with the requests that it gets.
  const arbitraryAttempt = fc.record({
    fingerprint: fc.integer({ min: 0, max: 99_999 }).map(String),
    gapMs: fc.integer({ min: 0, max: 3 }),
    callerTimeoutMs: fc.option(fc.integer({ min: 1, max: 10_000 })),
  });
  const sequences = fc.array(arbitraryAttempt, { minLength: 6000, maxLength: 8000 });
  fc.assert(
    fc.property(sequences, (sequence) => {
      let attempts = noAttempts;
      let arrivedAt = 0;
      sequence.forEach(({ gapMs, ...attempt }) => {
        arrivedAt += gapMs;
        attempts = recordAttempt(attempts, { ...attempt, arrivedAt }).attempts;
        assert.ok(attempts.recent.size + attempts.earlier.size <= 5000);
      });
    }),
    { numRuns: 5, seed: 40 },
  );
});
