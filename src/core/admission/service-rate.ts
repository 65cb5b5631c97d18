import type { Instant, Milliseconds } from '../model/time.js';

/** Share of a new interval of 100 ms in the estimate; a change shows within about 300 ms. */
const SMOOTHING_FACTOR = 0.3;

/**
 * Completions per busy slot. Unlike the plain completion rate it is also right while slots are
 * idle, so the capacity does not look smaller because demand was thinned.
 */
export interface ServiceRate {
  /** Smoothed completions and busy slot time of an interval. */
  readonly completions: number;
  readonly busyMs: Milliseconds;
  /** The current interval. */
  readonly currentCompletions: number;
  readonly currentBusyMs: Milliseconds;
  readonly startedAt: Instant;
  readonly updatedAt: Instant;
}

/**
 * Starts the estimate.
 *
 * @param now - the current instant
 * @returns an estimate without samples
 */
export function startServiceRate(now: Instant): ServiceRate {
  return {
    completions: 0,
    busyMs: 0,
    currentCompletions: 0,
    currentBusyMs: 0,
    startedAt: now,
    updatedAt: now,
  };
}

/**
 * Adds the slot time since the last change of the number of running calls.
 *
 * @param rate - the estimate
 * @param running - calls that ran since the last change
 * @param now - the current instant
 * @returns the estimate up to now
 */
export function recordBusyTime(rate: ServiceRate, running: number, now: Instant): ServiceRate {
  return {
    ...rate,
    currentBusyMs: rate.currentBusyMs + running * (now - rate.updatedAt),
    updatedAt: now,
  };
}

/**
 * Counts a completion.
 *
 * @param rate - the estimate
 * @returns the estimate with the completion
 */
export function recordCompletion(rate: ServiceRate): ServiceRate {
  return { ...rate, currentCompletions: rate.currentCompletions + 1 };
}

/**
 * Ends an interval.
 *
 * @param rate - the estimate, brought up to now by `recordBusy`
 * @returns the smoothed estimate and an empty interval
 */
export function endInterval(rate: ServiceRate): ServiceRate {
  return {
    ...rate,
    completions: rate.completions + (rate.currentCompletions - rate.completions) * SMOOTHING_FACTOR,
    busyMs: rate.busyMs + (rate.currentBusyMs - rate.busyMs) * SMOOTHING_FACTOR,
    currentCompletions: 0,
    currentBusyMs: 0,
    startedAt: rate.updatedAt,
  };
}

/**
 * Estimates what the backend server completes with all permitted slots busy.
 *
 * @param rate - the estimate
 * @param limit - slots that may be used
 * @returns calls per second, or null while too little is known
 */
export function capacityPerSecond(rate: ServiceRate, limit: number): number | null {
  if (rate.completions < 0.01 || rate.busyMs <= 0) return null;
  return (limit * rate.completions * 1_000) / rate.busyMs;
}

/**
 * Estimates how long a call holds its slot.
 *
 * @param rate - the estimate
 * @returns the mean running time, or 0 while too little is known
 */
export function meanRunTimeMs(rate: ServiceRate): Milliseconds {
  return rate.completions < 0.01 ? 0 : rate.busyMs / rate.completions;
}
