import type { Clock, Milliseconds } from '../core/model/time.js';

const CHECK_INTERVAL_MS = 200;

/** Shorter delays are attributed to a busy event loop, not to a paused process. */
const PAUSE_THRESHOLD_MS = 1000;

/**
 * Detects pauses of the process from late timers.
 *
 * @param clock - monotonic clock
 * @param onPause - called with the delay when a timer fires more than a second late
 * @returns the timer, which the caller clears to stop the detection
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
