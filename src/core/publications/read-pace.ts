import type { Instant, Milliseconds } from '../model/time.js';

/**
 * Pause after a call to the store. Changes come in groups, and a call for each would cost the more
 * the larger a group is. A warm backend server that becomes cold gets its full load during the pause
 * of the node that reads its entry.
 */
const SHORTEST_PAUSE_MS: Milliseconds = 50;

/** Time from one call to the next while nothing changes: the heartbeat of the feeds to followers. */
const CYCLE_MS: Milliseconds = 1000;

/**
 * Calls of one reader while changes go on. The 195 readers of a fleet of 7,400 nodes then make half
 * of the 2,000 calls a second that the store takes; a group of changes comes with at most as many
 * calls as in the burst.
 */
const CALLS_PER_SECOND = 5;
const BURST_CALLS = 20;

/** The store answers a call without a wait before there is a change. */
const SHORTEST_WAIT_MS: Milliseconds = 1;

const MS_PER_SECOND = 1000;

/** Calls to the store that a reader may still make, as of an instant. */
export interface ReadPace {
  readonly calls: number;
  readonly asOf: Instant;
}

/** Pause before the next call to the store, and the longest wait of the store in it. */
export interface ReadDelay {
  readonly pace: ReadPace;
  readonly pauseMs: Milliseconds;
  readonly waitMs: Milliseconds;
}

/** Pace of a reader that has made no call yet. */
export const initialPace: ReadPace = { calls: BURST_CALLS, asOf: Number.NEGATIVE_INFINITY };

/** Wait of a call that no other call precedes. */
export const FULL_WAIT_MS: Milliseconds = CYCLE_MS - SHORTEST_PAUSE_MS;

/**
 * Decides when a reader calls the store again after an answer.
 *
 * @param before - the pace so far
 * @param now - the instant of the answer
 * @param answerDueAt - instant at which an answer is needed in any case, or null
 * @returns the next pace, the pause and the wait, which is a whole number
 */
export function paceNextRead(
  before: ReadPace,
  now: Instant,
  answerDueAt: Instant | null,
): ReadDelay {
  const gained = ((now - before.asOf) / MS_PER_SECOND) * CALLS_PER_SECOND;
  const calls = Math.min(BURST_CALLS, before.calls + gained) - 1;
  const lackMs = (Math.max(0, -calls) / CALLS_PER_SECOND) * MS_PER_SECOND;
  const pauseMs = Math.max(SHORTEST_PAUSE_MS, lackMs);
  const fullWaitMs = Math.floor(CYCLE_MS - pauseMs);
  const dueMs = answerDueAt === null ? fullWaitMs : Math.ceil(answerDueAt - now - pauseMs);
  const waitMs = Math.max(SHORTEST_WAIT_MS, Math.min(fullWaitMs, dueMs));
  return { pace: { calls, asOf: now }, pauseMs, waitMs };
}
