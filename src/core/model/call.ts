import type { CodeName } from '../errors/registry.js';
import type { Importance } from './configuration.js';
import type { Load } from './load.js';
import type { AccountName, RequestId, RouteName, ServiceName } from './names.js';
import type { Instant, Milliseconds } from './time.js';

/** Who asked: a client account, or anyone on a route open to all. */
export type Caller =
  { readonly kind: 'account'; readonly account: AccountName } | { readonly kind: 'anonymous' };

/** An HTTP header as name in lower case and value. */
export type Header = readonly [name: string, value: string];

/** A call on its way from the entry to a gate. */
export interface Call {
  readonly requestId: RequestId;
  /** Identifier of the root request that this call belongs to. */
  readonly rootId: RequestId;
  /** Hash of the root identifier in [0, 1); the same at every gate of the tree. */
  readonly rootHash: number;
  readonly caller: Caller;
  readonly service: ServiceName;
  readonly route: RouteName;
  readonly importance: Importance;
  readonly idempotent: boolean;
  /** 0 for the root request, 1 for its direct calls, and so on. */
  readonly depth: number;
  /** Extra sends that this call and everything below it may still use. */
  readonly retries: number;
  /** Instant on the local clock after which the answer is of no use. */
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

/** What became of a call. */
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

/** The share of new root requests that a service can take from the caller of this call. */
export interface Feedback {
  readonly service: ServiceName;
  /** Fraction in [0, 1] of root hashes that are admitted. */
  readonly admitFraction: number;
}

/** A gate's reply to a call. */
export interface Answer {
  readonly requestId: RequestId;
  readonly outcome: Outcome;
  /** Extra sends used by this call and everything below it. */
  readonly retriesSpent: number;
  readonly feedback: readonly Feedback[];
  readonly load: Load;
}
