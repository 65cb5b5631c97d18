import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { CodeName, Details } from '../errors/registry.js';
import type { RequestId, ServiceName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { findRoute, type PolicyLookup } from '../policy/policy-lookup.js';
import type { PrefixRoute, QuotaAccount } from '../policy/policy.js';
import type { IncomingRequest } from './incoming-request.js';
import type { Rank } from './mesh-call.js';

/** Why a filter refused a request; nothing of it has run. */
export interface EntryRefusal {
  readonly code: CodeName;
  readonly retryAfterMs: Milliseconds;
  /** Inputs of the decision, for the log. */
  readonly details: Details;
}

/** Why the quota or the load of a route keeps a request out. */
export interface Limitation {
  readonly retryAfterMs: Milliseconds;
  readonly details: Details;
}

/** A request after its filters, ready to be placed. */
export interface AdmittedRequest {
  readonly requestId: RequestId;
  readonly request: IncomingRequest;
  readonly route: PrefixRoute;
  readonly account: QuotaAccount | null;
  readonly rank: Rank;
  readonly service: ServiceName;
  readonly fingerprint: string;
  readonly arrivedAt: Instant;
  /** Instant at which the caller gets its final answer. */
  readonly deadline: Instant;
}

/** What the filters ask of the node's other tasks. */
export interface AdmissionView {
  readonly lookup: () => PolicyLookup | null;
  readonly isQuarantined: (fingerprint: string) => boolean;
  /** @returns null when the request is inside the quota */
  readonly spendQuota: (account: QuotaAccount) => Limitation | null;
  /** @returns null when a request may come in under the load that its route meets */
  readonly limitLoad: (route: PrefixRoute, rank: Rank) => Limitation | null;
  readonly chooseService: (route: PrefixRoute) => ServiceName | null;
  /** @returns a time after which a refused caller may come back */
  readonly retryDelayMs: (route: PrefixRoute) => Milliseconds;
}

/** Wait that is announced when nothing is known of the load. */
const DEFAULT_RETRY_AFTER_MS: Milliseconds = 500;

/** An answer has to leave a little before the caller gives up, or it would be of no use. */
const CALLER_MARGIN_MS: Milliseconds = 15;

function refusal(
  code: CodeName,
  retryAfterMs: Milliseconds = 0,
  details: Details = {},
): EntryRefusal {
  return { code, retryAfterMs, details };
}

/** A request whose route and account are known. */
interface IdentifiedRequest {
  readonly requestId: RequestId;
  readonly request: IncomingRequest;
  readonly route: PrefixRoute;
  readonly account: QuotaAccount | null;
}

function identify(
  view: AdmissionView,
  request: IncomingRequest,
): Result<IdentifiedRequest, EntryRefusal> {
  const lookup = view.lookup();
  // Without a policy nothing can be said of routes and keys.
  if (lookup === null) return err(refusal('notReady', DEFAULT_RETRY_AFTER_MS));
  const { requestId } = request;
  if (requestId === null || requestId === '') return err(refusal('requestMalformed'));
  const policyDetails: Details = { version: lookup.policy.version };
  const route = findRoute(lookup, request.host, request.path);
  if (route === null) return err(refusal('noRoute', 0, { ...policyDetails, host: request.host }));
  const isOpen = route.access === 'open' || lookup.policy.accounts === null;
  const account = request.key === null ? null : (lookup.accounts.get(request.key) ?? null);
  if (!isOpen && request.key === null) return err(refusal('keyMissing', 0, policyDetails));
  if (!isOpen && account === null) return err(refusal('keyUnknown', 0, policyDetails));
  return ok({ requestId, request, route, account });
}

/**
 * Fingerprint of a request: equal for equal requests of one caller, whoever receives them.
 *
 * @param caller - name of the client account, or of the service on whose host it originated
 * @param request - the request
 * @returns a short digest
 */
export function fingerprintOf(caller: string, request: IncomingRequest): string {
  return createHash('sha1')
    .update(`${caller}\n${request.method}\n${request.host}${request.path}\n`)
    .update(request.body)
    .digest('base64url');
}

function deadlineOf(request: IncomingRequest, route: PrefixRoute, arrivedAt: Instant): Instant {
  const callerMs = request.callerTimeoutMs;
  if (callerMs === null) return arrivedAt + route.timeoutMs;
  return arrivedAt + Math.min(route.timeoutMs, Math.max(1, callerMs - CALLER_MARGIN_MS));
}

/**
 * Runs a request through the filters of the entry: route, key, quarantine, load, quota.
 *
 * @param view - what the filters ask of the other tasks
 * @param request - the request
 * @param origin - service on whose host the request originated
 * @param arrivedAt - when its head arrived
 * @returns the request ready to be placed, or why it is refused
 */
export function admitRequest(
  view: AdmissionView,
  request: IncomingRequest,
  origin: ServiceName,
  arrivedAt: Instant,
): Result<AdmittedRequest, EntryRefusal> {
  return identify(view, request).andThen(({ requestId, route, account }) => {
    const fingerprint = fingerprintOf(account?.name ?? origin, request);
    if (view.isQuarantined(fingerprint)) {
      return err(refusal('quarantined', view.retryDelayMs(route)));
    }
    // Backend servers send no key with the calls that they make.
    const rank: Rank = {
      isNested: request.key === null,
      accountPriority: account?.priority ?? 0,
      routePriority: route.priority,
    };
    const service = view.chooseService(route);
    if (service === null) return err(refusal('noBackendServer', view.retryDelayMs(route)));
    // A refused call of a running request wastes the work of its parent.
    const overload = rank.isNested ? null : view.limitLoad(route, rank);
    if (overload !== null) {
      return err(refusal('overloadedEarly', overload.retryAfterMs, overload.details));
    }
    const excess = account === null ? null : view.spendQuota(account);
    if (excess !== null) {
      return err(refusal('rateExceeded', excess.retryAfterMs, excess.details));
    }
    return ok({
      requestId,
      request,
      route,
      account,
      rank,
      service,
      fingerprint,
      arrivedAt,
      deadline: deadlineOf(request, route, arrivedAt),
    });
  });
}
