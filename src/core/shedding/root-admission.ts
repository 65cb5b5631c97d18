import type { Rank } from '../exchange/mesh-call.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** How often the admitted fraction changes. */
const ADJUST_INTERVAL_MS: Milliseconds = 100;

/**
 * Part of the admitted fraction that is taken back in each interval for a whole unit of pressure
 * above the threshold. This and the growth are compared in `docs/decisions/platform-path.md`.
 */
const DECREASE_SHARE = 0.3;

/** Growth in each interval: a fixed step, and without pressure this part of what is let in. */
const INCREASE_STEP = 0.02;
const INCREASE_SHARE = 0.4;

/** Fraction that is always let in, since only its replies show that the pressure has gone. */
const MIN_FRACTION = 0.1;

/**
 * Pressure at which requests of the highest rank are refused. Each lower rank gives way at this
 * share of the pressure of the rank above it, so that the lowest ranks carry the shedding.
 */
const TOP_RANK_THRESHOLD = 0.5;
const THRESHOLD_RATIO = 0.7;
const MIN_THRESHOLD = 0.05;

/** The rank of the account goes before the rank of the route. */
const LEVELS_PER_ACCOUNT_PRIORITY = 2;

/** Share of new requests of one kind that is let in. */
export interface RootAdmission {
  readonly fraction: number;
  readonly adjustedAt: Instant;
  /** Grows by the fraction with each request; a request is let in for each whole unit. */
  readonly credit: number;
}

/** Everything is let in. */
export const openAdmission: RootAdmission = { fraction: 1, adjustedAt: 0, credit: 1 };

/** Whether a new request is let in. */
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
  rank: Rank,
  isProtected: boolean,
  now: Instant,
): RootAdmission {
  if (now - admission.adjustedAt < ADJUST_INTERVAL_MS) return admission;
  const threshold = pressureThreshold(rank);
  const excess = isProtected ? Math.min(0, pressure - threshold) : pressure - threshold;
  const fraction =
    excess > 0
      ? Math.max(MIN_FRACTION, admission.fraction * (1 - DECREASE_SHARE * excess))
      : Math.min(
          1,
          admission.fraction * (1 - (INCREASE_SHARE * excess) / threshold) + INCREASE_STEP,
        );
  return { ...admission, fraction, adjustedAt: now };
}

/**
 * Decides whether a new request is let in. It answers a load in which a service deep in the call
 * graph is full: a request whose last call would be refused is refused before its first.
 *
 * @param before - admission of requests of this kind
 * @param pressure - pressure of the services that such requests use, from 0 to 1
 * @param rank - rank of the request
 * @param isProtected - whether less important requests still have room to give
 * @param now - the current instant
 * @returns the decision and the next admission
 */
export function admitRoot(
  before: RootAdmission,
  pressure: number,
  rank: Rank,
  isProtected: boolean,
  now: Instant,
): RootAdmissionStep {
  const admission = adjustFraction(before, pressure, rank, isProtected, now);
  const credit = Math.min(2, admission.credit + admission.fraction);
  return credit >= 1
    ? { admission: { ...admission, credit: credit - 1 }, isAdmitted: true }
    : { admission: { ...admission, credit }, isAdmitted: false };
}
