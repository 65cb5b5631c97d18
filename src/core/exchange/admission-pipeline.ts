import { err, ok, type Result } from 'neverthrow';
import type { Suspicion } from '../crash/suspicion.js';
import type { CodeName, Details } from '../errors/registry.js';
import type { RequestId, ServiceName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { findRoute, type PolicyLookup } from '../policy/policy-lookup.js';
import type { PrefixRoute, QuotaAccount } from '../policy/policy.js';
import type { FingerprintedRequest } from './fingerprint.js';
import type { IncomingHead, IncomingRequest } from './incoming-request.js';
import type { Rank } from './mesh-call.js';

/** Refusal of a request by a filter; the request has not run. */
export interface EntryRefusal {
  readonly code: CodeName;
  readonly retryAfterMs: Milliseconds;
  /** Inputs of the decision, for the log. */
  readonly details: Details;
}

/** Refusal because of the quota of an account or the load of a route. */
export interface Limitation {
  readonly retryAfterMs: Milliseconds;
  readonly details: Details;
}

/** A request that passed all filters and is ready to be placed. */
export interface AdmittedRequest {
  readonly requestId: RequestId;
  readonly request: IncomingRequest;
  readonly route: PrefixRoute;
  readonly account: QuotaAccount | null;
  readonly rank: Rank;
  readonly service: ServiceName;
  /** Its fingerprint when an equal request ran at a crash, otherwise null. */
  readonly suspectedAs: string | null;
  readonly arrivedAt: Instant;
  /** Latest instant for the final answer to the caller. */
  readonly deadline: Instant;
}

/** State and decisions of the node's other tasks that the filters use. */
export interface AdmissionView {
  readonly lookup: () => PolicyLookup | null;
  /** Whether a request with this deadline is answered before the node exits. */
  readonly canServeUntil: (deadline: Instant) => boolean;
  /** Checks whether equal requests crashed backend servers. */
  readonly checkCrashes: (request: FingerprintedRequest) => Suspicion;
  /** @returns null when the request is within the quota */
  readonly spendQuota: (account: QuotaAccount) => Limitation | null;
  /** @returns null when the load of the route permits the request */
  readonly limitLoad: (route: PrefixRoute, rank: Rank) => Limitation | null;
  readonly chooseService: (route: PrefixRoute) => ServiceName | null;
  /** @returns time after which a refused caller may retry */
  readonly retryDelayMs: (route: PrefixRoute) => Milliseconds;
}

/** Retry delay of a refusal while the load is unknown. */
const DEFAULT_RETRY_AFTER_MS: Milliseconds = 500;

/** Time before the caller's timeout at which the answer has to be sent to arrive in time. */
const CALLER_MARGIN_MS: Milliseconds = 15;

function refusal(
  code: CodeName,
  retryAfterMs: Milliseconds = 0,
  details: Details = {},
): EntryRefusal {
  return { code, retryAfterMs, details };
}

/** Refusal of a request that an unreadable part of the policy may allow. */
function gapRefusal(details: Details): EntryRefusal {
  return refusal('policyIncomplete', DEFAULT_RETRY_AFTER_MS, details);
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
  // Routes and keys are unknown until the first policy is in force.
  if (lookup === null) return err(refusal('notReady', DEFAULT_RETRY_AFTER_MS));
  const { requestId } = request;
  if (requestId === null || requestId === '') return err(refusal('requestMalformed'));
  const { accounts, gaps, version } = lookup.policy;
  const policyDetails: Details = { version };
  const route = findRoute(lookup, request.host, request.path);
  if (route === null) {
    const details: Details = { ...policyDetails, host: request.host };
    return err(gaps.routes ? gapRefusal(details) : refusal('noRoute', 0, details));
  }
  const isOpen = route.access === 'open' || accounts === null;
  const account = request.key === null ? null : (lookup.accounts.get(request.key) ?? null);
  if (!isOpen && request.key === null) return err(refusal('keyMissing', 0, policyDetails));
  if (!isOpen && account === null) {
    return err(gaps.keys ? gapRefusal(policyDetails) : refusal('keyUnknown', 0, policyDetails));
  }
  return ok({ requestId, request, route, account });
}

function computeTimeout({ callerTimeoutMs }: IncomingHead, route: PrefixRoute): Milliseconds {
  if (callerTimeoutMs === null) return route.timeoutMs;
  return Math.min(route.timeoutMs, Math.max(1, callerTimeoutMs - CALLER_MARGIN_MS));
}

/**
 * Computes how long a caller is kept waiting at most.
 *
 * @param lookup - the policy in force, or null when none is known
 * @param head - head of the request
 * @returns time from the arrival of the head to the final answer; null when there is no route
 */
export function findTimeLimit(
  lookup: PolicyLookup | null,
  head: IncomingHead,
): Milliseconds | null {
  const route = lookup === null ? null : findRoute(lookup, head.host, head.path);
  return route === null ? null : computeTimeout(head, route);
}

/**
 * Runs a request through the filters of the entry: route, key, quarantine, load, quota.
 *
 * @param view - state and decisions of the node's other tasks
 * @param request - the request
 * @param origin - service on whose host the request originated
 * @param arrivedAt - instant at which the head of the request arrived
 * @returns the request ready to be placed, or the refusal
 */
export function admitRequest(
  view: AdmissionView,
  request: IncomingRequest,
  origin: ServiceName,
  arrivedAt: Instant,
): Result<AdmittedRequest, EntryRefusal> {
  return identify(view, request).andThen(({ requestId, route, account }) => {
    const { method, path, body } = request;
    const caller = account?.name ?? origin;
    const suspicion = view.checkCrashes({ caller, route: route.name, method, path, body });
    if (suspicion.kind === 'quarantined') {
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
    const deadline = arrivedAt + computeTimeout(request, route);
    if (!view.canServeUntil(deadline)) {
      return err(refusal('nodeLeaving', view.retryDelayMs(route)));
    }
    // Refusing a nested call would waste the work of its running parent.
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
      suspectedAs: suspicion.kind === 'none' ? null : suspicion.fingerprint,
      arrivedAt,
      deadline,
    });
  });
}
