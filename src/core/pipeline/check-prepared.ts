import { err, ok, type Result } from 'neverthrow';
import { hashKey } from '../configuration/key-hash.js';
import type { Lookup } from '../configuration/lookup.js';
import type { Call } from '../model/call.js';
import { reportViolations, type ViolationReporter } from '../promises/report.js';
import { assertPromise } from '../promises/violation.js';
import { refusal, type Prepared, type Refusal } from './request-stages.js';

/** State and operations of the node that the last check of the entry uses. */
export interface CheckView {
  readonly lookup: () => Lookup | null;
  readonly report: ViolationReporter;
}

function isKeyAbsent(call: Call, key: string): boolean {
  const text = [call.path, ...call.headers.flat()].join('\n');
  return !text.includes(key) && !Buffer.from(call.body).includes(key);
}

function checkKeyHidden(view: CheckView, call: Call, key: string | null): boolean {
  const isHidden = key === null || key === '' || isKeyAbsent(call, key);
  const detail = () => `${call.requestId} still contains the key of its caller`;
  reportViolations(assertPromise('key-hidden', isHidden, detail), view.report);
  return isHidden;
}

/** Finds the current account of a key, which may have changed while the request waited. */
function findCurrentAccount(view: CheckView, key: string | null): string | null {
  if (key === null) return null;
  return view.lookup()?.accountByKeyHash(hashKey(key))?.name ?? null;
}

/**
 * Builds the last filter before a request is placed. It checks the key again, because the key may
 * have been withdrawn while the request waited for credit, and asserts that no key is forwarded.
 *
 * @param view - state and operations of the node
 * @returns a function that builds the filter for the key of a request
 */
export function checkPrepared(view: CheckView) {
  return (key: string | null) =>
    (prepared: Prepared): Result<Prepared, Refusal> => {
      const { call, origin } = prepared;
      if (!checkKeyHidden(view, call, key)) return err(refusal('keyMisplaced'));
      if (origin.kind === 'nested' || origin.caller.kind === 'anonymous') return ok(prepared);
      const account = findCurrentAccount(view, key);
      if (account === null) return err(refusal('keyUnknown'));
      const isOwn = account === origin.caller.account;
      const detail = () => `${call.requestId} would run for an account other than that of its key`;
      reportViolations(assertPromise('own-account', isOwn, detail), view.report);
      return isOwn ? ok(prepared) : err(refusal('keyUnknown'));
    };
}
