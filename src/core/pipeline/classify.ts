import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { Lookup } from '../configuration/lookup.js';
import type { Caller } from '../model/call.js';
import type { Route } from '../model/configuration.js';
import { refusal, type Authenticated, type Classified, type Refusal } from './request-stages.js';

/** State of the node that classification reads. */
export interface ClassificationView {
  readonly lookup: () => Lookup | null;
}

function getCallerName(request: Authenticated): string {
  const { origin } = request;
  switch (origin.kind) {
    case 'nested':
      return '';
    case 'root':
      return origin.caller.kind === 'account' ? origin.caller.account : '';
  }
}

/**
 * Computes the fingerprint that is equal for equal requests of one caller.
 *
 * @param request - the authenticated request
 * @returns SHA-256 in base64url over caller, service, method, path, query and body
 */
export function computeFingerprint(request: Authenticated): string {
  const { service, method, path, query, body } = request;
  return createHash('sha256')
    .update(JSON.stringify([getCallerName(request), service, method, path, query]))
    .update(body)
    .digest('base64url');
}

function isPermitted(lookup: Lookup, caller: Caller, route: Route): boolean {
  switch (caller.kind) {
    case 'anonymous':
      return false;
    case 'account':
      return lookup.account(caller.account)?.services.includes(route.service) ?? false;
  }
}

function authorize(request: Authenticated, route: Route, lookup: Lookup): Refusal | null {
  const { origin } = request;
  // A nested call acts for its root request, which was authorized at its entry.
  if (origin.kind === 'nested' || route.access === 'open') return null;
  switch (origin.keyState) {
    case 'missing':
      return refusal('keyMissing');
    case 'unknown':
      return refusal('keyUnknown');
    case 'accepted':
      return isPermitted(lookup, origin.caller, route) ? null : refusal('serviceForbidden');
  }
}

/**
 * Builds the filter that finds the route of a request and checks that its caller may use it.
 *
 * @param view - state of the node
 * @returns the filter
 */
export function classify(view: ClassificationView) {
  return (request: Authenticated): Result<Classified, Refusal> => {
    const lookup = view.lookup();
    if (lookup === null) return err(refusal('notReady'));
    const route = lookup.route(request.service, request.method, request.path);
    if (route === null) return err(refusal('noRoute'));
    const refused = authorize(request, route, lookup);
    if (refused !== null) return err(refused);
    return ok({ ...request, route, fingerprint: computeFingerprint(request) });
  };
}
