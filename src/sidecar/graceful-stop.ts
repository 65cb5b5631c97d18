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

/** Time from the deadline of a request to the end of its answer. */
const ANSWER_MARGIN_MS: Milliseconds = 100;

/** A planned stop of the node. */
export interface PlannedStop {
  /** When the stop signal came. */
  readonly startedAt: Instant;
  /** Time from the stop signal until the platform kills the process. */
  readonly deadlineMs: Milliseconds;
}

/** Options of the wait for requests in flight. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly stop: PlannedStop;
  readonly openRequests: () => number;
}

/** Instant at which the process exits even with open requests. */
function latestExit({ startedAt, deadlineMs }: PlannedStop): Instant {
  return startedAt + deadlineMs - STOP_MARGIN_MS;
}

/**
 * Checks whether a request that arrives during a stop can be taken. Callers that still come when
 * they should have noticed the stop are served only if their requests end before the exit.
 *
 * @param stop - the stop, or null when the node is not stopping
 * @param deadline - deadline of the request
 * @param now - the current instant
 * @returns whether the request is answered before the process exits
 */
export function canServeUntil(stop: PlannedStop | null, deadline: Instant, now: Instant): boolean {
  if (stop === null || now - stop.startedAt < MIN_STOP_MS) return true;
  return deadline + ANSWER_MARGIN_MS <= latestExit(stop);
}

/**
 * Waits until all requests have ended and peers have noticed the stop, or until the process has to
 * exit.
 *
 * @param options - the clock, the time limits and the number of open requests
 */
export async function waitForDrain({ clock, stop, openRequests }: DrainOptions): Promise<void> {
  const latest = latestExit(stop);
  const earliest = stop.startedAt + MIN_STOP_MS;
  while (clock.now() < latest && (openRequests() > 0 || clock.now() < earliest)) {
    // eslint-disable-next-line no-await-in-loop
    await sleep(STOP_POLL_INTERVAL_MS);
  }
}

/**
 * Answers the requests that are still open at the exit, and waits until the answers are written.
 *
 * @param endAll - answers each open request
 */
export async function answerOpenRequests(endAll: () => void): Promise<void> {
  endAll();
  await sleep(ANSWER_MARGIN_MS);
}
