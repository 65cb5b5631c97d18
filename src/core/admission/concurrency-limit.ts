import type { Instant, Milliseconds } from '../model/time.js';

/** Factor for the limit after an interval in which the backend server shed calls. */
const SHED_DECREASE_FACTOR = 0.85;

/** Factor for the limit when the own latency is too high. */
const LATENCY_DECREASE_FACTOR = 0.8;

/** Ratio of own latency to baseline above which the backend server may be overcommitted. */
const OVERCOMMITTED_LATENCY_RATIO = 2;

/** A decrease has helped when the latency fell to this share of the earlier one, or below. */
const IMPROVED_LATENCY_RATIO = 0.9;

/** Relative growth for each interval in which the limit was reached; it is at least one call. */
const GROWTH_RATIO = 0.05;

/** Smoothing factor of the baseline while the latency is below it. */
const BASELINE_FALL_FACTOR = 0.3;

/**
 * Smoothing factor of the baseline while the latency is above it, so that the baseline follows a
 * lasting rise within minutes. At 0.01, it reached the latency of an overcommitted server within
 * 10 s, and the limit rose back to the slots.
 */
const BASELINE_RISE_FACTOR = 0.001;

/** Shortest time between a decrease of the limit and the check of its effect. */
const TRIAL_MIN_MS = 200;

/** Time after which a hint expires, because load endpoints report with a delay. */
const HINT_LIFETIME_MS = 1_000;

/** Load endpoints can be wrong, so a hint lowers the limit to no less than this share of it. */
const HINT_MIN_SHARE = 0.5;

/** A decrease of the limit whose effect on the latency has not been checked yet. */
interface Trial {
  readonly limitBefore: number;
  readonly latencyBeforeMs: Milliseconds;
  readonly endsAt: Instant;
}

/** Adaptive limit on the number of calls that run in the backend server at the same time. */
export interface ConcurrencyLimit {
  readonly slots: number;
  /** Limit between 1 and the slots, before rounding down. */
  readonly limit: number;
  readonly baselineMs: Milliseconds | null;
  readonly trial: Trial | null;
  readonly hint: { readonly limit: number; readonly expiresAt: Instant } | null;
  /** Number and sum of the latency samples, and number of shed calls, in the current interval. */
  readonly sampleCount: number;
  readonly latencySumMs: Milliseconds;
  readonly shedCount: number;
}

/**
 * Builds the first limit. It permits all slots, since the warm-up limits the load of a new server.
 *
 * @param slots - number of calls that the backend server can run at the same time
 * @returns a limit equal to the slots, without samples
 */
export function startLimit(slots: number): ConcurrencyLimit {
  return {
    slots,
    limit: slots,
    baselineMs: null,
    trial: null,
    hint: null,
    sampleCount: 0,
    latencySumMs: 0,
    shedCount: 0,
  };
}

/**
 * Applies a changed number of slots. The limit keeps its ratio to the slots.
 *
 * @param limit - current limit
 * @param slots - new number of slots
 * @returns the resized limit
 */
export function resizeLimit(limit: ConcurrencyLimit, slots: number): ConcurrencyLimit {
  if (slots === limit.slots) return limit;
  const scaled = (limit.limit / limit.slots) * slots;
  return { ...limit, slots, trial: null, limit: Math.min(slots, Math.max(1, scaled)) };
}

/**
 * Records the own latency of a call that ran.
 *
 * @param limit - current limit
 * @param ownLatencyMs - running time without the time of nested calls
 * @returns the limit with the sample added
 */
export function recordLatency(
  limit: ConcurrencyLimit,
  ownLatencyMs: Milliseconds,
): ConcurrencyLimit {
  return {
    ...limit,
    sampleCount: limit.sampleCount + 1,
    latencySumMs: limit.latencySumMs + ownLatencyMs,
  };
}

/**
 * Records that the backend server shed a call.
 *
 * @param limit - current limit
 * @returns the limit with the shed call counted
 */
export function recordShed(limit: ConcurrencyLimit): ConcurrencyLimit {
  return { ...limit, shedCount: limit.shedCount + 1 };
}

/**
 * Records a limit that a health or load endpoint reported.
 *
 * @param limit - current limit
 * @param hint - number of calls that the backend server reports it can run
 * @param now - current instant
 * @returns the limit with the hint
 */
export function recordHint(limit: ConcurrencyLimit, hint: number, now: Instant): ConcurrencyLimit {
  return { ...limit, hint: { limit: hint, expiresAt: now + HINT_LIFETIME_MS } };
}

/**
 * Computes the limit that applies now.
 *
 * @param limit - current limit
 * @param now - current instant
 * @returns a whole number between 1 and the slots
 */
export function effectiveLimit(limit: ConcurrencyLimit, now: Instant): number {
  const hintedLimit =
    limit.hint === null || now > limit.hint.expiresAt
      ? limit.limit
      : Math.min(limit.limit, Math.max(limit.hint.limit, limit.limit * HINT_MIN_SHARE));
  return Math.max(1, Math.floor(hintedLimit));
}

/** Adapts the limit to the mean own latency of an interval. */
function adaptToLatency(
  limit: ConcurrencyLimit,
  meanMs: Milliseconds,
  peakRunning: number,
  now: Instant,
): ConcurrencyLimit {
  const { trial } = limit;
  const baselineMs = limit.baselineMs ?? meanMs;
  if (trial !== null && now < trial.endsAt) return limit;
  if (trial !== null && meanMs > trial.latencyBeforeMs * IMPROVED_LATENCY_RATIO) {
    // The lower limit did not reduce the latency, so the service is slow for another reason, and a
    // low limit would only leave slots idle.
    return { ...limit, limit: trial.limitBefore, baselineMs: meanMs, trial: null };
  }
  if (meanMs > baselineMs * OVERCOMMITTED_LATENCY_RATIO && limit.limit > 1) {
    return {
      ...limit,
      limit: Math.max(1, limit.limit * LATENCY_DECREASE_FACTOR),
      baselineMs,
      // Calls that were dispatched under the old limit end within about one latency.
      trial: {
        limitBefore: limit.limit,
        latencyBeforeMs: meanMs,
        endsAt: now + Math.max(TRIAL_MIN_MS, 2 * meanMs),
      },
    };
  }
  const smoothingFactor = meanMs < baselineMs ? BASELINE_FALL_FACTOR : BASELINE_RISE_FACTOR;
  const growth =
    peakRunning >= Math.floor(limit.limit) ? Math.max(1, limit.limit * GROWTH_RATIO) : 0;
  return {
    ...limit,
    limit: Math.min(limit.slots, limit.limit + growth),
    baselineMs: baselineMs + (meanMs - baselineMs) * smoothingFactor,
    trial: null,
  };
}

/**
 * Adapts the limit to the interval that ends now.
 *
 * @param limit - limit with the samples of the interval
 * @param peakRunning - largest number of calls that ran at the same time in the interval
 * @param now - current instant
 * @returns the limit for the next interval
 */
export function adaptLimit(
  limit: ConcurrencyLimit,
  peakRunning: number,
  now: Instant,
): ConcurrencyLimit {
  const { sampleCount, latencySumMs, shedCount } = limit;
  const next: ConcurrencyLimit = { ...limit, sampleCount: 0, latencySumMs: 0, shedCount: 0 };
  if (shedCount > 0) {
    // During a warm-up fewer calls run than this limit permits, and the server shed at that number.
    const limitWhenShed = Math.min(limit.limit, Math.max(1, peakRunning));
    return { ...next, limit: Math.max(1, limitWhenShed * SHED_DECREASE_FACTOR), trial: null };
  }
  if (sampleCount === 0) return next;
  return adaptToLatency(next, latencySumMs / sampleCount, peakRunning, now);
}
