import type { Clock, Milliseconds } from '../core/model/time.js';

const CHECK_INTERVAL_MS = 200;

/** Shorter delays come from a busy event loop and not from a paused process. */
const PAUSE_THRESHOLD_MS = 1000;

/**
 * Watches for pauses of the process.
 *
 * @param clock - monotonic clock
 * @param onPause - called when a timer ran more than a second late, with the delay
 * @returns the timer, to be cleared at the stop
 */
export function watchPauses(clock: Clock, onPause: (lateMs: Milliseconds) => void): NodeJS.Timeout {
  let expectedAt = clock.now() + CHECK_INTERVAL_MS;
  return setInterval(() => {
    const now = clock.now();
    const lateMs = now - expectedAt;
    expectedAt = now + CHECK_INTERVAL_MS;
    if (lateMs > PAUSE_THRESHOLD_MS) onPause(lateMs);
  }, CHECK_INTERVAL_MS);
}
