/** The guarantees listed in section 1.1 of the design page; each is asserted at run time. */
export const PROMISES = [
  'retry-bound',
  'importance-order',
  'own-account',
  'key-hidden',
  'key-withdrawn',
  'rate-bound',
  'cold-start',
  'stated-limit',
  'zone-out',
  'own-answer',
  'not-run',
  'at-most-once',
  'leaving',
  'graceful-stop',
  'configuration-order',
] as const;

/** Name of a promise. */
export type PromiseName = (typeof PROMISES)[number];

/** Effect of a decision in which the assertion of a promise failed. */
export interface Violation {
  readonly kind: 'violation';
  readonly promise: PromiseName;
  /** Expected and observed values. */
  readonly detail: string;
}

/**
 * Asserts that a promise holds.
 *
 * @param promise - name of the promise
 * @param holds - whether it holds
 * @param detail - builds the text for the log line; called only on failure
 * @returns an empty list when the promise holds, one violation otherwise
 */
export function assertPromise(
  promise: PromiseName,
  holds: boolean,
  detail: () => string,
): readonly Violation[] {
  return holds ? [] : [{ kind: 'violation', promise, detail: detail() }];
}
