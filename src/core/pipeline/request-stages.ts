import type { CodeName } from '../errors/registry.js';
import type { Call, Caller, Header } from '../model/call.js';
import type { Route } from '../model/configuration.js';
import type { RequestId, ServiceName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** A request as received by a front end, before any filter. */
export interface RawRequest {
  readonly requestId: RequestId;
  readonly receivedAt: Instant;
  readonly method: string;
  /** Path and query of the request line. */
  readonly target: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** Credentials and identifiers that the caller sent in its headers. */
export interface Credentials {
  readonly key: string | null;
  /** Handle of the running call that makes this nested call. */
  readonly context: string | null;
  readonly orderId: string | null;
}

/** A request with parsed target and credentials. */
export interface Accepted {
  readonly requestId: RequestId;
  readonly receivedAt: Instant;
  readonly method: string;
  readonly service: ServiceName;
  /** Path below the service without the query, with a leading slash. */
  readonly path: string;
  /** Query with its question mark, or an empty string. */
  readonly query: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly credentials: Credentials;
}

/** Origin of a request: a caller, or a running call. */
export type Origin =
  | {
      readonly kind: 'root';
      readonly caller: Caller;
      /** Whether the key was accepted, or why the caller is anonymous. */
      readonly keyState: 'accepted' | 'missing' | 'unknown';
    }
  | { readonly kind: 'nested'; readonly parentId: RequestId };

/** A request with a known origin. */
export interface Authenticated extends Accepted {
  readonly origin: Origin;
}

/** A request with a known route. */
export interface Classified extends Authenticated {
  readonly route: Route;
  readonly fingerprint: string;
}

/** A request that passed all filters of the entry and is ready to be placed. */
export interface Prepared {
  readonly call: Call;
  readonly origin: Origin;
  readonly orderId: string | null;
  /** Whether an equal request of the caller failed recently. */
  readonly isRepeat: boolean;
}

/** A refusal by a filter; the request has not run. */
export interface Refusal {
  readonly code: CodeName;
  readonly retryAfterMs: Milliseconds;
  /** Caller that gets a new order identifier with the refusal. */
  readonly orderFor?: Caller;
}

/**
 * Builds a refusal.
 *
 * @param code - code of the reason
 * @param retryAfterMs - time after which a retry may succeed; 0 when it is unknown
 * @returns the refusal
 */
export function refusal(code: CodeName, retryAfterMs: Milliseconds = 0): Refusal {
  return { code, retryAfterMs };
}
