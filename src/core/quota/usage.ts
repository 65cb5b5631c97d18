import type { AccountName } from '../model/names.js';

/** What one node saw of one account since its last report. */
export interface Usage {
  readonly account: AccountName;
  readonly admitted: number;
  /** Requests that came, admitted or not. */
  readonly demanded: number;
}

/** What all nodes together saw of one account, told by the aggregator. */
export interface Total {
  readonly account: AccountName;
  /** Tokens left of rate and burst; below 0 when nodes admitted more in the meantime. */
  readonly tokens: number;
  readonly demandPerSecond: number;
  /** Part of the demand that the receiver reported; null in a total for all nodes. */
  readonly share: number | null;
}

/**
 * Adds up two reports of one node.
 *
 * @param earlier - a report that may have been lost
 * @param later - the report after it
 * @returns one report of both
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
