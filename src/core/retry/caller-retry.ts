import { OrderedMap } from 'immutable';
import type { Caller } from '../model/call.js';
import { callerKey, type CallerKey } from '../model/caller-key.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** Repeats that a caller may send at once. */
const BUCKET_TOKENS = 10;

/** Repeats that each first request pays for. */
const TOKENS_PER_REQUEST = 0.2;

/** An equal request later than this after the failure is a new request. */
const REPEAT_WINDOW_MS: Milliseconds = 30_000;

/**
 * Failed requests remembered for one caller. When there are more, the oldest is forgotten and
 * its repeat passes as a first request, so the memory errs towards serving.
 */
const FAILED_MAX = 512;

/** Callers remembered; the one without requests for the longest time is forgotten first. */
const CALLERS_MAX = 1_024;

/** Retry budget of one caller at this entry. */
interface Budget {
  readonly tokens: number;
  /** Instant of the last failure by fingerprint, the oldest first. */
  readonly failed: OrderedMap<string, Instant>;
}

/** Retry budgets of the callers at this entry, the longest unused first. */
export interface CallerRetries {
  readonly budgets: OrderedMap<CallerKey, Budget>;
}

/** A root request that arrives, or whose result is known. */
export interface RootRequest {
  readonly caller: Caller;
  readonly fingerprint: string;
  readonly now: Instant;
}

/** Whether a root request may go on. */
export interface RetryDecision {
  readonly state: CallerRetries;
  readonly isRepeat: boolean;
  readonly isAdmitted: boolean;
}

/** No caller is known; each starts with a full bucket. */
export const INITIAL_CALLER_RETRIES: CallerRetries = { budgets: OrderedMap() };

const NEW_BUDGET: Budget = { tokens: BUCKET_TOKENS, failed: OrderedMap() };

function withBudget({ budgets }: CallerRetries, key: CallerKey, budget: Budget): CallerRetries {
  const next = budgets.delete(key).set(key, budget);
  return { budgets: next.size <= CALLERS_MAX ? next : next.delete(next.keySeq().first(key)) };
}

/** Whether the caller's equal request failed shortly before. */
function isRecentFailure({ failed }: Budget, { fingerprint, now }: RootRequest): boolean {
  const at = failed.get(fingerprint);
  return at !== undefined && now - at <= REPEAT_WINDOW_MS;
}

/**
 * Decides whether a root request may go on. A first request gains tokens for repeats, a repeat of
 * a failed request costs one.
 *
 * @param state - budgets of the callers
 * @param request - the request
 * @returns the new state and whether the request is admitted
 */
export function admitRoot(state: CallerRetries, request: RootRequest): RetryDecision {
  const key = callerKey(request.caller);
  const budget = state.budgets.get(key) ?? NEW_BUDGET;
  const isRepeat = isRecentFailure(budget, request);
  if (isRepeat && budget.tokens < 1) return { state, isRepeat, isAdmitted: false };
  const tokens = isRepeat
    ? budget.tokens - 1
    : Math.min(BUCKET_TOKENS, budget.tokens + TOKENS_PER_REQUEST);
  return { state: withBudget(state, key, { ...budget, tokens }), isRepeat, isAdmitted: true };
}

/**
 * Records the result of a root request that was admitted.
 *
 * @param state - budgets of the callers
 * @param request - the request, with the instant of its result
 * @param hasSucceeded - whether the caller got the answer of the service
 * @returns the new state
 */
export function recordRootResult(
  state: CallerRetries,
  request: RootRequest,
  hasSucceeded: boolean,
): CallerRetries {
  const key = callerKey(request.caller);
  const budget = state.budgets.get(key) ?? NEW_BUDGET;
  if (hasSucceeded && !budget.failed.has(request.fingerprint)) return state;
  const others = budget.failed.delete(request.fingerprint);
  const failed = hasSucceeded ? others : others.set(request.fingerprint, request.now);
  const bounded = failed.size <= FAILED_MAX ? failed : failed.delete(failed.keySeq().first(''));
  return withBudget(state, key, { ...budget, failed: bounded });
}
