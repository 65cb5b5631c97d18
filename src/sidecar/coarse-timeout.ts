import type { Milliseconds } from '../core/model/time.js';

/**
 * Length to which timeouts are rounded up. Node.js keeps a list for each length of its timers; with
 * lengths of any number of milliseconds most calls would make a list and remove it again.
 */
const STEP_MS: Milliseconds = 20;

/**
 * Starts a timer for the deadline of a request or a call, where some milliseconds do not matter.
 *
 * @param action - what to do at the timeout
 * @param delayMs - time until then; the timer fires up to 20 ms later
 * @returns the timer
 */
export function setCoarseTimeout(action: () => void, delayMs: Milliseconds): NodeJS.Timeout {
  return setTimeout(action, Math.max(1, Math.ceil(delayMs / STEP_MS)) * STEP_MS);
}
