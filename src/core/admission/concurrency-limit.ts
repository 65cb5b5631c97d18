import type { Instant, Milliseconds } from '../model/time.js';

/** Decrease after an interval in which the backend server shed calls. */
const SHED_DECREASE_FACTOR = 0.85;

/** Decrease while the own latency is too high. */
const LATENCY_DECREASE_FACTOR = 0.8;

/** Own latency above this multiple of the baseline suggests that the server is overcommitted. */
const OVERCOMMITTED_LATENCY_RATIO = 2;

/** A lower limit has helped when the latency fell at least to this share of what it was. */
const IMPROVED_LATENCY_RATIO = 0.9;

/** Growth for each interval in which the limit was reached. */
const GROWTH_RATIO = 0.05;

const BASELINE_FALL_FACTOR = 0.3;

/**
 * The baseline follows a lasting rise within minutes. At 0.01, that is within 10 s, it took on the
 * latency of an overcommitted server, and the limit rose back to the slots.
 */
const BASELINE_RISE_FACTOR = 0.001;

/** Shortest time until the effect of a lower limit is judged. */
const TRIAL_MIN_MS = 200;

/** Load endpoints lag, so what they said holds only this long. */
const HINT_LIFETIME_MS = 1_000;

/** Load endpoints mislead, so a hint takes away at most half of the limit. */
const HINT_MIN_SHARE = 0.5;

/** A decrease whose effect is still to be judged. */
interface Trial {
  readonly limitBefore: number;
  readonly latencyBeforeMs: Milliseconds;
  readonly endsAt: Instant;
}

/** Limit on the calls that run in the backend server at the same time. */
export interface ConcurrencyLimit {
  readonly slots: number;
  /** Between 1 and the slots, not yet rounded down. */
  readonly limit: number;
  readonly baselineMs: Milliseconds | null;
  readonly trial: Trial | null;
  readonly hint: { readonly limit: number; readonly expiresAt: Instant } | null;
  /** Samples of the current interval. */
  readonly sampleCount: number;
  readonly latencySumMs: Milliseconds;
  readonly shedCount: number;
}

/**
 * Starts at all slots; the warm-up keeps the first load low.
 *
 * @param slots - calls that the backend server can run at the same time
 * @returns the limit
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
 * Applies a changed number of slots. The limit keeps its share of the slots.
 *
 * @param limit - the limit
 * @param slots - the new number
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
 * @param limit - the limit
 * @param ownLatencyMs - running time without deeper calls
 * @returns the limit with the sample
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
 * @param limit - the limit
 * @returns the limit with the shed
 */
export function recordShed(limit: ConcurrencyLimit): ConcurrencyLimit {
  return { ...limit, shedCount: limit.shedCount + 1 };
}

/**
 * Records what a health or load endpoint says.
 *
 * @param limit - the limit
 * @param hint - calls that the server says it can run
 * @param now - the current instant
 * @returns the limit with the hint
 */
export function recordHint(limit: ConcurrencyLimit, hint: number, now: Instant): ConcurrencyLimit {
  return { ...limit, hint: { limit: hint, expiresAt: now + HINT_LIFETIME_MS } };
}

/**
 * Reads the limit that is in force.
 *
 * @param limit - the limit
 * @param now - the current instant
 * @returns a whole number between 1 and the slots
 */
export function effectiveLimit(limit: ConcurrencyLimit, now: Instant): number {
  const hintedLimit =
    limit.hint === null || now > limit.hint.expiresAt
      ? limit.limit
      : Math.min(limit.limit, Math.max(limit.hint.limit, limit.limit * HINT_MIN_SHARE));
  return Math.max(1, Math.floor(hintedLimit));
}

/** What the limit becomes for the mean own latency of an interval. */
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
    // Fewer calls at a time did not make them faster: the service is slow by itself, and a low
    // limit would only waste slots.
    return { ...limit, limit: trial.limitBefore, baselineMs: meanMs, trial: null };
  }
  if (meanMs > baselineMs * OVERCOMMITTED_LATENCY_RATIO && limit.limit > 1) {
    return {
      ...limit,
      limit: Math.max(1, limit.limit * LATENCY_DECREASE_FACTOR),
      baselineMs,
      // Calls that were dispatched under the old limit end within about their latency.
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
 * @param limit - the limit with the samples of the interval
 * @param peakRunning - the most calls that ran at the same time in the interval
 * @param now - the current instant
 * @returns the limit for the next interval
 */
export function adaptLimit(
  limit: ConcurrencyLimit,
  peakRunning: number,
  now: Instant,
): ConcurrencyLimit {
  const { sampleCount: samples, latencySumMs: sumMs, shedCount: sheds } = limit;
  const next: ConcurrencyLimit = { ...limit, sampleCount: 0, latencySumMs: 0, shedCount: 0 };
  if (sheds > 0) {
    // While the warm-up is the lower limit, the server sheds at what ran, not at this limit.
    const limitWhenShed = Math.min(limit.limit, Math.max(1, peakRunning));
    return { ...next, limit: Math.max(1, limitWhenShed * SHED_DECREASE_FACTOR), trial: null };
  }
  if (samples === 0) return next;
  return adaptToLatency(next, sumMs / samples, peakRunning, now);
}
