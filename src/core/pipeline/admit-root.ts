import { err, errAsync, ok, okAsync, type Result, type ResultAsync } from 'neverthrow';
import type { Call, Caller } from '../model/call.js';
import type { Route } from '../model/configuration.js';
import type { AccountName, RequestId } from '../model/names.js';
import { buildCall } from './build-call.js';
import type { Suspicion } from '../crash/suspicion.js';
import { refusal, type Classified, type Prepared, type Refusal } from './request-stages.js';
import { computeRootHash } from './root-hash.js';

/** State and operations of the node that the admission of root requests uses. */
export interface RootView {
  /** Checks whether equal requests crashed backend servers; one may pass as a trial. */
  readonly checkCrashes: (fingerprint: string) => Suspicion;
  /** @returns fraction of root hashes that the services of the route admit from the caller */
  readonly admitFraction: (route: Route, caller: Caller) => number;
  /** @returns `first` for no repeat, `repeat` for a permitted one, or `no` for a refused one */
  readonly checkRepeat: (account: AccountName, fingerprint: string) => 'first' | 'repeat' | 'no';
  /** Takes a token from the account's bucket. */
  readonly spend: (requestId: RequestId, account: AccountName) => ResultAsync<void, Refusal>;
}

/** Retry delay after an early refusal, in which admit fractions can recover. */
const EARLY_REFUSAL_RETRY_MS = 500;
const QUARANTINE_RETRY_MS = 60_000;
const REPEAT_RETRY_MS = 1000;

interface Root {
  readonly request: Classified;
  readonly caller: Caller;
  readonly hash: number;
}

function requireNotQuarantined(view: RootView) {
  return (root: Root): Result<Root, Refusal> =>
    view.checkCrashes(root.request.fingerprint).kind === 'quarantined'
      ? err(refusal('quarantined', QUARANTINE_RETRY_MS))
      : ok(root);
}

/** Without an order identifier, a repeated order cannot be distinguished from a new one. */
function requireOrderId(root: Root): Result<Root, Refusal> {
  const { route, credentials } = root.request;
  return route.idempotent || credentials.orderId !== null
    ? ok(root)
    : err({ ...refusal('orderIdMissing'), orderFor: root.caller });
}

/** Refuses requests early that a downstream service would have to refuse later. */
function refuseEarly(view: RootView) {
  return (root: Root): Result<Root, Refusal> =>
    root.hash < view.admitFraction(root.request.route, root.caller)
      ? ok(root)
      : err(refusal('overloadedEarly', EARLY_REFUSAL_RETRY_MS));
}

function limitRepeats(view: RootView) {
  return (root: Root): Result<Root & { readonly isRepeat: boolean }, Refusal> => {
    const { caller, request } = root;
    // A repeat with an order identifier only returns the stored outcome, so it takes no token.
    if (caller.kind === 'anonymous' || request.credentials.orderId !== null) {
      return ok({ ...root, isRepeat: false });
    }
    const verdict = view.checkRepeat(caller.account, request.fingerprint);
    switch (verdict) {
      case 'no':
        return err(refusal('callerRetriesExceeded', REPEAT_RETRY_MS));
      case 'first':
      case 'repeat':
        return ok({ ...root, isRepeat: verdict === 'repeat' });
    }
  };
}

function spendRate<T extends Root>(view: RootView) {
  return (root: T): ResultAsync<T, Refusal> => {
    const { caller, request } = root;
    switch (caller.kind) {
      case 'anonymous':
        return okAsync(root);
      case 'account':
        return view.spend(request.requestId, caller.account).map(() => root);
    }
  };
}

function buildRootCall({ request, caller, hash }: Root): Call {
  const { route, receivedAt, requestId } = request;
  return buildCall(request, {
    rootId: requestId,
    rootHash: hash,
    caller,
    importance: route.importance,
    depth: 0,
    retries: route.retries,
    deadline: receivedAt + route.deadlineMs,
  });
}

/**
 * Builds the filter that admits root requests. It checks the order identifier, the quarantine, the
 * admit fraction, the limit on repeats, and the rate of the account, in this order, so that a token
 * is only taken for a request that no other check refuses.
 *
 * @param view - state and operations of the node
 * @returns the filter
 */
export function admitRoot(view: RootView) {
  return (request: Classified): ResultAsync<Prepared, Refusal> => {
    if (request.origin.kind === 'nested') return errAsync(refusal('requestMalformed'));
    const root: Root = {
      request,
      caller: request.origin.caller,
      hash: computeRootHash(request.requestId),
    };
    return ok<Root, Refusal>(root)
      .andThen(requireOrderId)
      .andThen(requireNotQuarantined(view))
      .andThen(refuseEarly(view))
      .andThen(limitRepeats(view))
      .asyncAndThen(spendRate(view))
      .map((admitted) => ({
        call: buildRootCall(admitted),
        origin: request.origin,
        orderId: request.credentials.orderId,
        isRepeat: admitted.isRepeat,
      }));
  };
}
