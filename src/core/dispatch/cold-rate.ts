import type { Instant, Milliseconds } from '../model/time.js';
import { assertPromise, type Violation } from '../promises/violation.js';
import type { RunningCall, QueuedCall } from './dispatch-state.js';

/**
 * Share of the rate reserved for root requests. While all services are cold, most requests that
 * make nested calls fail, so requests without nested calls get a larger reserve than the one in
 * the slots of a warm backend server.
 */
const ROOT_RESERVED_SHARE = 0.35;

const WINDOW_MS: Milliseconds = 1000;

/**
 * The rate also holds for each slice of this share of the window. If a whole second's budget could
 * be used at once, consecutive calls of one request would wait for the next second.
 */
const SLICE_SHARE = 0.2;
const SLICE_MS = WINDOW_MS * SLICE_SHARE;

/** Recent starts at a cold backend server and its rate limit. */
export interface ColdRateState {
  /** Calls started since the backend server became cold, oldest first. */
  readonly starts: readonly RunningCall[];
  readonly coldRatePerSecond: number;
}

/**
 * Lists the starts that count against the rate limit.
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
 * Checks whether the rate limit of a cold backend server allows one more call.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns whether the budgets of the last second and of the last slice both have room
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
 * Checks whether root requests have used less than their reserved share of the rate.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns whether a root request goes before nested calls
 */
export function isRootBelowColdShare(cold: ColdRateState, now: Instant): boolean {
  const roots = recentStarts(cold, now).filter(({ isNested }) => !isNested);
  return roots.length < cold.coldRatePerSecond * ROOT_RESERVED_SHARE;
}

/** Estimates the wait of a call behind `ahead` others at the given rate. */
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
 * Estimates how long a call would wait for the rate limit.
 *
 * @param cold - starts and rate
 * @param ahead - queued calls before it
 * @param isNested - whether it is a nested call
 * @param now - the current instant
 * @returns the wait in milliseconds
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
 * Asserts that a cold backend server is sent no more calls than its rate allows.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns one violation when the last second exceeds the rate
 */
export function assertColdRate(cold: ColdRateState, now: Instant): readonly Violation[] {
  const { length } = recentStarts(cold, now);
  const maxStarts = Math.max(1, Math.floor(cold.coldRatePerSecond));
  return assertPromise(
    'cold-start',
    length <= maxStarts,
    () => `${length} starts in 1 s, limit ${maxStarts}`,
  );
}
