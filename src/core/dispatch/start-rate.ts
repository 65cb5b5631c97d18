import type { Instant, Milliseconds } from '../model/time.js';
import { assertPromise, type Violation } from '../promises/violation.js';
import type { RunningCall, QueuedCall } from './dispatch-state.js';

const WINDOW_MS: Milliseconds = 1000;

/**
 * The rate also holds for each slice of this share of the window. If a whole second's budget could
 * be used at once, consecutive calls of one request would wait for the next second.
 */
const SLICE_SHARE = 0.2;
const SLICE_MS = WINDOW_MS * SLICE_SHARE;

/** Reason for which calls are limited to a rate; each names the promise that it keeps. */
export type RateReason = 'cold-start' | 'stated-limit';

/** Limit of the calls that are started at a backend server within a second. */
export interface StartRate {
  readonly ratePerSecond: number;
  /** Share of the rate reserved for root requests. */
  readonly rootShare: number;
  readonly reason: RateReason;
}

/** Recent starts at a backend server, oldest first. */
export type Starts = readonly RunningCall[];

/**
 * Lists the starts that count against the rate limit.
 *
 * @param starts - starts so far
 * @param now - the current instant
 * @returns the starts of the last second
 */
export function recentStarts(starts: Starts, now: Instant): Starts {
  const first = starts.findIndex(({ startedAt }) => now - startedAt < WINDOW_MS);
  if (first < 0) return [];
  return first === 0 ? starts : starts.slice(first);
}

function countStartsInSlice(starts: Starts, now: Instant): number {
  return starts.filter(({ startedAt }) => now - startedAt < SLICE_MS).length;
}

function maxStarts(ratePerSecond: number): number {
  return Math.max(1, Math.floor(ratePerSecond));
}

/**
 * Checks whether a rate allows one more call.
 *
 * @param starts - starts so far
 * @param rate - the rate
 * @param now - the current instant
 * @returns whether the budgets of the last second and of the last slice both have room
 */
export function hasRateCapacity(
  starts: Starts,
  { ratePerSecond }: StartRate,
  now: Instant,
): boolean {
  const recent = recentStarts(starts, now);
  return (
    recent.length < maxStarts(ratePerSecond) &&
    countStartsInSlice(recent, now) < Math.max(1, Math.ceil(ratePerSecond * SLICE_SHARE))
  );
}

/**
 * Checks whether root requests have used less than their reserved share of the rate.
 *
 * @param starts - starts so far
 * @param rate - the rate
 * @param now - the current instant
 * @returns whether a root request goes before nested calls
 */
export function isRootBelowRateShare(starts: Starts, rate: StartRate, now: Instant): boolean {
  const roots = recentStarts(starts, now).filter(({ isNested }) => !isNested);
  return roots.length < rate.ratePerSecond * rate.rootShare;
}

/**
 * Computes the wait until the starts from before the limit leave room. Only a limit that has just
 * come into force finds more starts than it allows.
 */
function excessWait(recent: Starts, ratePerSecond: number, now: Instant): Milliseconds {
  const limit = maxStarts(ratePerSecond);
  const last = recent.length > limit ? recent[recent.length - limit] : undefined;
  return last === undefined ? 0 : last.startedAt + WINDOW_MS - now;
}

/** Estimates the wait of a call behind `ahead` others at the given rate. */
function estimateWait(
  starts: Starts,
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
 * @param starts - starts so far
 * @param rate - the rate
 * @param ahead - queued calls before it
 * @param isNested - whether it is a nested call
 * @param now - the current instant
 * @returns the wait in milliseconds
 */
export function estimateRateWait(
  starts: Starts,
  { ratePerSecond, rootShare }: StartRate,
  ahead: readonly QueuedCall[],
  isNested: boolean,
  now: Instant,
): Milliseconds {
  const recent = recentStarts(starts, now);
  const excessWaitMs = excessWait(recent, ratePerSecond, now);
  const sharedWaitMs = Math.max(
    excessWaitMs,
    estimateWait(recent, ahead.length, ratePerSecond, now),
  );
  if (isNested) return sharedWaitMs;
  const reservedWaitMs = estimateWait(
    recent.filter((start) => !start.isNested),
    ahead.filter(({ rank }) => !rank.isNested).length,
    ratePerSecond * rootShare,
    now,
  );
  return Math.max(excessWaitMs, Math.min(sharedWaitMs, reservedWaitMs));
}

/**
 * Asserts that a backend server is sent no more calls than a rate allows.
 *
 * @param starts - starts so far
 * @param rate - the rate
 * @param now - the current instant
 * @returns one violation when the last second exceeds the rate
 */
export function assertStartRate(
  starts: Starts,
  { ratePerSecond, reason }: StartRate,
  now: Instant,
): readonly Violation[] {
  const { length } = recentStarts(starts, now);
  const limit = maxStarts(ratePerSecond);
  return assertPromise(reason, length <= limit, () => `${length} starts in 1 s, limit ${limit}`);
}
