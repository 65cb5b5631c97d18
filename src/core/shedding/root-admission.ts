import type { Rank } from '../exchange/mesh-call.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** Interval between two changes of the admitted fraction. */
const ADJUST_INTERVAL_MS: Milliseconds = 100;

/** Longest time that one change makes up for; the pressure was another before. */
const MAX_INTERVALS = 2;

/**
 * Relative decrease of the admitted fraction per interval and unit of pressure above the threshold.
 * `docs/decisions/platform-path.md` compares values of the decrease and the increase.
 */
const DECREASE_SHARE = 0.3;

/** Increase per interval: a fixed step, plus this share of the fraction at zero pressure. */
const INCREASE_STEP = 0.02;
const INCREASE_SHARE = 0.4;

/**
 * The same share in a downstream overload. There the pressure shows the effect of an increase only
 * after the requests have made their calls, so a faster one overshoots: what it admits too much loses
 * its calls after others have run.
 */
const DOWNSTREAM_INCREASE_SHARE = 0.15;

/** Fraction that is always admitted; only its replies show that the pressure has dropped. */
const MIN_FRACTION = 0.1;

/**
 * Pressure above which requests of the highest rank are shed. Each lower rank has the threshold of
 * the rank above it multiplied by the ratio, so that the lowest ranks are shed first.
 */
const TOP_RANK_THRESHOLD = 0.5;
const THRESHOLD_RATIO = 0.7;
const MIN_THRESHOLD = 0.05;

/** One step of account priority counts as much as this many steps of route priority. */
const LEVELS_PER_ACCOUNT_PRIORITY = 2;

/** How requests of a rank give way in an overload that other ranks meet too. */
export interface OverloadDuty {
  /** Rank whose threshold of the pressure applies. */
  readonly thresholdRank: Rank;
  /** Whether others give way first, so that the admitted share does not fall. */
  readonly isSpared: boolean;
  /** Whether the overload is further down the call graph. */
  readonly isDownstream: boolean;
}

/** Share of the root requests of one route and account priority that is admitted. */
export interface RootAdmission {
  readonly fraction: number;
  readonly adjustedAt: Instant;
  /** Grows by the fraction with each request; each whole unit admits one request. */
  readonly credit: number;
}

/** Admits all requests. */
export const openAdmission: RootAdmission = { fraction: 1, adjustedAt: 0, credit: 1 };

/** Decision on one root request. */
export interface RootAdmissionStep {
  readonly admission: RootAdmission;
  readonly isAdmitted: boolean;
}

function pressureThreshold({ accountPriority, routePriority }: Rank): number {
  const level = accountPriority * LEVELS_PER_ACCOUNT_PRIORITY + routePriority;
  return Math.max(MIN_THRESHOLD, TOP_RANK_THRESHOLD * THRESHOLD_RATIO ** level);
}

function adjustFraction(
  admission: RootAdmission,
  pressure: number,
  { thresholdRank, isSpared, isDownstream }: OverloadDuty,
  now: Instant,
): RootAdmission {
  const passedMs = now - admission.adjustedAt;
  if (passedMs < ADJUST_INTERVAL_MS) return admission;
  // A node with few requests adjusts the fraction by as much as one with many.
  const intervals = Math.min(MAX_INTERVALS, passedMs / ADJUST_INTERVAL_MS);
  const threshold = pressureThreshold(thresholdRank);
  const increaseShare = isDownstream ? DOWNSTREAM_INCREASE_SHARE : INCREASE_SHARE;
  const excess = isSpared ? Math.min(0, pressure - threshold) : pressure - threshold;
  const fraction =
    excess > 0
      ? Math.max(MIN_FRACTION, admission.fraction * (1 - DECREASE_SHARE * excess) ** intervals)
      : Math.min(
          1,
          admission.fraction * (1 - (increaseShare * excess) / threshold) ** intervals +
            INCREASE_STEP * intervals,
        );
  return { ...admission, fraction, adjustedAt: now };
}

/**
 * Decides whether a root request is admitted. When a service deep in the call graph is overloaded,
 * requests are refused before their first call rather than after their other calls have run.
 *
 * @param before - admission of requests of this route and account priority
 * @param pressure - pressure of the services that such requests use, from 0 to 1
 * @param duty - how requests of this rank give way
 * @param now - the current instant
 * @returns the decision and the next admission
 */
export function admitRoot(
  before: RootAdmission,
  pressure: number,
  duty: OverloadDuty,
  now: Instant,
): RootAdmissionStep {
  const admission = adjustFraction(before, pressure, duty, now);
  const credit = Math.min(2, admission.credit + admission.fraction);
  return credit >= 1
    ? { admission: { ...admission, credit: credit - 1 }, isAdmitted: true }
    : { admission: { ...admission, credit }, isAdmitted: false };
}
