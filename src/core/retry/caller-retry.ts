import { OrderedMap } from 'immutable';
import type { Caller } from '../model/call.js';
import { callerKey, type CallerKey } from '../model/caller-key.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** Size of a caller's token bucket: repeats that it may send at once. */
const BUCKET_TOKENS = 10;

/** Tokens that each first request adds. */
const TOKENS_PER_REQUEST = 0.2;

/** An equal request counts as a repeat for this time after the failure. */
const REPEAT_WINDOW_MS: Milliseconds = 30_000;

/**
 * Maximum number of failed requests stored for one caller. Above it, the oldest is evicted and its
 * repeat counts as a first request, so that the limit never refuses a request wrongly.
 */
const FAILED_MAX = 512;

/** Maximum number of callers with a budget; the least recently active one is evicted first. */
const CALLERS_MAX = 1_024;

/** Retry budget of one caller at this entry. */
interface Budget {
  readonly tokens: number;
  /** Instant of the last failure by fingerprint, oldest first. */
  readonly failed: OrderedMap<string, Instant>;
}

/** Retry budgets of the callers at this entry, least recently used first. */
export interface CallerRetries {
  readonly budgets: OrderedMap<CallerKey, Budget>;
}

/** A root request at its arrival or at its result. */
export interface RootRequest {
  readonly caller: Caller;
  readonly fingerprint: string;
  readonly now: Instant;
}

/** Decision whether a root request may proceed. */
export interface RetryDecision {
  readonly state: CallerRetries;
  readonly isRepeat: boolean;
  readonly isAdmitted: boolean;
}

/** State without callers; each caller starts with a full bucket. */
export const INITIAL_CALLER_RETRIES: CallerRetries = { budgets: OrderedMap() };

const NEW_BUDGET: Budget = { tokens: BUCKET_TOKENS, failed: OrderedMap() };

function withBudget({ budgets }: CallerRetries, key: CallerKey, budget: Budget): CallerRetries {
  const next = budgets.delete(key).set(key, budget);
  return { budgets: next.size <= CALLERS_MAX ? next : next.delete(next.keySeq().first(key)) };
}

/** Checks whether an equal request of the caller failed within the repeat window. */
function isRecentFailure({ failed }: Budget, { fingerprint, now }: RootRequest): boolean {
  const at = failed.get(fingerprint);
  return at !== undefined && now - at <= REPEAT_WINDOW_MS;
}

/**
 * Decides whether a root request may proceed. A first request adds a fraction of a token to the
 * caller's bucket, and a repeat of a failed request takes one token.
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
 * @param hasSucceeded - whether the caller received the answer of the service
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
