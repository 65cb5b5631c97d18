import type { Instant } from '../model/time.js';
import { assertPromise, type Violation } from '../promises/violation.js';

/** Rate and burst of an account. */
export interface Limit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Audit state of one account: a leaky bucket that admissions fill and the rate drains. */
export interface RateAudit {
  readonly level: number;
  readonly at: Instant;
}

/** An audit without admissions. */
export const EMPTY_RATE_AUDIT: RateAudit = { level: 0, at: Number.NEGATIVE_INFINITY };

/** Tolerance, in tokens, for floating-point rounding. */
const ROUNDING_TOLERANCE = 1e-6;

/**
 * Adds one admission. The level is the maximum of `admitted - rate x t` over all intervals that end
 * now, so a comparison with the burst checks all of them.
 *
 * @param audit - the present audit state
 * @param at - instant of the admission, on the same clock for all hosts, never decreasing
 * @param limit - rate and burst in force
 * @returns the next audit state, and a violation when an interval has too many admissions
 */
export function auditAdmission(
  audit: RateAudit,
  at: Instant,
  limit: Limit,
): { readonly audit: RateAudit; readonly violations: readonly Violation[] } {
  const leaked = audit.level === 0 ? 0 : ((at - audit.at) * limit.ratePerSecond) / 1000;
  const level = Math.max(0, audit.level - leaked) + 1;
  return {
    audit: { level, at },
    violations: assertPromise(
      'rate-bound',
      level <= limit.burst + ROUNDING_TOLERANCE,
      () =>
        `expected at most ${limit.burst} tokens above ${limit.ratePerSecond}/s, got ${level} at ${at} ms`,
    ),
  };
}

/**
 * Audits all admissions of one account after a run.
 *
 * @param admissions - instants of all admissions on one clock, in any order
 * @param limitAt - rate and burst in force at an instant
 * @returns the violations found
 */
export function auditRate(
  admissions: readonly Instant[],
  limitAt: (at: Instant) => Limit,
): readonly Violation[] {
  let audit = EMPTY_RATE_AUDIT;
  return [...admissions]
    .sort((left, right) => left - right)
    .flatMap((at) => {
      const next = auditAdmission(audit, at, limitAt(at));
      audit = next.audit;
      return next.violations;
    });
}
