import type { Clock, Milliseconds } from '../core/model/time.js';

/** What waiting for the end of the running requests needs. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly deadlineMs: Milliseconds;
  /** @returns the number of requests and calls without an answer */
  readonly open: () => number;
}

const CHECK_INTERVAL_MS = 20;

/**
 * Requests that callers had already sent when the stop began arrive within this time. Closing
 * connections earlier would cut them off.
 */
const QUIET_PERIOD_MS = 500;

/** Uses the global timer, which the random runs replace by one of made-up time. */
function sleep(ms: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/**
 * Waits until nothing has been open for a short while.
 *
 * @param options - clock, deadline and how to count what is open
 * @returns false when the deadline came first
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
