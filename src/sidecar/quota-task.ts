import type { AccountName } from '../core/model/names.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import type { QuotaAccount } from '../core/policy/policy.js';
import { addReport, emptyAggregator, type AggregatorState } from '../core/quota/aggregator.js';
import {
  admit,
  applyTotals,
  emptyQuotas,
  takeReport,
  type QuotaState,
} from '../core/quota/quota.js';
import type { Total, Usage } from '../core/quota/usage.js';

/** What the quota task needs of its node. */
export interface QuotaTaskOptions {
  readonly node: string;
  readonly clock: Clock;
  /** @returns number of nodes */
  readonly nodes: () => number;
  /** @returns address of the node that adds up usage, or null when that is this node */
  readonly aggregator: () => string | null;
  readonly sendUsage: (address: string, usages: readonly Usage[]) => void;
}

/**
 * How often usage is reported. Until the next report an account may exceed its rate by what it
 * demands in this time, which has to stay well inside a quarter of five seconds.
 */
const REPORT_INTERVAL_MS: Milliseconds = 250;

/** Owner of the quotas of this node, and of the totals while it is the aggregator. */
export class QuotaTask {
  readonly #options: QuotaTaskOptions;

  readonly #ticker: NodeJS.Timeout;

  #quotas: QuotaState = emptyQuotas;

  #aggregate: AggregatorState = emptyAggregator;

  #accounts: ReadonlyMap<AccountName, QuotaAccount> = new Map();

  /**
   * @param options - clock and how reports are sent
   */
  constructor(options: QuotaTaskOptions) {
    this.#options = options;
    this.#ticker = setInterval(() => this.#report(), REPORT_INTERVAL_MS);
  }

  /**
   * Applies the accounts of a policy.
   *
   * @param accounts - all accounts
   */
  setAccounts(accounts: readonly QuotaAccount[]): void {
    this.#accounts = new Map(accounts.map((account) => [account.name, account]));
  }

  /**
   * Spends a token for a request.
   *
   * @param account - the account
   * @returns null when the request is inside the quota, otherwise the time until a token is due
   */
  spend(account: QuotaAccount): Milliseconds | null {
    const { clock, nodes } = this.#options;
    const { state, isAdmitted, retryAfterMs } = admit(this.#quotas, account, nodes(), clock.now());
    this.#quotas = state;
    return isAdmitted ? null : retryAfterMs;
  }

  /**
   * Adds the report of another node.
   *
   * @param node - the node
   * @param usages - what it saw
   * @returns the totals for that node
   */
  reported(node: string, usages: readonly Usage[]): readonly Total[] {
    const now = this.#options.clock.now();
    const { state, totals } = addReport(this.#aggregate, node, usages, this.#accounts, now);
    this.#aggregate = state;
    return totals;
  }

  /**
   * Applies totals that the aggregator sent.
   *
   * @param totals - the totals
   */
  told(totals: readonly Total[]): void {
    const now = this.#options.clock.now();
    this.#quotas = applyTotals(this.#quotas, totals, this.#accounts, now);
  }

  /** Stops the timer. */
  close(): void {
    clearInterval(this.#ticker);
  }

  #report(): void {
    const { node, aggregator, sendUsage } = this.#options;
    const { state, usages } = takeReport(this.#quotas);
    this.#quotas = state;
    if (usages.length === 0) return;
    const address = aggregator();
    if (address === null) this.told(this.reported(node, usages));
    else sendUsage(address, usages);
  }
}
