import type { Call } from '../model/call.js';
import type { Classified } from './request-stages.js';

/** Values that a call takes from its root request, or from the running call that makes it. */
export type Lineage = Pick<
  Call,
  'rootId' | 'rootHash' | 'caller' | 'importance' | 'depth' | 'retries' | 'deadline'
>;

/**
 * Builds the call for a request.
 *
 * @param request - the request with its route
 * @param lineage - values from its root or its parent
 * @returns the call, which may be started until its deadline
 */
export function buildCall(request: Classified, lineage: Lineage): Call {
  const { route, requestId, fingerprint, method, path, query, headers, body } = request;
  return {
    ...lineage,
    requestId,
    service: route.service,
    route: route.name,
    idempotent: route.idempotent,
    startBy: lineage.deadline,
    fingerprint,
    method,
    path: path + query,
    headers,
    body,
  };
}
