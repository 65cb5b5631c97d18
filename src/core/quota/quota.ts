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
const SINGLE_NODE_SHARE = 0.5;

/**
 * Requests that a node lets in at once for an account of which it is told nothing. Two at one node
 * within one report are common for small accounts.
 */
const DEFAULT_TOKENS = 2;

/** Range in which the share of a node is corrected by the tokens that are left in all. */
const MIN_CORRECTION = 0.3;
const MAX_CORRECTION = 1.2;

/** How the node divides an account's quota with the others. */
export type Division =
  /** The account asks for less than its rate, so its tokens may be used where they are needed. */
  | { readonly kind: 'calm'; readonly allottedTokens: number; readonly at: Instant }
  /** The account asks for more, so each node refills its own bucket with its share. */
  | { readonly kind: 'shared'; readonly at: Instant }
  /** Nothing has been told of the account lately. */
  | { readonly kind: 'untold' };

/** What one node knows of the quota of one account. */
interface AccountQuota {
  readonly division: Division;
  /** Own bucket, in tokens. */
  readonly bucket: number;
  readonly filledAt: Instant;
  /** Part of the account's rate that refills the own bucket. */
  readonly share: number;
  readonly admitted: number;
  readonly demanded: number;
  /** Tokens of the whole account as last told; null before. */
  readonly lastTotal: { readonly tokens: number; readonly at: Instant } | null;
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
  /** Tokens that this node had for the account. */
  readonly tokens: number;
  /** How the quota is divided with the other nodes, and since when. */
  readonly division: Division;
}

/** What a node knows of the fleet. */
export interface QuotaView {
  readonly nodes: number;
  /** Whether the aggregator answers; it tells all nodes which accounts exceed their rate. */
  readonly isAggregatorHeard: boolean;
  /** Whether the last report has waited for its answer longer than answers take. */
  readonly isReportOverdue: boolean;
}

function bucketSize({ burst }: QuotaAccount, share: number): number {
  return Math.max(1, burst * share);
}

function createQuota(account: QuotaAccount, view: QuotaView, now: Instant): AccountQuota {
  const share = 1 / Math.max(1, view.nodes);
  const size = bucketSize(account, share);
  return {
    division: { kind: 'untold' },
    bucket: view.isAggregatorHeard ? Math.max(DEFAULT_TOKENS, size) : size,
    filledAt: now,
    share,
    admitted: 0,
    demanded: 0,
    lastTotal: null,
  };
}

/** Forgets totals that are too old, and refills the own bucket. */
function refreshQuota(
  quota: AccountQuota,
  account: QuotaAccount,
  { nodes, isAggregatorHeard }: QuotaView,
  now: Instant,
): AccountQuota {
  const { division } = quota;
  const isStale = division.kind !== 'untold' && now - division.at > TOTAL_LIFETIME_MS;
  const share = isStale ? 1 / Math.max(1, nodes) : quota.share;
  const gained = ((now - quota.filledAt) / 1000) * account.ratePerSecond * share;
  const size = bucketSize(account, share);
  // An account of which a listening node is told nothing is inside its rate.
  const isCalm = isStale && isAggregatorHeard && division.kind === 'calm';
  return {
    ...quota,
    division: isStale ? { kind: 'untold' } : division,
    share,
    bucket: isCalm ? Math.max(DEFAULT_TOKENS, size) : Math.min(size, quota.bucket + gained),
    filledAt: now,
  };
}

/**
 * Tokens that may be used now. A calm account whose totals do not come any more may have become
 * busy, and every node would let in what it likes; only the own bucket counts then.
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
      const gained = ((now - division.at) / 1000) * account.ratePerSecond * SINGLE_NODE_SHARE;
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
 * Decides whether a request of an account is inside its quota.
 *
 * @param state - quotas of this node
 * @param account - the account
 * @param view - what the node knows of the fleet
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
    state: new Map(state).set(account.name, isAdmitted ? spendToken(counted) : counted),
    isAdmitted,
    retryAfterMs: isAdmitted ? 0 : ((1 - tokens) * 1000) / refillPerSecond,
    tokens,
    division: quota.division,
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

/** A new aggregator starts with the whole burst; tokens cannot have grown by more than the rate. */
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
  const { demandPerSecond } = total;
  const tokens = capTokens(quota, total, account, now);
  const share = total.share ?? quota.share;
  const newTotal = { tokens, at: now };
  // What was admitted since the report is not in the total yet.
  const tokensLeft = tokens - quota.admitted;
  // The estimate of a small demand is rough, and while half of the burst is left nothing presses.
  const isCalm = demandPerSecond <= account.ratePerSecond || tokens > account.burst / 2;
  if (isCalm && tokensLeft >= 1) {
    const allotted = Math.max(
      Math.min(tokensLeft, DEFAULT_TOKENS),
      tokensLeft * Math.max(share, SINGLE_NODE_SHARE),
    );
    return {
      ...quota,
      share,
      lastTotal: newTotal,
      division: { kind: 'calm', allottedTokens: allotted, at: now },
    };
  }
  // Tokens below half of the burst say that the nodes together have admitted too much.
  const balance = 1 + (tokens - account.burst / 2) / (account.burst + account.ratePerSecond);
  const correction = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, balance));
  const bucket = Math.min(quota.bucket, Math.max(1, tokens * share));
  const division: Division = { kind: 'shared', at: now };
  return { ...quota, share: share * correction, bucket, lastTotal: newTotal, division };
}

/**
 * Applies the totals of the aggregator.
 *
 * @param state - quotas of this node
 * @param totals - totals over all nodes
 * @param accounts - the accounts by name
 * @param view - what the node knows of the fleet
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
  const next = new Map(state);
  totals.forEach((total) => {
    const account = accounts.get(total.account);
    if (account === undefined) return;
    const quota = next.get(total.account) ?? createQuota(account, view, now);
    next.set(total.account, applyTotal(quota, total, account, now));
  });
  return next;
}
