import type { CodeName, Details } from '../errors/registry.js';
import type { Caller } from '../model/call.js';
import type { BackendServerName, RequestId, ServiceName, ZoneName } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';
import type { PromiseName } from '../promises/violation.js';

/** The call that a log line is about. */
export interface Subject {
  readonly requestId: RequestId;
  readonly rootId: RequestId;
  readonly caller: Caller;
  readonly service: ServiceName;
}

/** A backend server that was considered, with its load at that time. */
export interface ConsideredCandidate {
  readonly backendServer: BackendServerName;
  readonly zone: ZoneName;
  /** Calls running and queued by the last load told; null when it is unknown. */
  readonly busy: number | null;
  readonly limit: number | null;
}

/** A line of the log. Every routing and placement decision writes one. */
export type LogEntry =
  /** An entry or the home of an order chose a backend server. */
  | ({
      readonly kind: 'routing';
      readonly zone: ZoneName;
      readonly attempt: number;
      readonly candidates: readonly ConsideredCandidate[];
      readonly choice: BackendServerName | null;
      readonly code: CodeName;
    } & Subject)
  /** An order was sent to the node that remembers it. */
  | ({
      readonly kind: 'placement';
      readonly orderId: string;
      readonly home: BackendServerName;
      readonly code: CodeName;
    } & Subject)
  /** A gate dispatched a call. */
  | ({ readonly kind: 'dispatch'; readonly backendServer: BackendServerName } & Subject)
  /** A gate answered a call. */
  | ({
      readonly kind: 'gate-answer';
      readonly backendServer: BackendServerName;
      readonly code: CodeName;
      readonly status: number | null;
    } & Subject)
  /** A filter of the entry refused a request. */
  | {
      readonly kind: 'refusal';
      readonly requestId: RequestId;
      readonly code: CodeName;
      readonly retryAfterMs: Milliseconds;
    }
  /** The entry answered its caller. */
  | ({
      readonly kind: 'entry-answer';
      readonly code: CodeName;
      readonly status: number;
      readonly durationMs: Milliseconds;
    } & Subject)
  /** A step of the request path with the inputs that decided it. */
  | {
      readonly kind: 'decision';
      readonly stage: 'entry' | 'placement' | 'gate';
      readonly requestId: RequestId;
      readonly code: CodeName;
      readonly details: Details;
    }
  | { readonly kind: 'event'; readonly code: CodeName; readonly details: Details }
  | { readonly kind: 'violation'; readonly promise: PromiseName; readonly detail: string };

/** Where log lines go. */
export interface Log {
  readonly write: (entry: LogEntry) => void;
}
