import type { Violation } from './violation.js';

/** Where broken promises are reported. */
export type Report = (violation: Violation) => void;

/**
 * Reports every violation of a list.
 *
 * @param violations - the violations, usually none
 * @param report - where they go
 */
export function reportAll(violations: readonly Violation[], report: Report): void {
  violations.forEach((violation) => report(violation));
}
