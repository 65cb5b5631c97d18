import type { CodeName, Details } from '../errors/registry.js';
import type { Caller } from '../model/call.js';
import type { BackendServerName, RequestId, ServiceName, ZoneName } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';
import type { PromiseName } from '../promises/violation.js';

/** The call that a log entry is about. */
export interface Subject {
  readonly requestId: RequestId;
  readonly rootId: RequestId;
  readonly caller: Caller;
  readonly service: ServiceName;
}

/** A backend server that was considered for a call, with its load at that time. */
export interface ConsideredCandidate {
  readonly backendServer: BackendServerName;
  readonly zone: ZoneName;
  /** Calls running and queued, from the last load report; null when it is unknown. */
  readonly busy: number | null;
  readonly limit: number | null;
}

/** A log entry. Every routing and placement decision writes one. */
export type LogEntry =
  /** An entry or the home node of an order chose a backend server. */
  | ({
      readonly kind: 'routing';
      readonly zone: ZoneName;
      readonly attempt: number;
      readonly candidates: readonly ConsideredCandidate[];
      readonly choice: BackendServerName | null;
      readonly code: CodeName;
    } & Subject)
  /** An order was sent to its home node, which stores it. */
  | ({
      readonly kind: 'placement';
      readonly orderId: string;
      readonly home: BackendServerName;
      readonly code: CodeName;
    } & Subject)
  /** A gate dispatched a call to its backend server. */
  | ({ readonly kind: 'dispatch'; readonly backendServer: BackendServerName } & Subject)
  /** A gate answered a call. */
  | ({
      readonly kind: 'gate-answer';
      readonly backendServer: BackendServerName;
      readonly code: CodeName;
      readonly status: number | null;
    } & Subject)
  /** The entry refused a request before a call was created. */
  | {
      readonly kind: 'refusal';
      readonly requestId: RequestId;
      readonly code: CodeName;
      readonly retryAfterMs: Milliseconds;
    }
  /** The entry answered the caller. */
  | ({
      readonly kind: 'entry-answer';
      readonly code: CodeName;
      readonly status: number;
      readonly durationMs: Milliseconds;
    } & Subject)
  /** The result of one stage of the request path, with the inputs of the decision. */
  | {
      readonly kind: 'decision';
      readonly stage: 'entry' | 'placement' | 'gate';
      readonly requestId: RequestId;
      readonly code: CodeName;
      readonly details: Details;
    }
  /** An event of the node that is not about one request. */
  | { readonly kind: 'event'; readonly code: CodeName; readonly details: Details }
  /** An assertion of a promise failed. */
  | { readonly kind: 'violation'; readonly promise: PromiseName; readonly detail: string };

/** Writes log entries. */
export interface Log {
  readonly write: (entry: LogEntry) => void;
}
