import type { Limitation } from '../core/exchange/admission-pipeline.js';
import type { AccountName } from '../core/model/names.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { QuotaAccount } from '../core/policy/policy.js';
import {
  addReport,
  emptyAggregator,
  listOverRateTotals,
  type AggregatorState,
} from '../core/quota/aggregator.js';
import { heardShare, isHeard, PRESENCE_INTERVAL_MS } from '../core/quota/heard-nodes.js';
import {
  admit,
  applyTotals,
  emptyQuotas,
  takeReport,
  type QuotaState,
  type QuotaView,
} from '../core/quota/quota.js';
import {
  emptyLedger,
  isReportOverdue,
  recordAnswer,
  recordReport,
  type ReportLedger,
} from '../core/quota/report-ledger.js';
import type { Total, Usage } from '../core/quota/usage.js';

/** Options of the quota task. */
export interface QuotaTaskOptions {
  readonly node: string;
  readonly clock: Clock;
  /** @returns the number of nodes that share the quotas */
  readonly nodes: () => number;
  /** @returns the address of the node that aggregates usage, or null when it is this node */
  readonly aggregator: () => string | null;
  /** @returns the same, also when its last connection failed and it may be worth another try */
  readonly preferredAggregator: () => string | null;
  readonly sendUsage: (address: string, usages: readonly Usage[]) => void;
  /** Sends the totals of the accounts that exceed their rate to all nodes. */
  readonly broadcastTotals: (totals: readonly Total[]) => void;
}

/**
 * Interval of usage reports. Until the next report, an account may exceed its rate by its demand in
 * this time, which has to stay well below a quarter of five seconds.
 */
export const REPORT_INTERVAL_MS: Milliseconds = 250;

/** The aggregator counts as available for this time after its last totals. */
const AGGREGATOR_TIMEOUT_MS: Milliseconds = 5000;

/** Message to the quota task. */
export type QuotaMessage =
  /** Accounts of the current policy. */
  | { readonly kind: 'accounts'; readonly accounts: readonly QuotaAccount[] }
  /** Totals over all nodes, from the aggregator. */
  | { readonly kind: 'totals'; readonly totals: readonly Total[] }
  /** It is time for the next report of usage. */
  | { readonly kind: 'report-due' };

/** Task that owns the quotas of this node, and the totals while this node is the aggregator. */
export class QuotaTask {
  readonly #options: QuotaTaskOptions;

  readonly #reportTimer: NodeJS.Timeout;

  #quotas: QuotaState = emptyQuotas;

  #aggregate: AggregatorState = emptyAggregator;

  #lastTotalsAt: Instant = Number.NEGATIVE_INFINITY;

  #ledger: ReportLedger = emptyLedger;

  /** When this node last heard from each node; of use while it is the aggregator. */
  readonly #heardAt = new Map<string, Instant>();

  #reportedAt: Instant = Number.NEGATIVE_INFINITY;

  #triedAt: Instant = Number.NEGATIVE_INFINITY;

  #accounts: ReadonlyMap<AccountName, QuotaAccount> = new Map();

  /**
   * @param options - clock, other nodes and senders of reports
   */
  constructor(options: QuotaTaskOptions) {
    this.#options = options;
    this.#reportTimer = setInterval(() => this.send({ kind: 'report-due' }), REPORT_INTERVAL_MS);
  }

  /**
   * Handles a message.
   *
   * @param message - the message
   */
  send(message: QuotaMessage): void {
    switch (message.kind) {
      case 'accounts':
        this.#accounts = new Map(message.accounts.map((account) => [account.name, account]));
        break;
      case 'totals':
        this.#applyTotals(message.totals);
        break;
      case 'report-due':
        this.#sendReport();
        break;
    }
  }

  /**
   * Spends a token for a request.
   *
   * @param account - the account
   * @returns null when the request is within the quota
   */
  spendToken(account: QuotaAccount): Limitation | null {
    const now = this.#options.clock.now();
    const step = admit(this.#quotas, account, this.#view(now), now);
    this.#quotas = step.state;
    if (step.isAdmitted) return null;
    const { division, tokens, retryAfterMs } = step;
    const toldMs = division.kind === 'untold' ? -1 : Math.round(now - division.at);
    const { waitingSince } = this.#ledger;
    const details = {
      account: account.name,
      division: division.kind,
      toldMs,
      unansweredMs: waitingSince === null ? 0 : Math.round(now - waitingSince),
      tokens: Math.round(tokens * 100) / 100,
    };
    return { retryAfterMs, details };
  }

  /**
   * Adds the usage report of a node to the totals.
   *
   * @param node - the node
   * @param usages - usage per account since its last report; empty when the node only shows that it
   *   is there
   * @returns the totals to send back to that node
   */
  addNodeReport(node: string, usages: readonly Usage[]): readonly Total[] {
    const now = this.#options.clock.now();
    this.#heardAt.set(node, now);
    const { state, totals } = addReport(
      this.#aggregate,
      node,
      usages,
      this.#accounts,
      this.#rateShare(now),
      now,
    );
    this.#aggregate = state;
    return totals;
  }

  /** Stops the reports. */
  close(): void {
    clearInterval(this.#reportTimer);
  }

  #applyTotals(totals: readonly Total[]): void {
    const now = this.#options.clock.now();
    this.#lastTotalsAt = now;
    this.#ledger = recordAnswer(this.#ledger);
    this.#quotas = applyTotals(this.#quotas, totals, this.#accounts, this.#view(now), now);
  }

  #view(now: Instant): QuotaView {
    const isAggregatorReachable = now - this.#lastTotalsAt < AGGREGATOR_TIMEOUT_MS;
    return {
      nodes: this.#options.nodes(),
      isAggregatorReachable,
      isReportOverdue: isReportOverdue(this.#ledger, now),
    };
  }

  #sendReport(): void {
    const { node, clock, aggregator, sendUsage } = this.#options;
    const now = clock.now();
    this.#broadcastTotals(now);
    const { state, usages: newUsages } = takeReport(this.#quotas);
    this.#quotas = state;
    const address = aggregator();
    const { ledger, usages } = recordReport(this.#ledger, address, newUsages, now);
    this.#ledger = ledger;
    this.#heardAt.forEach((at, from) => {
      if (!isHeard(at, now)) this.#heardAt.delete(from);
    });
    this.#tryPreferred(address, now);
    if (usages.length === 0 && now - this.#reportedAt < PRESENCE_INTERVAL_MS) return;
    this.#reportedAt = now;
    if (address === null) this.#applyTotals(this.addNodeReport(node, usages));
    else sendUsage(address, usages);
  }

  /** Opens a link to the node that all would choose, so that they agree again after a cut. */
  #tryPreferred(address: string | null, now: Instant): void {
    if (now - this.#triedAt < PRESENCE_INTERVAL_MS) return;
    this.#triedAt = now;
    const preferred = this.#options.preferredAggregator();
    if (preferred !== null && preferred !== address) this.#options.sendUsage(preferred, []);
  }

  #broadcastTotals(now: Instant): void {
    const rateShare = this.#rateShare(now);
    // Without reports this node no longer is the aggregator, and its totals are out of date.
    if (rateShare === 0) return;
    const totals = listOverRateTotals(this.#aggregate, this.#accounts, rateShare, now);
    if (totals.length > 0) this.#options.broadcastTotals(totals);
  }

  /** Fraction of each rate that this node grants as the aggregator. */
  #rateShare(now: Instant): number {
    return heardShare(this.#heardAt, this.#options.nodes(), now);
  }
}
