import type { GateLoad } from '../exchange/mesh-call.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** What a sender knows of one gate from its own calls. */
export interface GateView {
  /** Calls of this sender that have no reply yet. */
  readonly outstanding: number;
  /** Last load that the gate told, and when. */
  readonly load: GateLoad | null;
  readonly loadReceivedAt: Instant;
  /** Calls sent since the last load was told. */
  readonly sentSinceLoad: number;
  /** Smoothed share of calls that failed. */
  readonly failureRate: number;
  /** The gate gets no calls before this instant unless there is no other. */
  readonly avoidUntil: Instant;
  /** Since when calls wait there without any reply; null when none does. */
  readonly unansweredSince: Instant | null;
  readonly sentAt: Instant;
}

/** What is known of a gate before the first call. */
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

/** Share of a new sample in the failures. */
const FAILURE_SAMPLE_SHARE = 0.1;

/** Time for which a gate that refused a call gets no more; its queue shortens meanwhile. */
const REFUSAL_PAUSE_MS: Milliseconds = 100;

/** Time for which a gate that cannot be reached gets no more calls. */
const UNREACHABLE_PAUSE_MS: Milliseconds = 500;

/**
 * A gate that answers none of its calls for this time, or for so many running times, is passed
 * over. A host that lost its power closes no connection, and its silence counts as the loss of its
 * link only after 1.1 s, in which it would take the calls of a whole service.
 */
const STALL_MIN_MS: Milliseconds = 300;
const STALL_SERVICE_TIMES = 4;

/** A gate that is passed over is tried again after this time without a call. */
const STALL_RETRY_MS: Milliseconds = 1000;

/** How a call to a gate ended, as far as placement is concerned. */
export type PlacementResult =
  'answered' | 'server-error' | 'refused' | 'failed' | 'unreachable' | 'abandoned';

/**
 * Counts a call that is sent.
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
 * Tells whether a gate leaves its calls without any reply.
 *
 * @param view - the view of the gate
 * @param now - the current instant
 * @returns whether other gates should get the calls
 */
export function isStalled({ unansweredSince, sentAt, load }: GateView, now: Instant): boolean {
  if (unansweredSince === null || now - sentAt >= STALL_RETRY_MS) return false;
  const expectedMs = (load?.serviceTimeMs ?? 0) * STALL_SERVICE_TIMES;
  return now - unansweredSince > Math.max(STALL_MIN_MS, expectedMs);
}

/** A reply shows that the gate answers; a caller that gave up shows nothing. */
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
 * Counts the end of a call.
 *
 * @param view - the view of the gate
 * @param result - how the call ended
 * @param load - load that came with the reply; null without a reply
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
