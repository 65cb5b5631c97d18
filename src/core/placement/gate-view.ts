import type { GateLoad } from '../exchange/mesh-call.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** What a sender knows about one gate from its own calls. */
export interface GateView {
  /** Calls of this sender without a reply. */
  readonly outstanding: number;
  /** Last load that the gate reported; null before the first report. */
  readonly load: GateLoad | null;
  readonly loadReceivedAt: Instant;
  /** Calls sent since the last load report. */
  readonly sentSinceLoad: number;
  /** Smoothed share of calls that failed. */
  readonly failureRate: number;
  /** The gate is avoided until this instant unless there is no other. */
  readonly avoidUntil: Instant;
  /** Since when calls have been waiting without any reply; null when none are. */
  readonly unansweredSince: Instant | null;
  readonly sentAt: Instant;
}

/** View of a gate before the first call. */
export const initialGateView: GateView = {
  outstanding: 0,
  load: null,
  loadReceivedAt: Number.NEGATIVE_INFINITY,
  sentSinceLoad: 0,
  failureRate: 0,
  avoidUntil: Number.NEGATIVE_INFINITY,
  unansweredSince: null,
  sentAt: Number.NEGATIVE_INFINITY,
};

/** Weight of a new sample in the failure rate. */
const FAILURE_SAMPLE_SHARE = 0.1;

/** Time for which a gate is avoided after a refusal, so that its queue can shorten. */
const REFUSAL_PAUSE_MS: Milliseconds = 100;

/** Time for which a gate is avoided after it could not be reached. */
const UNREACHABLE_PAUSE_MS: Milliseconds = 500;

/**
 * A gate that answers none of its calls for the longer of this time and this many service times is
 * avoided. A host that loses power closes no connections, and its link is declared lost only after
 * 1.1 s, during which it could receive all calls of a service.
 */
const STALL_MIN_MS: Milliseconds = 300;
const STALL_SERVICE_TIMES = 4;

/** A stalled gate is tried again after this time without a call. */
const STALL_RETRY_MS: Milliseconds = 1000;

/** Result of a call to a gate, as far as placement needs it. */
export type PlacementResult =
  'answered' | 'server-error' | 'refused' | 'failed' | 'unreachable' | 'abandoned';

/**
 * Records that a call was sent.
 *
 * @param view - the view of the gate
 * @param now - the current instant
 * @returns the next view
 */
export function recordSent(view: GateView, now: Instant): GateView {
  return {
    ...view,
    outstanding: view.outstanding + 1,
    sentSinceLoad: view.sentSinceLoad + 1,
    unansweredSince: view.unansweredSince ?? now,
    sentAt: now,
  };
}

/**
 * Checks whether a gate has stalled, that is, replies to none of its calls.
 *
 * @param view - the view of the gate
 * @param now - the current instant
 * @returns whether the gate has stalled
 */
export function isStalled({ unansweredSince, sentAt, load }: GateView, now: Instant): boolean {
  if (unansweredSince === null || now - sentAt >= STALL_RETRY_MS) return false;
  const expectedMs = (load?.serviceTimeMs ?? 0) * STALL_SERVICE_TIMES;
  return now - unansweredSince > Math.max(STALL_MIN_MS, expectedMs);
}

/** A reply proves that the gate answers; a call abandoned by its caller proves nothing. */
function nextUnansweredSince(
  view: GateView,
  result: PlacementResult,
  hasReplied: boolean,
  now: Instant,
): Instant | null {
  if (hasReplied) return view.outstanding > 1 ? now : null;
  return result === 'unreachable' ? null : view.unansweredSince;
}

function avoidanceTime(result: PlacementResult): Milliseconds {
  switch (result) {
    case 'answered':
    case 'server-error':
    case 'failed':
    case 'abandoned':
      return 0;
    case 'refused':
      return REFUSAL_PAUSE_MS;
    case 'unreachable':
      return UNREACHABLE_PAUSE_MS;
  }
}

/**
 * Records that a call ended.
 *
 * @param view - the view of the gate
 * @param result - result of the call
 * @param load - load reported with the reply; null without a reply
 * @param now - the current instant
 * @returns the next view
 */
export function recordEnd(
  view: GateView,
  result: PlacementResult,
  load: GateLoad | null,
  now: Instant,
): GateView {
  const isFailure = result === 'failed' || result === 'server-error';
  const sample = isFailure ? 1 : 0;
  const isSampled = result === 'answered' || isFailure;
  return {
    outstanding: Math.max(0, view.outstanding - 1),
    load: load ?? view.load,
    loadReceivedAt: load === null ? view.loadReceivedAt : now,
    sentSinceLoad: load === null ? view.sentSinceLoad : 0,
    failureRate: isSampled
      ? view.failureRate + (sample - view.failureRate) * FAILURE_SAMPLE_SHARE
      : view.failureRate,
    avoidUntil: Math.max(view.avoidUntil, now + avoidanceTime(result)),
    unansweredSince: nextUnansweredSince(view, result, load !== null, now),
    sentAt: view.sentAt,
  };
}
