import type { Instant, Milliseconds } from '../model/time.js';
import type { RetryBound } from '../settings/sidecar-settings.js';

/**
 * Fraction of the bound that is used. The calls that a retried request makes also count as retries
 * at downstream services, where this node cannot count them.
 */
const USED_SHARE = 0.4;

/** Length of a counting slot; slots keep the list of a window short. */
const SLOT_MS: Milliseconds = 1000;

/** Number of requests and retries within one slot of time. */
interface Slot {
  readonly startedAt: Instant;
  readonly requests: number;
  readonly retries: number;
}

/** Requests and retries of one service at one node by time slot. */
export interface RetryBudget {
  /** Slot that is being counted; null before the first request. */
  readonly current: Slot | null;
  /** Slots of the window before it, oldest first. */
  readonly past: readonly Slot[];
}

/** A budget without requests. */
export const emptyRetryBudget: RetryBudget = { current: null, past: [] };

function listSlots({ current, past }: RetryBudget): readonly Slot[] {
  return current === null ? past : [...past, current];
}

function addCounts(
  budget: RetryBudget,
  requests: number,
  retries: number,
  { windowMs }: RetryBound,
  now: Instant,
): RetryBudget {
  const { current, past } = budget;
  if (current !== null && now - current.startedAt < SLOT_MS) {
    const next = {
      startedAt: current.startedAt,
      requests: current.requests + requests,
      retries: current.retries + retries,
    };
    return { current: next, past };
  }
  return {
    current: { startedAt: now, requests, retries },
    past: listSlots(budget).filter(({ startedAt }) => now - startedAt < windowMs + SLOT_MS),
  };
}

/**
 * Counts a first send of a request.
 *
 * @param budget - the budget of its service
 * @param bound - bound over all nodes
 * @param now - the current instant
 * @returns the next budget
 */
export function recordRequest(budget: RetryBudget, bound: RetryBound, now: Instant): RetryBudget {
  return addCounts(budget, 1, 0, bound, now);
}

/** Whether a retry is granted, and the budget after it. */
export interface RetryGrant {
  readonly isGranted: boolean;
  readonly budget: RetryBudget;
}

/** Part of a node in the bound that all nodes share. */
export interface BudgetShare {
  readonly nodes: number;
  /**
   * Fraction from 0 to 1 that is added to the allowed number before it is rounded down, different
   * at each node. The sum over many nodes then is the sum of their exact shares, also where each
   * share is below one.
   */
  readonly offset: number;
}

/**
 * Takes a retry from the budget if one is left. Each node may use the ratio of its own requests
 * and an equal share of the slack.
 *
 * @param budget - the budget of the service
 * @param bound - bound over all nodes
 * @param share - part of this node in the bound
 * @param now - the current instant
 * @returns whether the request may be sent again, and the next budget
 */
export function acquireRetry(
  budget: RetryBudget,
  bound: RetryBound,
  { nodes, offset }: BudgetShare,
  now: Instant,
): RetryGrant {
  const recent = listSlots(budget).filter(({ startedAt }) => now - startedAt < bound.windowMs);
  const requests = recent.reduce((sum, slot) => sum + slot.requests, 0);
  const retries = recent.reduce((sum, slot) => sum + slot.retries, 0);
  const allowed = USED_SHARE * (bound.ratio * requests + bound.slack / Math.max(1, nodes));
  return retries + 1 > allowed + offset
    ? { isGranted: false, budget }
    : { isGranted: true, budget: addCounts(budget, 0, 1, bound, now) };
}
