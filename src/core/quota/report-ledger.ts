import type { Instant, Milliseconds } from '../model/time.js';
import { mergeUsages, type Usage } from './usage.js';

/**
 * An answer takes a few milliseconds, on a busy host some tens. After this time the aggregator is
 * considered lost: its host may have lost power, which its link detects only after a second.
 */
const ANSWER_TIMEOUT_MS: Milliseconds = 200;

/** Usage reports of one node that have not been answered yet. */
export interface ReportLedger {
  /** Address that the last report was sent to; null if this node aggregates or none was sent. */
  readonly address: string | null;
  readonly unanswered: readonly Usage[];
  /** Time of the oldest unanswered report; null when all reports are answered. */
  readonly waitingSince: Instant | null;
}

/** Ledger before the first report. */
export const emptyLedger: ReportLedger = { address: null, unanswered: [], waitingSince: null };

/** A report to send, and the ledger after it. */
export interface LedgerStep {
  readonly ledger: ReportLedger;
  readonly usages: readonly Usage[];
}

/**
 * Records a report. A new aggregator also receives the reports that the previous one has not
 * answered, since it has no record of them. An aggregator that is unchanged may only be slow, so no
 * report is sent to it twice.
 *
 * @param ledger - the ledger before the report
 * @param address - address of the aggregator, or null when it is this node
 * @param usages - usage since the last report
 * @param now - the current instant
 * @returns the report to send and the next ledger
 */
export function recordReport(
  ledger: ReportLedger,
  address: string | null,
  usages: readonly Usage[],
  now: Instant,
): LedgerStep {
  const all = mergeUsages(ledger.unanswered, usages);
  const isNewAggregator = address !== ledger.address;
  return {
    ledger: {
      address,
      unanswered: all,
      waitingSince: all.length === 0 ? null : (ledger.waitingSince ?? now),
    },
    usages: isNewAggregator ? all : usages,
  };
}

/**
 * Checks whether the answer to a report is overdue.
 *
 * @param ledger - the ledger
 * @param now - the current instant
 * @returns true when totals received earlier may be out of date
 */
export function isReportOverdue({ waitingSince: since }: ReportLedger, now: Instant): boolean {
  return since !== null && now - since > ANSWER_TIMEOUT_MS;
}

/**
 * Records an answer, which covers all reports sent so far.
 *
 * @param ledger - the ledger
 * @returns the ledger without unanswered reports
 */
export function recordAnswer({ address }: ReportLedger): ReportLedger {
  return { address, unanswered: [], waitingSince: null };
}
