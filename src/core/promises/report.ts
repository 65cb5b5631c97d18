import type { Violation } from './violation.js';

/** Where broken promises are reported. */
export type ViolationReporter = (violation: Violation) => void;

/**
 * Reports every violation of a list.
 *
 * @param violations - the violations, usually none
 * @param report - where they go
 */
export function reportViolations(
  violations: readonly Violation[],
  report: ViolationReporter,
): void {
  violations.forEach((violation) => report(violation));
}
