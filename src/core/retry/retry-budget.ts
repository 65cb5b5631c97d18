import type { Instant, Milliseconds } from '../model/time.js';
import type { RetryBound } from '../settings/sidecar-settings.js';

/**
 * Part of the bound that is used. Calls that a repeated request makes count as repeats at the
 * services below, which this node does not see.
 */
const USED_SHARE = 0.4;

/** Requests are counted in slots of this length, so that a window is a short list. */
const SLOT_MS: Milliseconds = 1000;

/** Requests and repeats within one slot of time. */
interface Slot {
  readonly startedAt: Instant;
  readonly requests: number;
  readonly repeats: number;
}

/** Requests and repeats of one service as seen by one node, oldest first. */
export type RetryBudget = readonly Slot[];

/** A budget without requests. */
export const emptyRetryBudget: RetryBudget = [];

function addCounts(
  budget: RetryBudget,
  requests: number,
  repeats: number,
  { windowMs }: RetryBound,
  now: Instant,
): RetryBudget {
  const last = budget.at(-1);
  if (last !== undefined && now - last.startedAt < SLOT_MS) {
    const updated = {
      ...last,
      requests: last.requests + requests,
      repeats: last.repeats + repeats,
    };
    return [...budget.slice(0, -1), updated];
  }
  const kept = budget.filter(({ startedAt }) => now - startedAt < windowMs + SLOT_MS);
  return [...kept, { startedAt: now, requests, repeats }];
}

/**
 * Counts a request.
 *
 * @param budget - the budget of its service
 * @param bound - bound over all nodes
 * @param now - the current instant
 * @returns the next budget
 */
export function recordRequest(budget: RetryBudget, bound: RetryBound, now: Instant): RetryBudget {
  return addCounts(budget, 1, 0, bound, now);
}

/** Outcome of asking for a repeat. */
export interface RetryGrant {
  readonly isGranted: boolean;
  readonly budget: RetryBudget;
}

/**
 * Asks for a repeat. Each node has the part of the bound that its own requests make up, and an
 * equal part of the slack.
 *
 * @param budget - the budget of the service
 * @param bound - bound over all nodes
 * @param nodes - number of nodes
 * @param now - the current instant
 * @returns whether the request may be sent once more, and the next budget
 */
export function acquireRepeat(
  budget: RetryBudget,
  bound: RetryBound,
  nodes: number,
  now: Instant,
): RetryGrant {
  const recent = budget.filter(({ startedAt }) => now - startedAt < bound.windowMs);
  const requests = recent.reduce((sum, slot) => sum + slot.requests, 0);
  const repeats = recent.reduce((sum, slot) => sum + slot.repeats, 0);
  const allowed = USED_SHARE * (bound.ratio * requests + bound.slack / Math.max(1, nodes));
  return repeats + 1 > allowed
    ? { isGranted: false, budget }
    : { isGranted: true, budget: addCounts(budget, 0, 1, bound, now) };
}
