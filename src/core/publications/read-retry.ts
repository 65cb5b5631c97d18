import type { Milliseconds } from '../model/time.js';

/** First pause after failed calls to the store, before jitter; it doubles with each failure. */
const RETRY_MIN_MS: Milliseconds = 200;

/**
 * Longest pause, before jitter. Where the store answered no node, the first answer dates its return.
 * A removal 3 s after the return has to take effect 2 s later, at 5 s. A call without an answer takes
 * 1.2 s of that and the hold of expired entries 2.2 s, which leaves 1.6 s for the pause.
 */
const RETRY_MAX_MS: Milliseconds = 800;

/** Share by which jitter shortens or lengthens a pause at most. */
const JITTER_SHARE = 0.5;

/**
 * Computes the pause after a failed call to the store.
 *
 * @param failures - failed calls since the last answer, including this one
 * @param random - a fraction at least 0 and below 1
 * @returns the pause in milliseconds
 */
export function retryPause(failures: number, random: number): Milliseconds {
  const doublings = Math.max(0, failures - 1);
  const pauseMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** doublings);
  return pauseMs * (1 - JITTER_SHARE + 2 * JITTER_SHARE * random);
}
