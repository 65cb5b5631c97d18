import { Map as PersistentMap } from 'immutable';
import type { RouteName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';

/**
 * Each success raises the warm-up limit by this much, 10% for each round of calls. A limit below
 * 10 grows by one call for each round; with 10%, a server with 9 calls/s took over 5 s to bear
 * them, and callers inside their rate were refused meanwhile.
 */
const GROWTH_PER_SUCCESS = 0.1;

/** Each refusal or lost connection undoes ten successes, so that the ramp stops at 9% of them. */
const DECREASE_PER_FAILURE = 1;

/** A latency this many times above the usual one is the sign of a cold backend server. */
const COLD_LATENCY_FACTOR = 5;

/**
 * Samples above the factor in a row, and the time that they span, that make a step. One slow
 * call is common, and a pause of this process delays many answers at the same moment; neither is
 * a sign of a new incarnation.
 */
const COLD_LATENCY_SAMPLES = 5;
const COLD_LATENCY_SPAN_MS = 50;

/** Steps between latencies of a few milliseconds are noise of timers and garbage collection. */
const LATENCY_FLOOR_MS = 2;

/** Routes with a usual latency; further ones do not take part in the search for steps. */
const ROUTES_MAX = 64;

/** Share of a new sample in the usual latency. */
const BASELINE_SMOOTHING_FACTOR = 0.05;

/** Limit of a backend server that may be cold. */
export interface WarmUp {
  readonly coldCapacity: number;
  readonly slots: number;
  /** Calls that may run at the same time, not yet rounded down. */
  readonly limit: number;
  /** Counts the falls to the cold capacity; successes of an earlier epoch do not count. */
  readonly epoch: number;
  /** Usual latency by route, since routes of one service differ. */
  readonly baselineMsByRoute: PersistentMap<RouteName, Milliseconds>;
  readonly slowStreak: SlowStreak;
}

/** Samples in a row that are far above the usual latency of their routes. */
interface SlowStreak {
  readonly samples: number;
  /** Sum of the ratios to the usual latency. */
  readonly ratioSum: number;
  readonly startedAt: Instant;
}

const NO_SLOW_STREAK: SlowStreak = { samples: 0, ratioSum: 0, startedAt: 0 };

/** A call that succeeded. */
export interface Success {
  /** Epoch in which the call was dispatched. */
  readonly epoch: number;
  readonly route: RouteName;
  /** Running time without deeper calls. */
  readonly ownLatencyMs: Milliseconds;
  readonly now: Instant;
}

/** Size of a backend server as far as the warm-up needs it. */
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
 * Applies a changed size.
 *
 * @param warmUp - the warm-up
 * @param options - the new slots and cold capacity
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
 * Falls back to the cold capacity.
 *
 * @param warmUp - the warm-up
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
 * Counts a refusal by the backend server or a lost connection.
 *
 * @param warmUp - the warm-up
 * @returns the warm-up, lowered unless the backend server is warm already
 */
export function recordFailure(warmUp: WarmUp): WarmUp {
  return warmUp.limit >= warmUp.slots
    ? warmUp
    : { ...warmUp, limit: Math.max(warmUp.coldCapacity, warmUp.limit - DECREASE_PER_FAILURE) };
}

/** Falls back when the run of slow samples is long enough. */
function extendSlowStreak(warmUp: WarmUp, ratio: number, now: Instant): WarmUp {
  const { samples, ratioSum, startedAt: since } = warmUp.slowStreak;
  const streak: SlowStreak = {
    samples: samples + 1,
    ratioSum: ratioSum + ratio,
    startedAt: samples === 0 ? now : since,
  };
  if (streak.samples < COLD_LATENCY_SAMPLES || now - streak.startedAt < COLD_LATENCY_SPAN_MS) {
    return { ...warmUp, slowStreak: streak };
  }
  // The new level becomes the usual one, or every later sample would be another step.
  const meanRatio = streak.ratioSum / streak.samples;
  return {
    ...restartWarmUp(warmUp),
    baselineMsByRoute: warmUp.baselineMsByRoute.map((usual) => usual * meanRatio),
  };
}

/**
 * Counts a success.
 *
 * @param warmUp - the warm-up
 * @param success - the call that succeeded
 * @returns the warm-up, grown, or at the cold capacity after a step in latency
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
