import type { AccountName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { QuotaAccount } from '../policy/policy.js';
import type { Total, Usage } from './usage.js';

/** Time over which demand is averaged. */
const DEMAND_WINDOW_MS: Milliseconds = 1000;

/** Demand of one node for one account. */
interface NodeDemand {
  readonly perSecond: number;
  readonly at: Instant;
}

/** Rate and burst of one account over all nodes. */
interface AccountTotal {
  readonly tokens: number;
  readonly refilledAt: Instant;
  readonly demands: ReadonlyMap<string, NodeDemand>;
}

/** State of the node that adds up what all nodes report; it is lost and rebuilt with the node. */
export type AggregatorState = ReadonlyMap<AccountName, AccountTotal>;

/** An aggregator that has heard nothing. */
export const emptyAggregator: AggregatorState = new Map();

function refilled(total: AccountTotal | undefined, account: QuotaAccount, now: Instant): number {
  if (total === undefined) return account.burst;
  const gained = ((now - total.refilledAt) / 1000) * account.ratePerSecond;
  return Math.min(account.burst, total.tokens + gained);
}

function nextDemand(before: NodeDemand | undefined, demanded: number, now: Instant): NodeDemand {
  const elapsedMs = Math.max(1, Math.min(DEMAND_WINDOW_MS, now - (before?.at ?? 0)));
  const sample = (demanded * 1000) / elapsedMs;
  const weight = elapsedMs / DEMAND_WINDOW_MS;
  const perSecond =
    before === undefined ? sample : before.perSecond + (sample - before.perSecond) * weight;
  return { perSecond, at: now };
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
    const fresh = [...(before?.demands ?? [])].filter(
      ([, { at }]) => now - at < 2 * DEMAND_WINDOW_MS,
    );
    const demands = new Map(fresh);
    const own = nextDemand(before?.demands.get(node), demanded, now);
    demands.set(node, own);
    const tokens = refilled(before, account, now) - admitted;
    next.set(name, { tokens, refilledAt: now, demands });
    const demandPerSecond = [...demands.values()].reduce(
      (sum, { perSecond }) => sum + perSecond,
      0,
    );
    const share = demandPerSecond === 0 ? 0 : own.perSecond / demandPerSecond;
    return [{ account: name, tokens, demandPerSecond, share }];
  });
  return { state: next, totals };
}
