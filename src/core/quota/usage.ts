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
