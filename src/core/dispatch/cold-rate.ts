import type { Instant, Milliseconds } from '../model/time.js';
import { assertPromise, type Violation } from '../promises/violation.js';
import type { Running, Waiting } from './dispatch-state.js';

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
const SPREAD_SHARE = 0.2;
const SPREAD_MS = WINDOW_MS * SPREAD_SHARE;

/** What a cold backend server was sent, and what it bears. */
export interface ColdStarts {
  /** Starts since the backend server is cold, oldest first. */
  readonly starts: readonly Running[];
  readonly coldRatePerSecond: number;
}

/**
 * Lists the starts that count against the rate.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns the starts of the last second
 */
export function recentStarts({ starts }: ColdStarts, now: Instant): readonly Running[] {
  return starts.filter(({ startedAt }) => now - startedAt < WINDOW_MS);
}

function startsTogether(starts: readonly Running[], now: Instant): number {
  return starts.filter(({ startedAt }) => now - startedAt < SPREAD_MS).length;
}

/**
 * Tells whether a cold backend server may get one more call.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns whether neither the rate of the second nor of its part is used up
 */
export function hasColdRoom(cold: ColdStarts, now: Instant): boolean {
  const recent = recentStarts(cold, now);
  const rate = cold.coldRatePerSecond;
  return (
    recent.length < Math.max(1, Math.floor(rate)) &&
    startsTogether(recent, now) < Math.max(1, Math.floor(rate * SPREAD_SHARE))
  );
}

/**
 * Tells whether new requests have had less than their part of the rate.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns whether a new request goes before calls of running ones
 */
export function isColdRootDue(cold: ColdStarts, now: Instant): boolean {
  const roots = recentStarts(cold, now).filter(({ isNested }) => !isNested);
  return roots.length < cold.coldRatePerSecond * ROOT_RESERVED_SHARE;
}

/** Time until a call behind so many others starts at a part of the rate. */
function waitAt(
  starts: readonly Running[],
  ahead: number,
  ratePerSecond: number,
  now: Instant,
): Milliseconds {
  const excess = startsTogether(starts, now) + ahead + 1 - ratePerSecond * SPREAD_SHARE;
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
export function coldWait(
  cold: ColdStarts,
  ahead: readonly Waiting[],
  isNested: boolean,
  now: Instant,
): Milliseconds {
  const starts = recentStarts(cold, now);
  const rate = cold.coldRatePerSecond;
  const forAll = waitAt(starts, ahead.length, rate, now);
  if (isNested) return forAll;
  const reserved = waitAt(
    starts.filter((start) => !start.isNested),
    ahead.filter(({ rank }) => !rank.isNested).length,
    rate * ROOT_RESERVED_SHARE,
    now,
  );
  return Math.min(forAll, reserved);
}

/**
 * Asserts that a cold backend server gets no more than it bears.
 *
 * @param cold - starts and rate
 * @param now - the current instant
 * @returns one violation when it got more in the last second
 */
export function assertColdRate(cold: ColdStarts, now: Instant): readonly Violation[] {
  const { length } = recentStarts(cold, now);
  const most = Math.max(1, Math.floor(cold.coldRatePerSecond));
  return assertPromise('cold-start', length <= most, () => `${length} starts in 1 s, not ${most}`);
}
