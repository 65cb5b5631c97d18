import { Map as PersistentMap } from 'immutable';
import type { AccountName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { QuotaAccount } from '../policy/policy.js';
import type { Total, Usage } from './usage.js';

/** An older total no longer reflects the usage of the other nodes. */
const TOTAL_LIFETIME_MS: Milliseconds = 2500;

/**
 * Minimum fraction of an account's tokens that one node may use while the account stays within its
 * rate. The demand of small accounts is spread unevenly over the nodes, and an exact share would
 * refuse requests although the account has tokens left.
 */
const SINGLE_NODE_SHARE = 0.5;

/**
 * Requests that a node admits at once for an account without a recent total. Small accounts often
 * send two requests to the same node between two reports.
 */
const DEFAULT_TOKENS = 2;

/** Range of the factor that adjusts a node's share to the tokens left over all nodes. */
const MIN_CORRECTION = 0.3;
const MAX_CORRECTION = 1.2;

/** How the quota of an account is divided among the nodes. */
export type Division =
  /** Demand is below the rate, so any node may use the remaining tokens. */
  | {
      readonly kind: 'calm';
      readonly allottedTokens: number;
      /** Fraction of the account's rate that all nodes on this side of a cut may use. */
      readonly rateShare: number;
      readonly at: Instant;
    }
  /** Demand exceeds the rate, so each node refills its own bucket with its share of the rate. */
  | { readonly kind: 'shared'; readonly at: Instant }
  /** No total of the account has been received recently. */
  | { readonly kind: 'untold' };

/** Quota of one account as seen by one node. */
interface AccountQuota {
  readonly division: Division;
  /** Tokens in the bucket of this node. */
  readonly bucket: number;
  readonly filledAt: Instant;
  /** Fraction of the account's rate that refills the bucket of this node. */
  readonly share: number;
  readonly admitted: number;
  readonly demanded: number;
  /** Tokens of the account over all nodes in the last total; null before the first one. */
  readonly lastTotal: { readonly tokens: number; readonly at: Instant } | null;
}

/**
 * Quotas by account. The map is persistent, as a copy for each request would make requests dearer
 * the more accounts there are.
 */
export type QuotaState = PersistentMap<AccountName, AccountQuota>;

/** Quotas of a node that has not seen any account. */
export const emptyQuotas: QuotaState = PersistentMap();

/** Decision whether a request is within the quota. */
export interface QuotaStep {
  readonly state: QuotaState;
  readonly isAdmitted: boolean;
  /** Time until the next token is expected; 0 when the request is admitted. */
  readonly retryAfterMs: Milliseconds;
  /** Tokens available to this node before the request; Infinity for an unlimited account. */
  readonly tokens: number;
  /** Division of the quota that the decision is based on. */
  readonly division: Division;
}

/** State of the other nodes that a quota decision depends on. */
export interface QuotaView {
  readonly nodes: number;
  /** Whether the aggregator, which sends the totals of accounts above their rate, is reachable. */
  readonly isAggregatorReachable: boolean;
  /** Whether the answer to a report is overdue. */
  readonly isReportOverdue: boolean;
}

function computeBucketSize({ burst }: QuotaAccount, share: number): number {
  return Math.max(1, burst * share);
}

function createQuota(account: QuotaAccount, view: QuotaView, now: Instant): AccountQuota {
  const share = 1 / Math.max(1, view.nodes);
  const size = computeBucketSize(account, share);
  return {
    division: { kind: 'untold' },
    bucket: view.isAggregatorReachable ? Math.max(DEFAULT_TOKENS, size) : size,
    filledAt: now,
    share,
    admitted: 0,
    demanded: 0,
    lastTotal: null,
  };
}

/** Discards an outdated total, and refills the bucket of this node. */
function refreshQuota(
  quota: AccountQuota,
  account: QuotaAccount,
  { nodes, isAggregatorReachable }: QuotaView,
  now: Instant,
): AccountQuota {
  const { division } = quota;
  const isStale = division.kind !== 'untold' && now - division.at > TOTAL_LIFETIME_MS;
  const share = isStale ? 1 / Math.max(1, nodes) : quota.share;
  const gained = ((now - quota.filledAt) / 1000) * account.ratePerSecond * share;
  const size = computeBucketSize(account, share);
  // The aggregator sends the totals of all accounts above their rate, so one without is within it.
  const isCalm = isStale && isAggregatorReachable && division.kind === 'calm';
  return {
    ...quota,
    division: isStale ? { kind: 'untold' } : division,
    share,
    bucket: isCalm ? Math.max(DEFAULT_TOKENS, size) : Math.min(size, quota.bucket + gained),
    filledAt: now,
  };
}

/**
 * Counts the tokens that may be used now. While a report is overdue, the demand of a calm account
 * may have risen unnoticed and all nodes together could exceed its rate, so that only the bucket of
 * this node counts.
 */
function countAvailableTokens(
  { division, bucket }: AccountQuota,
  account: QuotaAccount,
  { isReportOverdue }: QuotaView,
  now: Instant,
): number {
  switch (division.kind) {
    case 'calm': {
      if (isReportOverdue) return bucket;
      const nodeShare = division.rateShare * SINGLE_NODE_SHARE;
      const gained = ((now - division.at) / 1000) * account.ratePerSecond * nodeShare;
      return Math.max(bucket, division.allottedTokens + gained);
    }
    case 'shared':
    case 'untold':
      return bucket;
  }
}

function spendToken(quota: AccountQuota): AccountQuota {
  const { division } = quota;
  return {
    ...quota,
    bucket: Math.max(0, quota.bucket - 1),
    admitted: quota.admitted + 1,
    division:
      division.kind === 'calm'
        ? { ...division, allottedTokens: division.allottedTokens - 1 }
        : division,
  };
}

/**
 * Decides whether a request of an account is within its quota.
 *
 * @param state - quotas of this node
 * @param account - the account
 * @param view - state of the other nodes
 * @param now - the current instant
 * @returns the decision and the next state
 */
export function admit(
  state: QuotaState,
  account: QuotaAccount,
  view: QuotaView,
  now: Instant,
): QuotaStep {
  if (account.ratePerSecond === 0) {
    const division: Division = { kind: 'untold' };
    return { state, isAdmitted: true, retryAfterMs: 0, tokens: Infinity, division };
  }
  const known = state.get(account.name) ?? createQuota(account, view, now);
  const quota = refreshQuota(known, account, view, now);
  const tokens = countAvailableTokens(quota, account, view, now);
  const isAdmitted = tokens >= 1;
  const counted = { ...quota, demanded: quota.demanded + 1 };
  const refillPerSecond = Math.max(0.1, account.ratePerSecond * quota.share);
  return {
    state: state.set(account.name, isAdmitted ? spendToken(counted) : counted),
    isAdmitted,
    retryAfterMs: isAdmitted ? 0 : ((1 - tokens) * 1000) / refillPerSecond,
    tokens,
    division: quota.division,
  };
}

/** A usage report and the state after it. */
export interface ReportStep {
  readonly state: QuotaState;
  readonly usages: readonly Usage[];
}

/**
 * Takes the usage counted since the last report and resets the counters.
 *
 * @param state - quotas of this node
 * @returns the report, empty when there was no request, and the next state
 */
export function takeReport(state: QuotaState): ReportStep {
  const used = [...state].filter(([, { demanded }]) => demanded > 0);
  if (used.length === 0) return { state, usages: [] };
  return {
    state: state.withMutations((next) =>
      used.forEach(([name, quota]) => next.set(name, { ...quota, admitted: 0, demanded: 0 })),
    ),
    usages: used.map(([account, { admitted, demanded }]) => ({ account, admitted, demanded })),
  };
}

/**
 * Limits the tokens of a total to the last known tokens plus what the rate has refilled since. A
 * new aggregator starts with the whole burst and would otherwise grant it again.
 */
function capTokens(
  { lastTotal: previous }: AccountQuota,
  { tokens }: Total,
  { ratePerSecond }: QuotaAccount,
  now: Instant,
): number {
  if (previous === null) return tokens;
  return Math.min(tokens, previous.tokens + ((now - previous.at) / 1000) * ratePerSecond);
}

function applyTotal(
  quota: AccountQuota,
  total: Total,
  account: QuotaAccount,
  now: Instant,
): AccountQuota {
  const { demandPerSecond, rateShare = 1 } = total;
  const tokens = capTokens(quota, total, account, now);
  const share = total.share === null ? quota.share : total.share * rateShare;
  const newTotal = { tokens, at: now };
  // Requests admitted since the last report are not in the total yet.
  const tokensLeft = tokens - quota.admitted;
  // The estimate of a small demand is rough, so an account with half of its burst left counts as
  // calm.
  const isWithinRate = demandPerSecond <= account.ratePerSecond * rateShare;
  const isCalm = isWithinRate || tokens > account.burst / 2;
  if (isCalm && tokensLeft >= 1) {
    const allotted = Math.max(
      Math.min(tokensLeft, DEFAULT_TOKENS),
      tokensLeft * Math.max(share, SINGLE_NODE_SHARE),
    );
    return {
      ...quota,
      share,
      lastTotal: newTotal,
      division: { kind: 'calm', allottedTokens: allotted, rateShare, at: now },
    };
  }
  // Fewer tokens than half of the burst mean that all nodes together have admitted too much.
  const balance = 1 + (tokens - account.burst / 2) / (account.burst + account.ratePerSecond);
  const correction = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, balance));
  const bucket = Math.min(quota.bucket, Math.max(1, tokens * share));
  const division: Division = { kind: 'shared', at: now };
  return { ...quota, share: share * correction, bucket, lastTotal: newTotal, division };
}

/**
 * Applies the totals received from the aggregator.
 *
 * @param state - quotas of this node
 * @param totals - totals over all nodes
 * @param accounts - the accounts by name
 * @param view - state of the other nodes
 * @param now - the current instant
 * @returns the next state
 */
export function applyTotals(
  state: QuotaState,
  totals: readonly Total[],
  accounts: ReadonlyMap<AccountName, QuotaAccount>,
  view: QuotaView,
  now: Instant,
): QuotaState {
  return state.withMutations((next) => {
    totals.forEach((total) => {
      const account = accounts.get(total.account);
      if (account === undefined) return;
      const quota = next.get(total.account) ?? createQuota(account, view, now);
      next.set(total.account, applyTotal(quota, total, account, now));
    });
  });
}
