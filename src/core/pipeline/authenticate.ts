import { err, ok, type Result } from 'neverthrow';
import type { Lookup } from '../configuration/lookup.js';
import { hashKey } from '../configuration/key-hash.js';
import type { RequestId } from '../model/names.js';
import {
  refusal,
  type Accepted,
  type Authenticated,
  type Origin,
  type Refusal,
} from './exchange.js';

/** What authentication needs to know about the node. */
export interface AuthenticationView {
  /** @returns the configuration in force, or null before the first one */
  readonly lookup: () => Lookup | null;
  /** @returns whether the node can confirm nothing, so that a key may have been withdrawn */
  readonly isIsolated: () => boolean;
  /** @returns the running call that a context handle names, or null for a forged or old one */
  readonly verifyContext: (token: string) => RequestId | null;
}

function originOfKey(key: string | null, lookup: Lookup): Origin {
  if (key === null) return { kind: 'root', caller: { kind: 'anonymous' }, keyState: 'missing' };
  const account = lookup.accountByKeyHash(hashKey(key));
  return account === null
    ? { kind: 'root', caller: { kind: 'anonymous' }, keyState: 'unknown' }
    : {
        kind: 'root',
        caller: { kind: 'account', account: account.name },
        keyState: 'accepted',
      };
}

/**
 * Builds the filter that finds out who sends a request. It runs for each request and not for
 * each connection, so a withdrawn key stops working on connections that are still open.
 *
 * @param view - what the filter reads of the node
 * @returns the filter
 */
export function authenticate(view: AuthenticationView) {
  return (request: Accepted): Result<Authenticated, Refusal> => {
    const lookup = view.lookup();
    if (lookup === null) return err(refusal('notReady'));
    const { context, key } = request.credentials;
    if (context !== null) {
      const parentId = view.verifyContext(context);
      return parentId === null
        ? err(refusal('contextInvalid'))
        : ok({ ...request, origin: { kind: 'nested', parentId } });
    }
    if (key !== null && view.isIsolated()) return err(refusal('isolated'));
    return ok({ ...request, origin: originOfKey(key, lookup) });
  };
}
