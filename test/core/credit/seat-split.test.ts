import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { auditRate } from '../../../src/core/credit/rate-audit.js';
import { splitOverSeats } from '../../../src/core/credit/seat-split.js';

const seats = Array.from({ length: 9 }, (_, index) => `seat-${index}`);

test('the shares of an account sum to its rate and burst', () => {
  // Guards rate-bound against shares that exceed the account, and against seats without a token.
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 5000 }),
      fc.integer({ min: 1, max: 5000 }),
      (rate, burst) => {
        const shares = splitOverSeats({ name: 'a', ratePerSecond: rate, burst }, seats);
        assert.equal(
          shares.length,
          Math.min(Math.max(Math.min(Math.floor(burst / 2), rate), 1), 5),
        );
        assert.equal(
          shares.reduce((sum, share) => sum + share.burst, 0),
          burst,
        );
        const total = shares.reduce((sum, share) => sum + share.ratePerSecond, 0);
        assert.ok(Math.abs(total - rate) < 1e-6);
        assert.ok(shares.every((share) => share.burst >= 1 && Number.isInteger(share.burst)));
      },
    ),
    { seed: 1, numRuns: 200 },
  );
  assert.deepEqual(splitOverSeats({ name: 'a', ratePerSecond: 1, burst: 1 }, []), []);
});

test('the rate audit agrees with a check of every interval', () => {
  // Guards against an audit that misses an interval or reports one that is allowed.
  const limit = { ratePerSecond: 10, burst: 3 };
  const instants = fc.array(fc.nat(1000), { minLength: 1, maxLength: 20 });
  fc.assert(
    fc.property(instants, (admissions) => {
      const sorted = [...admissions].sort((left, right) => left - right);
      const isBroken = sorted.some((from, first) =>
        sorted.some((to, last) => last >= first && last - first + 1 > 3 + (to - from) / 100 + 1e-6),
      );
      assert.equal(auditRate(admissions, () => limit).length > 0, isBroken);
    }),
    { seed: 1, numRuns: 1000 },
  );
});
