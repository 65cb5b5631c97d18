import type { Clock, Milliseconds } from '../core/model/time.js';

/** Options of a drain. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly deadlineMs: Milliseconds;
  /** @returns the number of requests and calls without an answer */
  readonly open: () => number;
}

const CHECK_INTERVAL_MS = 20;

/**
 * Requests that callers sent before the stop began arrive within this time. Closing connections
 * earlier would abort them.
 */
const QUIET_PERIOD_MS = 500;

/** Uses the global timer, which the randomized simulations replace by simulated time. */
function sleep(ms: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/**
 * Waits until no request has been open for a quiet period.
 *
 * @param options - clock, deadline and the count of open requests
 * @returns false when requests were still open at the deadline
 */
export async function drain({ clock, deadlineMs, open }: DrainOptions): Promise<boolean> {
  const deadline = clock.now() + deadlineMs;
  let quietSince = clock.now();
  while (clock.now() < deadline) {
    // eslint-disable-next-line no-await-in-loop
    await sleep(CHECK_INTERVAL_MS);
    if (open() > 0) quietSince = clock.now();
    else if (clock.now() - quietSince >= QUIET_PERIOD_MS) return true;
  }
  return open() === 0;
}
