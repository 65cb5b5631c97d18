import type { Instant, Milliseconds } from '../model/time.js';
import { assertPromise, type Violation } from '../promises/violation.js';
import type { RunningCall, QueuedCall } from './dispatch-state.js';

/**
 * Share of the rate that calls of running requests leave to new ones. Most requests that make
 * calls end without an answer while all services are cold, so requests that need nothing else keep
 * a larger part than of the slots of a warm backend server.
 */
const ROOT_RESERVED_SHARE = 0.35;

const WINDOW_MS: Milliseconds = 1000;

/**
 * Part of the window in which a cold backend server gets the same part of its rate. When it gets a
 * second's worth at once, calls that follow each other in one request wait for the next second.
 */
const SLICE_SHARE = 0.2;
const SLICE_MS = WINDOW_MS * SLICE_SHARE;

/** What a cold backend server was sent, and what it bears. */
export interface ColdRateState {
  /** Starts since the backend server is cold, oldest first. */
  readonly starts: readonly RunningCall[];
  readonly coldRatePerSecond: number;
}

/**
 * Lists the starts that count against the rate.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns the starts of the last second
 */
export function recentStarts({ starts }: ColdRateState, now: Instant): readonly RunningCall[] {
  return starts.filter(({ startedAt }) => now - startedAt < WINDOW_MS);
}

function countStartsInSlice(starts: readonly RunningCall[], now: Instant): number {
  return starts.filter(({ startedAt }) => now - startedAt < SLICE_MS).length;
}

/**
 * Tells whether a cold backend server may get one more call.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns whether neither the rate of the second nor of its part is used up
 */
export function hasColdCapacity(cold: ColdRateState, now: Instant): boolean {
  const recent = recentStarts(cold, now);
  const rate = cold.coldRatePerSecond;
  return (
    recent.length < Math.max(1, Math.floor(rate)) &&
    countStartsInSlice(recent, now) < Math.max(1, Math.floor(rate * SLICE_SHARE))
  );
}

/**
 * Tells whether new requests have had less than their part of the rate.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns whether a new request goes before calls of running ones
 */
export function isRootBelowColdShare(cold: ColdRateState, now: Instant): boolean {
  const roots = recentStarts(cold, now).filter(({ isNested }) => !isNested);
  return roots.length < cold.coldRatePerSecond * ROOT_RESERVED_SHARE;
}

/** Time until a call behind so many others starts at a part of the rate. */
function estimateRateWait(
  starts: readonly RunningCall[],
  ahead: number,
  ratePerSecond: number,
  now: Instant,
): Milliseconds {
  const excess = countStartsInSlice(starts, now) + ahead + 1 - ratePerSecond * SLICE_SHARE;
  return (Math.max(0, excess) / Math.max(1, ratePerSecond)) * WINDOW_MS;
}

/**
 * Estimates when a call would start.
 *
 * @param cold - starts and rate
 * @param ahead - calls that wait before it
 * @param isNested - whether it is a call of a running request
 * @param now - the current instant
 * @returns the time until then
 */
export function estimateColdWait(
  cold: ColdRateState,
  ahead: readonly QueuedCall[],
  isNested: boolean,
  now: Instant,
): Milliseconds {
  const starts = recentStarts(cold, now);
  const rate = cold.coldRatePerSecond;
  const sharedWaitMs = estimateRateWait(starts, ahead.length, rate, now);
  if (isNested) return sharedWaitMs;
  const reservedWaitMs = estimateRateWait(
    starts.filter((start) => !start.isNested),
    ahead.filter(({ rank }) => !rank.isNested).length,
    rate * ROOT_RESERVED_SHARE,
    now,
  );
  return Math.min(sharedWaitMs, reservedWaitMs);
}

/**
 * Asserts that a cold backend server gets no more than it bears.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns one violation when it got more in the last second
 */
export function assertColdRate(cold: ColdRateState, now: Instant): readonly Violation[] {
  const { length } = recentStarts(cold, now);
  const maxStarts = Math.max(1, Math.floor(cold.coldRatePerSecond));
  return assertPromise(
    'cold-start',
    length <= maxStarts,
    () => `${length} starts in 1 s, not ${maxStarts}`,
  );
}
