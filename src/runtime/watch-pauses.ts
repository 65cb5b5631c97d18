import type { Clock, Milliseconds } from '../core/model/time.js';

const INTERVAL_MS = 200;

/** Shorter delays come from a busy event loop and not from a paused process. */
const LATE_LIMIT_MS = 1000;

/**
 * Watches for pauses of the process.
 *
 * @param clock - monotonic clock
 * @param woke - called when a timer ran more than a second late, with the delay
 * @returns the timer, to be cleared at the stop
 */
export function watchPauses(clock: Clock, woke: (lateMs: Milliseconds) => void): NodeJS.Timeout {
  let expectedAt = clock.now() + INTERVAL_MS;
  return setInterval(() => {
    const now = clock.now();
    const lateMs = now - expectedAt;
    expectedAt = now + INTERVAL_MS;
    if (lateMs > LATE_LIMIT_MS) woke(lateMs);
  }, INTERVAL_MS);
}
