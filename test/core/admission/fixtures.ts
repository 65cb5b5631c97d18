import type { Call } from '../../../src/core/model/call.js';
import type { BackendServer } from '../../../src/core/model/configuration.js';

/** Builds a backend server of the service `stockroom`. */
export function backendServer(slots: number, coldCapacity = 4): BackendServer {
  return {
    name: 'stockroom-1',
    service: 'stockroom',
    zone: 'paisley',
    slots,
    connections: slots * 6,
    coldCapacity,
  };
}

/** Builds a call with the given fields; the other fields have defaults. */
export function call({
  account = 'workshop',
  ...fields
}: Partial<Call> & { readonly account?: string }): Call {
  return {
    requestId: 'r1',
    rootId: 'root',
    rootHash: 0,
    caller: { kind: 'account', account },
    service: 'stockroom',
    route: 'lookup',
    importance: 'normal',
    idempotent: true,
    depth: 0,
    retries: 2,
    deadline: 10_000,
    startBy: fields.deadline ?? 10_000,
    fingerprint: 'f',
    method: 'GET',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    ...fields,
  };
}
