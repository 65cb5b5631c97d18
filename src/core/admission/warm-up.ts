import { Map as PersistentMap } from 'immutable';
import type { RouteName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';

/**
 * Increase of the warm-up limit for each success, which is 10% for each round of calls. A limit
 * below 10 grows by one call for each round instead: with 10%, a server with a load of 9 calls/s
 * took over 5 s to reach it, and callers within their rate were refused in the meantime.
 */
const GROWTH_PER_SUCCESS = 0.1;

/**
 * Decrease for each shed call or lost connection. It undoes ten successes, so the limit stops
 * growing when 9% of the calls fail.
 */
const DECREASE_PER_FAILURE = 1;

/** Ratio to the baseline latency from which a sample indicates a cold backend server. */
const COLD_LATENCY_FACTOR = 5;

/**
 * Number of consecutive samples above the factor, and the time span, from which the latency counts
 * as having risen in a step. A single slow call is common, and a pause of this process delays many
 * answers at the same moment; neither indicates a new incarnation.
 */
const COLD_LATENCY_SAMPLES = 5;
const COLD_LATENCY_SPAN_MS = 50;

/** Smallest latency sample; differences below it come from timers and garbage collection. */
const LATENCY_FLOOR_MS = 2;

/** Largest number of routes with a baseline; steps in latency of other routes are not detected. */
const ROUTES_MAX = 64;

/** Smoothing factor of the baseline latency for each sample. */
const BASELINE_SMOOTHING_FACTOR = 0.05;

/** Limit on running calls that grows with the successes of a backend server after a cold start. */
export interface WarmUp {
  readonly coldCapacity: number;
  readonly slots: number;
  /** Number of calls that may run at the same time, before rounding down. */
  readonly limit: number;
  /** Number of restarts of the warm-up; successes of calls from an earlier epoch do not count. */
  readonly epoch: number;
  /** Baseline latency by route, since the routes of one service differ. */
  readonly baselineMsByRoute: PersistentMap<RouteName, Milliseconds>;
  readonly slowStreak: SlowStreak;
}

/** Consecutive samples far above the baseline latency of their routes. */
interface SlowStreak {
  readonly samples: number;
  /** Sum of the ratios of the samples to the baseline latency. */
  readonly ratioSum: number;
  readonly startedAt: Instant;
}

const NO_SLOW_STREAK: SlowStreak = { samples: 0, ratioSum: 0, startedAt: 0 };

/** A call that succeeded. */
export interface Success {
  /** Warm-up epoch in which the call was dispatched. */
  readonly epoch: number;
  readonly route: RouteName;
  /** Running time without the time of nested calls. */
  readonly ownLatencyMs: Milliseconds;
  readonly now: Instant;
}

/** Slots and cold capacity of a backend server. */
export interface WarmUpOptions {
  readonly coldCapacity: number;
  readonly slots: number;
}

/**
 * Starts the warm-up of a backend server that is treated as cold.
 *
 * @param options - slots and cold capacity
 * @returns the warm-up at the cold capacity
 */
export function startWarmUp({ coldCapacity, slots }: WarmUpOptions): WarmUp {
  const coldLimit = Math.max(1, Math.min(coldCapacity, slots));
  return {
    coldCapacity: coldLimit,
    slots,
    limit: coldLimit,
    epoch: 0,
    baselineMsByRoute: PersistentMap(),
    slowStreak: NO_SLOW_STREAK,
  };
}

/**
 * Applies changed slots and cold capacity.
 *
 * @param warmUp - current warm-up
 * @param options - new slots and cold capacity
 * @returns the warm-up, with a limit between cold capacity and slots
 */
export function resizeWarmUp(warmUp: WarmUp, options: WarmUpOptions): WarmUp {
  const { coldCapacity, slots } = startWarmUp(options);
  return {
    ...warmUp,
    coldCapacity,
    slots,
    limit: Math.min(slots, Math.max(coldCapacity, warmUp.limit)),
  };
}

/**
 * Restarts the warm-up at the cold capacity.
 *
 * @param warmUp - current warm-up
 * @returns the warm-up at the cold capacity, in a new epoch
 */
export function restartWarmUp(warmUp: WarmUp): WarmUp {
  return {
    ...warmUp,
    limit: warmUp.coldCapacity,
    epoch: warmUp.epoch + 1,
    slowStreak: NO_SLOW_STREAK,
  };
}

/**
 * Counts a call that the backend server shed, or a lost connection.
 *
 * @param warmUp - current warm-up
 * @returns the warm-up with a lower limit, or unchanged when the limit has reached the slots
 */
export function recordFailure(warmUp: WarmUp): WarmUp {
  return warmUp.limit >= warmUp.slots
    ? warmUp
    : { ...warmUp, limit: Math.max(warmUp.coldCapacity, warmUp.limit - DECREASE_PER_FAILURE) };
}

/** Adds a slow sample to the streak, and restarts the warm-up when the streak is long enough. */
function extendSlowStreak(warmUp: WarmUp, ratio: number, now: Instant): WarmUp {
  const { samples, ratioSum, startedAt } = warmUp.slowStreak;
  const streak: SlowStreak = {
    samples: samples + 1,
    ratioSum: ratioSum + ratio,
    startedAt: samples === 0 ? now : startedAt,
  };
  if (streak.samples < COLD_LATENCY_SAMPLES || now - streak.startedAt < COLD_LATENCY_SPAN_MS) {
    return { ...warmUp, slowStreak: streak };
  }
  // The baseline moves to the new level; otherwise later samples would restart the warm-up again.
  const meanRatio = streak.ratioSum / streak.samples;
  return {
    ...restartWarmUp(warmUp),
    baselineMsByRoute: warmUp.baselineMsByRoute.map((usual) => usual * meanRatio),
  };
}

/**
 * Counts a success.
 *
 * @param warmUp - current warm-up
 * @param success - call that succeeded
 * @returns the warm-up with a higher limit, or at the cold capacity after a step in latency
 */
export function recordSuccess(
  warmUp: WarmUp,
  { epoch, route, ownLatencyMs, now }: Success,
): WarmUp {
  if (epoch !== warmUp.epoch) return warmUp;
  const sample = Math.max(LATENCY_FLOOR_MS, ownLatencyMs);
  const usual = warmUp.baselineMsByRoute.get(route) ?? sample;
  if (sample >= usual * COLD_LATENCY_FACTOR) return extendSlowStreak(warmUp, sample / usual, now);
  const isTracked =
    warmUp.baselineMsByRoute.has(route) || warmUp.baselineMsByRoute.size < ROUTES_MAX;
  return {
    ...warmUp,
    limit: Math.min(warmUp.slots, warmUp.limit + Math.max(GROWTH_PER_SUCCESS, 1 / warmUp.limit)),
    baselineMsByRoute: isTracked
      ? warmUp.baselineMsByRoute.set(route, usual + (sample - usual) * BASELINE_SMOOTHING_FACTOR)
      : warmUp.baselineMsByRoute,
    slowStreak: NO_SLOW_STREAK,
  };
}
