import { ok, type Result } from 'neverthrow';
import type { RequestId } from '../model/names.js';
import { buildCallTree } from './call-tree.js';
import { describeDecisions } from './describe-decisions.js';
import { describeRequest } from './describe.js';
import { parseLog } from './log-line.js';
import { selectLines } from './select-lines.js';

/** What the logs tell about a request. */
export interface Explanation {
  readonly text: readonly string[];
  /** Lines that are not JSON or were not written by this program. */
  readonly skipped: number;
}

/** No line of the logs is about the request. */
export interface NotLogged {
  readonly read: number;
  readonly skipped: number;
}

/**
 * Explains what became of a request and why.
 *
 * @param texts - logs of several nodes
 * @param requestId - identifier of the root request, of a deeper call, or of a send
 * @returns the explanation, or how much was read in vain
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
