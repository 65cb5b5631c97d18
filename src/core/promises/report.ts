import type { Violation } from './violation.js';

/** Called for each broken promise. */
export type ViolationReporter = (violation: Violation) => void;

/**
 * Reports every violation of a list.
 *
 * @param violations - the violations, usually none
 * @param report - called once for each violation
 */
export function reportViolations(
  violations: readonly Violation[],
  report: ViolationReporter,
): void {
  violations.forEach((violation) => report(violation));
}
