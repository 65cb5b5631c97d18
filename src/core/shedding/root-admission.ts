import type { Rank } from '../exchange/mesh-call.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** How often the admitted fraction changes. */
const ADJUST_INTERVAL_MS: Milliseconds = 100;

const DECREASE_FACTOR = 0.9;
const INCREASE_STEP = 0.03;
const MIN_FRACTION = 0.05;

/** Pressure at which requests of rank 0 are refused; each further rank gives way earlier. */
const HIGHEST_THRESHOLD = 0.6;
const THRESHOLD_STEP = 0.12;
const MIN_THRESHOLD = 0.1;

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

function thresholdOf({ accountPriority, routePriority }: Rank): number {
  return Math.max(
    MIN_THRESHOLD,
    HIGHEST_THRESHOLD - THRESHOLD_STEP * (accountPriority + routePriority),
  );
}

function adjusted(
  admission: RootAdmission,
  pressure: number,
  rank: Rank,
  now: Instant,
): RootAdmission {
  if (now - admission.adjustedAt < ADJUST_INTERVAL_MS) return admission;
  const isPressed = pressure > thresholdOf(rank);
  const fraction = isPressed
    ? Math.max(MIN_FRACTION, admission.fraction * DECREASE_FACTOR)
    : Math.min(1, admission.fraction + INCREASE_STEP);
  return { ...admission, fraction, adjustedAt: now };
}

/**
 * Decides whether a new request is let in. It answers a load in which a service deep in the call
 * graph is full: a request whose last call would be refused is refused before its first.
 *
 * @param before - admission of requests of this kind
 * @param pressure - pressure of the services that such requests use, from 0 to 1
 * @param rank - rank of the request
 * @param now - the current instant
 * @returns the decision and the next admission
 */
export function admitRoot(
  before: RootAdmission,
  pressure: number,
  rank: Rank,
  now: Instant,
): RootAdmissionStep {
  const admission = adjusted(before, pressure, rank, now);
  const credit = Math.min(2, admission.credit + admission.fraction);
  return credit >= 1
    ? { admission: { ...admission, credit: credit - 1 }, isAdmitted: true }
    : { admission: { ...admission, credit }, isAdmitted: false };
}
