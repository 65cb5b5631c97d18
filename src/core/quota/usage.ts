import type { AccountName } from '../model/names.js';

/** Requests of one account at one node since its last report. */
export interface Usage {
  readonly account: AccountName;
  readonly admitted: number;
  /** Requests received, admitted or not. */
  readonly demanded: number;
}

/** Usage of one account over all nodes, sent by the aggregator. */
export interface Total {
  readonly account: AccountName;
  /** Tokens left in the account's bucket; negative when the nodes admitted more than it held. */
  readonly tokens: number;
  readonly demandPerSecond: number;
  /** Fraction of the demand that the receiving node reported; null in a total sent to all nodes. */
  readonly share: number | null;
  /**
   * Fraction of the account's rate that is granted, as some nodes may get theirs on the other side of
   * a cut; left out by nodes of an earlier version, which grant the whole rate.
   */
  readonly rateShare?: number | undefined;
}

/**
 * Adds up two reports of the same node.
 *
 * @param earlier - a report that may have been lost
 * @param later - the report that followed
 * @returns the usage of both reports by account
 */
export function mergeUsages(earlier: readonly Usage[], later: readonly Usage[]): readonly Usage[] {
  const merged = new Map(earlier.map((usage) => [usage.account, usage]));
  later.forEach((usage) => {
    const before = merged.get(usage.account);
    merged.set(usage.account, {
      account: usage.account,
      admitted: usage.admitted + (before?.admitted ?? 0),
      demanded: usage.demanded + (before?.demanded ?? 0),
    });
  });
  return [...merged.values()];
}
