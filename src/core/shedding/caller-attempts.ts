import { Map as PersistentMap } from 'immutable';
import type { Instant, Milliseconds } from '../model/time.js';

/** An attempt of a caller to have a request answered. */
export interface CallerAttempt {
  /** Equal for equal requests of one client account. */
  readonly fingerprint: string;
  readonly arrivedAt: Instant;
  /** How long the caller waits from then on; null when it does not say. */
  readonly callerTimeoutMs: Milliseconds | null;
}

/** An attempt of a caller that says how long it waits. */
interface TimedAttempt extends CallerAttempt {
  readonly callerTimeoutMs: Milliseconds;
}

/** The last attempts for requests, by fingerprint. */
type AttemptsByFingerprint = PersistentMap<string, TimedAttempt>;

/** Recent attempts of callers, in two generations, so that the older one is forgotten at once. */
export interface CallerAttempts {
  readonly recent: AttemptsByFingerprint;
  readonly earlier: AttemptsByFingerprint;
  /** When the recent generation began. */
  readonly since: Instant;
}

/** No attempts. */
export const noAttempts: CallerAttempts = {
  recent: PersistentMap(),
  earlier: PersistentMap(),
  since: Number.NEGATIVE_INFINITY,
};

/** Length of a generation: longer than any delay that a refused caller is told. */
const GENERATION_MS: Milliseconds = 3000;

/** Attempts in a generation; both take about 1 MB of the memory of a node at most. */
const MAX_ATTEMPTS = 2500;

/** Largest difference of the caller's deadline between two attempts, which may wait to be read. */
const DEADLINE_TOLERANCE_MS: Milliseconds = 500;

/** Attempts with the new one, and whether an earlier one was for the same request. */
export interface AttemptStep {
  readonly attempts: CallerAttempts;
  readonly isReturn: boolean;
}

function forgetOld(attempts: CallerAttempts, now: Instant): CallerAttempts {
  const { recent, since } = attempts;
  if (now - since < GENERATION_MS && recent.size < MAX_ATTEMPTS) return attempts;
  return { recent: PersistentMap(), earlier: recent, since: now };
}

function isLaterAttempt(earlier: TimedAttempt, later: TimedAttempt): boolean {
  const passedMs = later.arrivedAt - earlier.arrivedAt;
  const shorterMs = earlier.callerTimeoutMs - later.callerTimeoutMs;
  return shorterMs > 0 && Math.abs(passedMs - shorterMs) <= DEADLINE_TOLERANCE_MS;
}

/**
 * Records an attempt and tells whether its caller has been here before with the same request. A
 * caller that comes back waits until the same deadline as before, and so for a shorter time; equal
 * requests of other callers wait as long as the first or until another deadline.
 *
 * @param before - the attempts so far
 * @param attempt - the new attempt
 * @returns the next attempts, and whether this one is a return
 */
export function recordAttempt(before: CallerAttempts, attempt: CallerAttempt): AttemptStep {
  const { fingerprint, arrivedAt, callerTimeoutMs } = attempt;
  if (callerTimeoutMs === null) return { attempts: before, isReturn: false };
  const { recent, earlier, since } = forgetOld(before, arrivedAt);
  const last = recent.get(fingerprint) ?? earlier.get(fingerprint);
  const timed: TimedAttempt = { fingerprint, arrivedAt, callerTimeoutMs };
  return {
    attempts: { recent: recent.set(fingerprint, timed), earlier, since },
    isReturn: last !== undefined && isLaterAttempt(last, timed),
  };
}
