import { err, ok, type Result } from 'neverthrow';
import type { Header } from '../model/call.js';
import {
  refusal,
  type Accepted,
  type Credentials,
  type RawRequest,
  type Refusal,
} from './request-stages.js';

const CONTEXT_HEADER = 'almondhoist-context';
const ORDER_ID_HEADER = 'almondhoist-order-id';
const OWN_PREFIX = 'almondhoist-';

/** Headers that carry credentials by convention and are never forwarded to a backend server. */
const CREDENTIAL_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'proxy-authorization',
  'cookie',
  'x-api-key',
  'api-key',
  'apikey',
  'x-auth-token',
  'x-access-token',
]);

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that are set anew at each hop. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
  'content-length',
]);

function findHeader(headers: readonly Header[], name: string): string | null {
  return headers.find(([key]) => key === name)?.[1] ?? null;
}

function readKey(headers: readonly Header[]): string | null {
  const authorization = findHeader(headers, 'authorization');
  const bearer = /^bearer +(\S+)$/i.exec(authorization ?? '')?.[1];
  return bearer ?? findHeader(headers, 'x-api-key');
}

function readCredentials(headers: readonly Header[]): Credentials {
  return {
    key: readKey(headers),
    context: findHeader(headers, CONTEXT_HEADER),
    orderId: findHeader(headers, ORDER_ID_HEADER),
  };
}

function isForwarded([name]: Header): boolean {
  return !CREDENTIAL_HEADERS.has(name) && !HOP_HEADERS.has(name) && !name.startsWith(OWN_PREFIX);
}

/**
 * Parses the target and the credentials of a request and removes the headers that must not be
 * forwarded.
 *
 * @param request - the request as received by the front end
 * @returns the accepted request, or a refusal when the target names no service
 */
export function accept(request: RawRequest): Result<Accepted, Refusal> {
  const match = /^\/([^/?#]+)(\/[^?#]*)?(\?[^#]*)?$/.exec(request.target);
  const service = match?.[1];
  if (service === undefined) return err(refusal('requestMalformed'));
  const { requestId, receivedAt, method, headers, body } = request;
  return ok({
    requestId,
    receivedAt,
    method,
    service,
    path: match?.[2] ?? '/',
    query: match?.[3] ?? '',
    headers: headers.filter(isForwarded),
    body,
    credentials: readCredentials(headers),
  });
}
