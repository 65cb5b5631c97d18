import { Map as PersistentMap } from 'immutable';
import type { AccountName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { QuotaAccount } from '../policy/policy.js';
import type { Total, Usage } from './usage.js';

/** Time constant of the exponential decay that averages demand. */
const DEMAND_TIME_CONSTANT_MS: Milliseconds = 1500;

/**
 * Number of requests, decaying exponentially. A count instead of a rate keeps a few requests that
 * arrive close together from being taken for a high demand.
 */
interface Demand {
  readonly count: number;
  readonly at: Instant;
}

/** Token bucket and demand of one account over all nodes. */
interface AccountTotal {
  readonly tokens: number;
  readonly refilledAt: Instant;
  readonly all: Demand;
  readonly byNode: PersistentMap<string, Demand>;
}

/**
 * Token bucket and demand of each account on the node that aggregates the reports of all nodes. The
 * state is in memory only; a new aggregator rebuilds it from the reports that follow. Its maps are
 * persistent, as copies of them would make each report dearer the more accounts and nodes there are.
 */
export type AggregatorState = PersistentMap<AccountName, AccountTotal>;

/** State of an aggregator that has not received any report. */
export const emptyAggregator: AggregatorState = PersistentMap();

const NO_DEMAND: Demand = { count: 0, at: 0 };

function decayCount({ count, at }: Demand, now: Instant): number {
  return count * Math.exp((at - now) / DEMAND_TIME_CONSTANT_MS);
}

function addDemand(before: Demand, demanded: number, now: Instant): Demand {
  return { count: decayCount(before, now) + demanded, at: now };
}

function refillTokens(
  total: AccountTotal | undefined,
  account: QuotaAccount,
  rateShare: number,
  now: Instant,
): number {
  if (total === undefined) return account.burst;
  const gained = ((now - total.refilledAt) / 1000) * account.ratePerSecond * rateShare;
  return Math.min(account.burst, total.tokens + gained);
}

/** State after a report, and the totals to send back to the reporting node. */
export interface AggregatorStep {
  readonly state: AggregatorState;
  readonly totals: readonly Total[];
}

/**
 * Adds the usage report of a node to the totals.
 *
 * @param state - state of the aggregator
 * @param node - the reporting node
 * @param usages - usage of the node since its last report
 * @param accounts - the accounts by name
 * @param rateShare - fraction of each rate that is granted, from 0 to 1
 * @param now - the current instant
 * @returns the next state, and the totals of the reported accounts
 */
export function addReport(
  state: AggregatorState,
  node: string,
  usages: readonly Usage[],
  accounts: ReadonlyMap<AccountName, QuotaAccount>,
  rateShare: number,
  now: Instant,
): AggregatorStep {
  let next = state;
  const totals = usages.flatMap(({ account: name, admitted, demanded }): readonly Total[] => {
    const account = accounts.get(name);
    if (account === undefined || account.ratePerSecond === 0) return [];
    const before = next.get(name);
    const own = addDemand(before?.byNode.get(node) ?? NO_DEMAND, demanded, now);
    const all = addDemand(before?.all ?? NO_DEMAND, demanded, now);
    const tokens = refillTokens(before, account, rateShare, now) - admitted;
    const byNode = (before?.byNode ?? PersistentMap<string, Demand>()).set(node, own);
    next = next.set(name, { tokens, refilledAt: now, all, byNode });
    const demandPerSecond = (all.count * 1000) / DEMAND_TIME_CONSTANT_MS;
    const share = own.count / all.count;
    return [{ account: name, tokens, demandPerSecond, share, rateShare }];
  });
  return { state: next, totals };
}

/**
 * Lists the totals of the accounts whose demand exceeds their rate. They are sent to all nodes,
 * including those that have not reported the account.
 *
 * @param state - state of the aggregator
 * @param accounts - the accounts by name
 * @param rateShare - fraction of each rate that is granted, from 0 to 1
 * @param now - the current instant
 * @returns the totals of these accounts, without a share
 */
export function listOverRateTotals(
  state: AggregatorState,
  accounts: ReadonlyMap<AccountName, QuotaAccount>,
  rateShare: number,
  now: Instant,
): readonly Total[] {
  return [...state].flatMap(([name, total]): readonly Total[] => {
    const account = accounts.get(name);
    if (account === undefined || account.ratePerSecond === 0) return [];
    const demandPerSecond = (decayCount(total.all, now) * 1000) / DEMAND_TIME_CONSTANT_MS;
    if (demandPerSecond <= account.ratePerSecond * rateShare) return [];
    const tokens = refillTokens(total, account, rateShare, now);
    return [{ account: name, tokens, demandPerSecond, share: null, rateShare }];
  });
}
