import { setTimeout as sleep } from 'node:timers/promises';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

/**
 * Time after the stop signal during which the gate still accepts calls. The backend server keeps
 * running, but receives no calls between the closing of the gate and the start of the next
 * process. Calls in flight when the gate closes can finish until `MIN_STOP_MS` has passed.
 */
export const GATE_CLOSE_DELAY_MS: Milliseconds = 2000;

/** Shortest duration of a stop. Two readiness probes, sent once per second, have failed by then. */
const MIN_STOP_MS: Milliseconds = 2600;

/** The process exits this long before the platform would kill it. */
const STOP_MARGIN_MS: Milliseconds = 400;

const STOP_POLL_INTERVAL_MS: Milliseconds = 50;

/** Options of the wait for requests in flight. */
export interface DrainOptions {
  readonly clock: Clock;
  /** When the stop signal came. */
  readonly startedAt: Instant;
  /** Time from the stop signal until the platform kills the process. */
  readonly deadlineMs: Milliseconds;
  readonly openRequests: () => number;
}

/**
 * Waits until all requests have ended and peers have noticed the stop, or until the process has to
 * exit.
 *
 * @param options - the clock, the time limits and the number of open requests
 */
export async function waitForDrain({
  clock,
  startedAt,
  deadlineMs,
  openRequests,
}: DrainOptions): Promise<void> {
  const latest = startedAt + deadlineMs - STOP_MARGIN_MS;
  const earliest = startedAt + MIN_STOP_MS;
  while (clock.now() < latest && (openRequests() > 0 || clock.now() < earliest)) {
    // eslint-disable-next-line no-await-in-loop
    await sleep(STOP_POLL_INTERVAL_MS);
  }
}
