import { err, errAsync, ok, okAsync, type Result, type ResultAsync } from 'neverthrow';
import type { Call, Caller } from '../model/call.js';
import type { Route } from '../model/configuration.js';
import type { AccountName, RequestId } from '../model/names.js';
import { buildCall } from './build-call.js';
import { refusal, type Classified, type Prepared, type Refusal } from './request-stages.js';
import { rootHash } from './root-hash.js';

/** What the admission of root requests needs to know and to do. */
export interface RootView {
  /** @returns whether equal requests crashed backend servers */
  readonly isQuarantined: (fingerprint: string) => boolean;
  /** @returns fraction of root hashes that the services of the route can take from the caller */
  readonly admitFraction: (route: Route, caller: Caller) => number;
  /** @returns whether the account may repeat a request that failed shortly before */
  readonly checkRepeat: (account: AccountName, fingerprint: string) => 'first' | 'repeat' | 'no';
  /** Takes a token of the account's rate and burst. */
  readonly spend: (requestId: RequestId, account: AccountName) => ResultAsync<void, Refusal>;
}

/** Time after which the fractions have grown enough for another try to make sense. */
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
    view.isQuarantined(root.request.fingerprint)
      ? err(refusal('quarantined', QUARANTINE_RETRY_MS))
      : ok(root);
}

/** Without an identifier, a repeated order could not be told from a new one. */
function requireOrderId(root: Root): Result<Root, Refusal> {
  const { route, credentials } = root.request;
  return route.idempotent || credentials.orderId !== null
    ? ok(root)
    : err({ ...refusal('orderIdMissing'), orderFor: root.caller });
}

/** Refuses early what a service further down the path would have to refuse later. */
function refuseEarly(view: RootView) {
  return (root: Root): Result<Root, Refusal> =>
    root.hash < view.admitFraction(root.request.route, root.caller)
      ? ok(root)
      : err(refusal('overloadedEarly', EARLY_REFUSAL_RETRY_MS));
}

function limitRepeats(view: RootView) {
  return (root: Root): Result<Root & { readonly isRepeat: boolean }, Refusal> => {
    const { caller, request } = root;
    // A repeat with an order identifier asks for an outcome that is remembered; it costs nothing.
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

function rootCall({ request, caller, hash }: Root): Call {
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
 * Builds the filter that admits root requests: quarantine, early refusal, limit on repeats, and
 * rate and burst of the account, in this order, so that a token is only spent on a request
 * that nothing else refuses.
 *
 * @param view - what the filter reads and asks of the node
 * @returns the filter
 */
export function admitRoot(view: RootView) {
  return (request: Classified): ResultAsync<Prepared, Refusal> => {
    if (request.origin.kind === 'nested') return errAsync(refusal('requestMalformed'));
    const root: Root = {
      request,
      caller: request.origin.caller,
      hash: rootHash(request.requestId),
    };
    return ok<Root, Refusal>(root)
      .andThen(requireOrderId)
      .andThen(requireNotQuarantined(view))
      .andThen(refuseEarly(view))
      .andThen(limitRepeats(view))
      .asyncAndThen(spendRate(view))
      .map((admitted) => ({
        call: rootCall(admitted),
        origin: request.origin,
        orderId: request.credentials.orderId,
        isRepeat: admitted.isRepeat,
      }));
  };
}
