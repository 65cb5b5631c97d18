import type { Instant, Milliseconds } from '../model/time.js';
import { mergeUsages, type Usage } from './usage.js';

/**
 * An answer takes a few milliseconds, on a busy host some tens. After this time the aggregator
 * counts as gone: its host may have lost its power, which its link shows only after a second.
 */
const ANSWER_TIMEOUT_MS: Milliseconds = 200;

/** What one node has reported without an answer so far. */
export interface ReportLedger {
  /** Where the last report went; null when this node is the aggregator or nothing was sent. */
  readonly address: string | null;
  readonly unanswered: readonly Usage[];
  /** Since when an answer is waited for; null when none is. */
  readonly waitingSince: Instant | null;
}

/** Nothing has been reported. */
export const emptyLedger: ReportLedger = { address: null, unanswered: [], waitingSince: null };

/** A report to send, and the ledger with it. */
export interface LedgerStep {
  readonly ledger: ReportLedger;
  readonly usages: readonly Usage[];
}

/**
 * Notes a report. A new aggregator also gets what the last one has not answered, since it knows
 * nothing of it; the same one may only be slow and gets nothing twice.
 *
 * @param ledger - what was reported before
 * @param address - the aggregator, or null when it is this node
 * @param usages - what was seen since the last report
 * @param now - the current instant
 * @returns the report to send and the ledger
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
 * Tells whether an answer has taken longer than answers take.
 *
 * @param ledger - what was reported
 * @param now - the current instant
 * @returns whether totals told before are out of date
 */
export function isReportOverdue({ waitingSince: since }: ReportLedger, now: Instant): boolean {
  return since !== null && now - since > ANSWER_TIMEOUT_MS;
}

/**
 * Notes an answer, which covers everything that was sent.
 *
 * @param ledger - what was reported
 * @returns the ledger without open reports
 */
export function recordAnswer({ address }: ReportLedger): ReportLedger {
  return { address, unanswered: [], waitingSince: null };
}
