import { err, ok, type Result } from 'neverthrow';
import { hashKey } from '../configuration/key-hash.js';
import type { Lookup } from '../configuration/lookup.js';
import type { Call } from '../model/call.js';
import { reportAll, type Report } from '../promises/report.js';
import { assertPromise } from '../promises/violation.js';
import { refusal, type Prepared, type Refusal } from './exchange.js';

/** What the last check of the entry needs of the node. */
export interface CheckView {
  readonly lookup: () => Lookup | null;
  readonly report: Report;
}

function hidesKey(call: Call, key: string): boolean {
  const text = [call.path, ...call.headers.flat()].join('\n');
  return !text.includes(key) && !Buffer.from(call.body).includes(key);
}

function checkHidden(view: CheckView, call: Call, key: string | null): boolean {
  const isHidden = key === null || key === '' || hidesKey(call, key);
  const detail = () => `${call.requestId} still contains the key of its caller`;
  reportAll(assertPromise('key-hidden', isHidden, detail), view.report);
  return isHidden;
}

/** The account that the key belongs to at this moment; it may have changed while waiting. */
function accountNow(view: CheckView, key: string | null): string | null {
  if (key === null) return null;
  return view.lookup()?.accountByKeyHash(hashKey(key))?.name ?? null;
}

/**
 * Builds the last filter before a request is placed. It judges the key again, because a request
 * may have waited for credit while its key was withdrawn, and asserts that no key goes on.
 *
 * @param view - what the filter reads of the node
 * @returns the filter for a request that came with the key
 */
export function check(view: CheckView) {
  return (key: string | null) =>
    (prepared: Prepared): Result<Prepared, Refusal> => {
      const { call, origin } = prepared;
      if (!checkHidden(view, call, key)) return err(refusal('keyMisplaced'));
      if (origin.kind === 'nested' || origin.caller.kind === 'anonymous') return ok(prepared);
      const account = accountNow(view, key);
      if (account === null) return err(refusal('keyUnknown'));
      const isOwn = account === origin.caller.account;
      const detail = () => `${call.requestId} would run for another account than its key's`;
      reportAll(assertPromise('own-account', isOwn, detail), view.report);
      return isOwn ? ok(prepared) : err(refusal('keyUnknown'));
    };
}
