import type { CodeName } from '../errors/registry.js';
import type { Call, Caller, Header } from '../model/call.js';
import type { Route } from '../model/configuration.js';
import type { RequestId, ServiceName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** A request as a front end hands it in, before anything is known about it. */
export interface RawRequest {
  readonly requestId: RequestId;
  readonly receivedAt: Instant;
  readonly method: string;
  /** Path and query of the request line. */
  readonly target: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** What a caller presents about itself; taken out of the headers. */
export interface Credentials {
  readonly key: string | null;
  /** Handle of the running call that makes this deeper call. */
  readonly context: string | null;
  readonly orderId: string | null;
}

/** A request whose target and credentials have been read. */
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

/** Where a request comes from. */
export type Origin =
  | {
      readonly kind: 'root';
      readonly caller: Caller;
      /** Why the caller is anonymous, if it is. */
      readonly keyState: 'accepted' | 'missing' | 'unknown';
    }
  | { readonly kind: 'nested'; readonly parentId: RequestId };

/** A request whose origin is known and whose key has been taken away. */
export interface Authenticated extends Accepted {
  readonly origin: Origin;
}

/** A request whose route is known. */
export interface Classified extends Authenticated {
  readonly route: Route;
  readonly fingerprint: string;
}

/** A request that passed every check of the entry and may be placed. */
export interface Prepared {
  readonly call: Call;
  readonly origin: Origin;
  readonly orderId: string | null;
  /** Whether equal requests of the caller failed shortly before. */
  readonly isRepeat: boolean;
}

/** A refusal by a filter: the request certainly did not run. */
export interface Refusal {
  readonly code: CodeName;
  readonly retryAfterMs: Milliseconds;
  /** Caller who gets a fresh order identifier with the refusal. */
  readonly orderFor?: Caller;
}

/**
 * Builds a refusal.
 *
 * @param code - result code that tells the reason
 * @param retryAfterMs - time after which a repetition may succeed; 0 when it is unknown
 * @returns the refusal
 */
export function refusal(code: CodeName, retryAfterMs: Milliseconds = 0): Refusal {
  return { code, retryAfterMs };
}
