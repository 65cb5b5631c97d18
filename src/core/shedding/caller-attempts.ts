import { OrderedMap } from 'immutable';
import type { Instant, Milliseconds } from '../model/time.js';

/** An attempt of a caller to have a request answered. */
export interface CallerAttempt {
  /** Equal for equal requests of one client account. */
  readonly fingerprint: string;
  readonly arrivedAt: Instant;
  /** How long the caller waits from then on; null when it does not say. */
  readonly callerTimeoutMs: Milliseconds | null;
}

/** What is remembered of an attempt. */
interface RememberedAttempt {
  readonly arrivedAt: Instant;
  readonly callerTimeoutMs: Milliseconds;
}

/** The last attempt of each caller, by fingerprint, the oldest first. */
export type CallerAttempts = OrderedMap<string, RememberedAttempt>;

/** No attempts. */
export const noAttempts: CallerAttempts = OrderedMap();

/** Time for which an attempt is remembered: longer than any delay that a refused caller is told. */
const MEMORY_MS: Milliseconds = 5000;

/** Bound of the memory of a node, about 1 MB; the oldest attempts are forgotten first. */
const MAX_ATTEMPTS = 5000;

/** Attempts that one step forgets at most, so that no request pays for many others. */
const MAX_FORGOTTEN = 4;

/** Largest difference of the caller's deadline between two attempts, which may wait to be read. */
const DEADLINE_TOLERANCE_MS: Milliseconds = 500;

/** Attempts with the new one, and whether an earlier one was for the same request. */
export interface AttemptStep {
  readonly attempts: CallerAttempts;
  readonly isReturn: boolean;
}

function forgetOldest(attempts: CallerAttempts, now: Instant): CallerAttempts {
  let left = attempts;
  for (let forgotten = 0; forgotten < MAX_FORGOTTEN; forgotten += 1) {
    const oldest = left.first();
    if (oldest === undefined) return left;
    if (now - oldest.arrivedAt < MEMORY_MS && left.size <= MAX_ATTEMPTS) return left;
    left = left.rest();
  }
  return left;
}

/**
 * Records an attempt and tells whether its caller has been here before with the same request. A
 * caller that comes back waits until the same deadline as before, and so for a shorter time; equal
 * requests of other callers wait as long as the first or until another deadline.
 *
 * @param before - the attempts so far
 * @param attempt - the new attempt
 * @returns the next attempts, and whether this one is a return
 */
export function recordAttempt(
  before: CallerAttempts,
  { fingerprint, arrivedAt, callerTimeoutMs }: CallerAttempt,
): AttemptStep {
  if (callerTimeoutMs === null) return { attempts: before, isReturn: false };
  const earlier = before.get(fingerprint);
  const isReturn =
    earlier !== undefined &&
    arrivedAt - earlier.arrivedAt < MEMORY_MS &&
    callerTimeoutMs < earlier.callerTimeoutMs &&
    Math.abs(arrivedAt + callerTimeoutMs - (earlier.arrivedAt + earlier.callerTimeoutMs)) <=
      DEADLINE_TOLERANCE_MS;
  const attempts = forgetOldest(before, arrivedAt)
    .delete(fingerprint)
    .set(fingerprint, { arrivedAt, callerTimeoutMs });
  return { attempts, isReturn };
}
