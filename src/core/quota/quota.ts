import type { AccountName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { QuotaAccount } from '../policy/policy.js';
import type { Total, Usage } from './usage.js';

/** A total that is older says nothing of the others any more. */
const TOTAL_LIFETIME_MS: Milliseconds = 2500;

/**
 * Part of the tokens that one node may use at once while the account stays inside its rate. The
 * demand of small accounts comes unevenly to the nodes, and an exact share would refuse requests
 * although the account has tokens left.
 */
const CALM_SHARE = 0.5;

/** What one node knows of the quota of one account. */
interface AccountQuota {
  /** Tokens that this node may use now. */
  readonly allotted: number;
  readonly allottedAt: Instant;
  /** Part of the account's rate that this node gets. */
  readonly share: number;
  readonly totalAt: Instant;
  readonly admitted: number;
  readonly demanded: number;
}

/** Quotas by account. */
export type QuotaState = ReadonlyMap<AccountName, AccountQuota>;

/** No account has been seen. */
export const emptyQuotas: QuotaState = new Map();

/** Whether a request is inside the quota. */
export interface QuotaStep {
  readonly state: QuotaState;
  readonly isAdmitted: boolean;
  /** Time until a token is expected; 0 when admitted. */
  readonly retryAfterMs: Milliseconds;
}

function startQuota(account: QuotaAccount, nodes: number, now: Instant): AccountQuota {
  const share = 1 / Math.max(1, nodes);
  return {
    allotted: Math.max(1, account.burst * share),
    allottedAt: now,
    share,
    totalAt: Number.NEGATIVE_INFINITY,
    admitted: 0,
    demanded: 0,
  };
}

function tokensNow(quota: AccountQuota, account: QuotaAccount, now: Instant): number {
  const gained = ((now - quota.allottedAt) / 1000) * account.ratePerSecond * quota.share;
  const isStale = now - quota.totalAt > TOTAL_LIFETIME_MS;
  const cap = Math.max(1, account.burst * (isStale ? quota.share : 1));
  return Math.min(cap, quota.allotted + gained);
}

/**
 * Decides whether a request of an account is inside its quota.
 *
 * @param state - quotas of this node
 * @param account - the account
 * @param nodes - number of nodes, for the first share
 * @param now - the current instant
 * @returns the decision and the next state
 */
export function admit(
  state: QuotaState,
  account: QuotaAccount,
  nodes: number,
  now: Instant,
): QuotaStep {
  if (account.ratePerSecond === 0) return { state, isAdmitted: true, retryAfterMs: 0 };
  const quota = state.get(account.name) ?? startQuota(account, nodes, now);
  const tokens = tokensNow(quota, account, now);
  const isAdmitted = tokens >= 1;
  const next: AccountQuota = {
    ...quota,
    allotted: isAdmitted ? tokens - 1 : tokens,
    allottedAt: now,
    admitted: quota.admitted + (isAdmitted ? 1 : 0),
    demanded: quota.demanded + 1,
  };
  const missing = isAdmitted ? 0 : 1 - tokens;
  return {
    state: new Map(state).set(account.name, next),
    isAdmitted,
    retryAfterMs: (missing * 1000) / Math.max(0.1, account.ratePerSecond * quota.share),
  };
}

/** A report and the state after it. */
export interface ReportStep {
  readonly state: QuotaState;
  readonly usages: readonly Usage[];
}

/**
 * Takes what was seen since the last report.
 *
 * @param state - quotas of this node
 * @returns the report, empty when no request came, and the next state
 */
export function takeReport(state: QuotaState): ReportStep {
  const used = [...state].filter(([, { demanded }]) => demanded > 0);
  if (used.length === 0) return { state, usages: [] };
  const next = new Map(state);
  used.forEach(([name, quota]) => next.set(name, { ...quota, admitted: 0, demanded: 0 }));
  return {
    state: next,
    usages: used.map(([account, { admitted, demanded }]) => ({ account, admitted, demanded })),
  };
}

/**
 * Applies the totals of the aggregator.
 *
 * @param state - quotas of this node
 * @param totals - totals over all nodes
 * @param accounts - the accounts by name
 * @param now - the current instant
 * @returns the next state
 */
export function applyTotals(
  state: QuotaState,
  totals: readonly Total[],
  accounts: ReadonlyMap<AccountName, QuotaAccount>,
  now: Instant,
): QuotaState {
  const next = new Map(state);
  totals.forEach(({ account: name, tokens, demandPerSecond, share }) => {
    const account = accounts.get(name);
    const quota = next.get(name);
    if (account === undefined || quota === undefined) return;
    const isCalm = demandPerSecond <= account.ratePerSecond;
    const part = isCalm ? Math.max(share, CALM_SHARE) : share;
    // What was admitted since the report is not in the total yet.
    const allotted = (tokens > 0 ? tokens * part : tokens * share) - quota.admitted;
    next.set(name, { ...quota, allotted, allottedAt: now, share, totalAt: now });
  });
  return next;
}
