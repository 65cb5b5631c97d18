import { createHash } from 'node:crypto';
import type { AccountName, RouteName, ServiceName } from '../model/names.js';
import type { MeshCall } from './mesh-call.js';

/** What makes requests equal: they crash a backend server alike, whichever node they come from. */
export interface FingerprintedRequest {
  /** Client account, or the service on whose host the request originated. */
  readonly caller: AccountName | ServiceName;
  readonly route: RouteName;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Computes the fingerprint of a request. It is needed only while requests are known that crashed
 * backend servers, so calls carry none.
 *
 * @param request - the request
 * @returns SHA-1 in base64url over caller, route, method, path and body
 */
export function computeFingerprint(request: FingerprintedRequest): string {
  const { caller, route, method, path, body } = request;
  return createHash('sha1')
    .update(`${caller}\n${route}\n${method}\n${path}\n`)
    .update(body)
    .digest('base64url');
}

/**
 * Computes the fingerprint of the request that a call carries.
 *
 * @param call - the call
 * @returns the fingerprint that the entry computes for the request
 */
export function fingerprintOfCall({
  account,
  origin,
  route,
  method,
  path,
  body,
}: MeshCall): string {
  return computeFingerprint({ caller: account ?? origin, route, method, path, body });
}
