import { ok, type Result } from 'neverthrow';
import type { RequestId } from '../model/names.js';
import { buildCallTree } from './call-tree.js';
import { describeDecisions } from './describe-decisions.js';
import { describeRequest } from './describe.js';
import { parseLog } from './log-line.js';
import { selectLines } from './select-lines.js';

/** Description of a request, built from the logs. */
export interface Explanation {
  readonly text: readonly string[];
  /** Number of lines that are not JSON or not log entries of almondhoist. */
  readonly skipped: number;
}

/** The logs hold no line about the request. */
export interface NotLogged {
  /** Number of log lines that were read. */
  readonly read: number;
  /** Number of lines that are not JSON or not log entries of almondhoist. */
  readonly skipped: number;
}

/**
 * Explains how a request was handled and why.
 *
 * @param texts - logs of several nodes
 * @param requestId - identifier of the root request, of a nested call, or of a send
 * @returns the explanation, or the number of lines read when none is about the request
 */
export function explain(
  texts: readonly string[],
  requestId: RequestId,
): Result<Explanation, NotLogged> {
  const { lines, skipped } = parseLog(texts);
  const decisions = describeDecisions(lines, requestId);
  if (decisions.length > 0) return ok({ text: decisions, skipped });
  return selectLines(lines, requestId)
    .map((selected) => ({
      text: describeRequest(selected, buildCallTree(selected), requestId),
      skipped,
    }))
    .mapErr(() => ({ read: lines.length, skipped }));
}
