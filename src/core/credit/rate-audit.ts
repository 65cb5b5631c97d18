import type { Instant } from '../model/time.js';
import { assertPromise, type Violation } from '../promises/violation.js';

/** Rate and burst of an account. */
export interface Limit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** What the audit of one account keeps: the admissions not yet worn off at the rate. */
export interface RateAudit {
  readonly level: number;
  readonly at: Instant;
}

/** An audit without admissions. */
export const EMPTY_RATE_AUDIT: RateAudit = { level: 0, at: Number.NEGATIVE_INFINITY };

/** Allows for sums of binary fractions. */
const ROUNDING_TOLERANCE = 1e-6;

/**
 * Adds one admission. The level is the largest excess `admitted - rate x t` over all intervals
 * that end now, so comparing it with the burst checks every interval at once.
 *
 * @param audit - the audit so far
 * @param at - instant of the admission, on the same clock for all hosts, never decreasing
 * @param limit - rate and burst in force
 * @returns the next audit and a violation when some interval holds too many admissions
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
        `expected at most ${limit.burst} + ${limit.ratePerSecond}/s, saw ${level} over the rate at ${at} ms`,
    ),
  };
}

/**
 * Checks a finished run of one account.
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
