import type { Instant, Milliseconds } from '../model/time.js';

/** Smoothing factor for each interval of 100 ms; a change shows within about 300 ms. */
const SMOOTHING_FACTOR = 0.3;

/**
 * Estimate of the completions per busy slot time. Unlike the completion rate, it does not fall
 * while slots are idle, so refusals at the entries do not lower the estimated capacity.
 */
export interface ServiceRate {
  /** Completions and busy slot time of an interval, smoothed. */
  readonly completions: number;
  readonly busyMs: Milliseconds;
  /** Completions and busy slot time of the current interval so far. */
  readonly currentCompletions: number;
  readonly currentBusyMs: Milliseconds;
  readonly startedAt: Instant;
  readonly updatedAt: Instant;
}

/**
 * Starts the estimate.
 *
 * @param now - current instant
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
 * Adds the slot time that was used since the last update.
 *
 * @param rate - current estimate
 * @param running - number of calls that ran since the last update
 * @param now - current instant
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
 * @param rate - current estimate
 * @returns the estimate with the completion counted
 */
export function recordCompletion(rate: ServiceRate): ServiceRate {
  return { ...rate, currentCompletions: rate.currentCompletions + 1 };
}

/**
 * Ends an interval and adds it to the smoothed values.
 *
 * @param rate - estimate, updated to the current instant by `recordBusyTime`
 * @returns the smoothed estimate with an empty current interval
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
 * Estimates the throughput of the backend server with all permitted slots busy.
 *
 * @param rate - current estimate
 * @param limit - number of slots that may be used
 * @returns calls per second, or null while there are too few completions
 */
export function capacityPerSecond(rate: ServiceRate, limit: number): number | null {
  if (rate.completions < 0.01 || rate.busyMs <= 0) return null;
  return (limit * rate.completions * 1_000) / rate.busyMs;
}

/**
 * Estimates how long a call holds its slot.
 *
 * @param rate - current estimate
 * @returns the mean running time in milliseconds, or 0 while there are too few completions
 */
export function meanRunTimeMs(rate: ServiceRate): Milliseconds {
  return rate.completions < 0.01 ? 0 : rate.busyMs / rate.completions;
}
