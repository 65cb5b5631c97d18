import type { CodeName } from '../errors/registry.js';
import type { Importance } from './configuration.js';
import type { Load } from './load.js';
import type { AccountName, RequestId, RouteName, ServiceName } from './names.js';
import type { Instant, Milliseconds } from './time.js';

/** Who sent a request: a client account, or anyone on a route that is open to all. */
export type Caller =
  { readonly kind: 'account'; readonly account: AccountName } | { readonly kind: 'anonymous' };

/** An HTTP header as a name in lower case and a value. */
export type Header = readonly [name: string, value: string];

/** A call that an entry sends to a gate. */
export interface Call {
  readonly requestId: RequestId;
  /** Identifier of the root request that this call belongs to. */
  readonly rootId: RequestId;
  /** Hash of the root identifier in [0, 1); the same at every gate of the call tree. */
  readonly rootHash: number;
  readonly caller: Caller;
  readonly service: ServiceName;
  readonly route: RouteName;
  readonly importance: Importance;
  readonly idempotent: boolean;
  /** 0 for the root request, 1 for its direct calls, and so on. */
  readonly depth: number;
  /** Additional sends (retries) that this call and its nested calls may still use. */
  readonly retries: number;
  /** Instant on the local clock after which the caller no longer uses the answer. */
  readonly deadline: Instant;
  /** Instant on the local clock after which a gate must not start the call. */
  readonly startBy: Instant;
  /** Hash of caller, service, method, path and body. */
  readonly fingerprint: string;
  readonly method: string;
  /** Path and query as the backend server receives them. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** The result of a call. */
export type Outcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: readonly Header[];
      readonly body: Uint8Array;
    }
  /** No byte of the call reached a backend server. */
  | { readonly kind: 'refused'; readonly code: CodeName; readonly retryAfterMs: Milliseconds }
  /** The call may have run; for a non-idempotent call the outcome is unknown. */
  | { readonly kind: 'failed'; readonly code: CodeName };

/** The fraction of new root requests that a service accepts from the caller of this call. */
export interface Feedback {
  readonly service: ServiceName;
  /** Fraction in [0, 1] of root hashes that are admitted. */
  readonly admitFraction: number;
}

/** A gate's reply to a call. */
export interface Answer {
  readonly requestId: RequestId;
  readonly outcome: Outcome;
  /** Additional sends (retries) used by this call and its nested calls. */
  readonly retriesSpent: number;
  readonly feedback: readonly Feedback[];
  readonly load: Load;
}
