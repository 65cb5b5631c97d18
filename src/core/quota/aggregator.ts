import type { AccountName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { QuotaAccount } from '../policy/policy.js';
import type { Total, Usage } from './usage.js';

/** Time constant over which demand is averaged. */
const DEMAND_TIME_CONSTANT_MS: Milliseconds = 1500;

/** Demand as a count that decays exponentially, so that few requests are not overrated. */
interface Demand {
  readonly count: number;
  readonly at: Instant;
}

/** Rate and burst of one account over all nodes. */
interface AccountTotal {
  readonly tokens: number;
  readonly refilledAt: Instant;
  readonly all: Demand;
  readonly byNode: ReadonlyMap<string, Demand>;
}

/** State of the node that adds up what all nodes report; it is lost and rebuilt with the node. */
export type AggregatorState = ReadonlyMap<AccountName, AccountTotal>;

/** An aggregator that has heard nothing. */
export const emptyAggregator: AggregatorState = new Map();

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
  now: Instant,
): number {
  if (total === undefined) return account.burst;
  const gained = ((now - total.refilledAt) / 1000) * account.ratePerSecond;
  return Math.min(account.burst, total.tokens + gained);
}

/** What a report changes and what its sender is told. */
export interface AggregatorStep {
  readonly state: AggregatorState;
  readonly totals: readonly Total[];
}

/**
 * Adds the report of a node.
 *
 * @param state - state of the aggregator
 * @param node - the reporting node
 * @param usages - what it saw since its last report
 * @param accounts - the accounts by name
 * @param now - the current instant
 * @returns the next state, and the totals of the reported accounts
 */
export function addReport(
  state: AggregatorState,
  node: string,
  usages: readonly Usage[],
  accounts: ReadonlyMap<AccountName, QuotaAccount>,
  now: Instant,
): AggregatorStep {
  const next = new Map(state);
  const totals = usages.flatMap(({ account: name, admitted, demanded }): readonly Total[] => {
    const account = accounts.get(name);
    if (account === undefined || account.ratePerSecond === 0) return [];
    const before = next.get(name);
    const own = addDemand(before?.byNode.get(node) ?? NO_DEMAND, demanded, now);
    const all = addDemand(before?.all ?? NO_DEMAND, demanded, now);
    const tokens = refillTokens(before, account, now) - admitted;
    const byNode = new Map(before?.byNode).set(node, own);
    next.set(name, { tokens, refilledAt: now, all, byNode });
    const demandPerSecond = (all.count * 1000) / DEMAND_TIME_CONSTANT_MS;
    return [{ account: name, tokens, demandPerSecond, share: own.count / all.count }];
  });
  return { state: next, totals };
}

/**
 * Lists the accounts that ask for more than their rate, for nodes that have not reported them.
 *
 * @param state - state of the aggregator
 * @param accounts - the accounts by name
 * @param now - the current instant
 * @returns their totals
 */
export function listOverRateTotals(
  state: AggregatorState,
  accounts: ReadonlyMap<AccountName, QuotaAccount>,
  now: Instant,
): readonly Total[] {
  return [...state].flatMap(([name, total]): readonly Total[] => {
    const account = accounts.get(name);
    if (account === undefined || account.ratePerSecond === 0) return [];
    const demandPerSecond = (decayCount(total.all, now) * 1000) / DEMAND_TIME_CONSTANT_MS;
    if (demandPerSecond <= account.ratePerSecond) return [];
    return [
      { account: name, tokens: refillTokens(total, account, now), demandPerSecond, share: null },
    ];
  });
}
