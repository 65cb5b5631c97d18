import type { CodeName } from '../errors/registry.js';
import type { Call, Feedback, Outcome } from '../model/call.js';
import type { BackendServer } from '../model/configuration.js';
import type { GateState } from '../model/load.js';
import type { AccountName, RequestId } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';
import type { Violation } from '../promises/violation.js';

/** How a dispatch to the backend server ended. */
export type DispatchEnd =
  /** The whole answer arrived. */
  | { readonly kind: 'answered'; readonly outcome: Outcome }
  /** No byte was written, or the backend server said that it did not run the call. */
  | { readonly kind: 'not-run'; readonly code: CodeName }
  /** At least one byte was written and no whole answer came. */
  | { readonly kind: 'failed'; readonly code: CodeName };

/** A sign that the backend server runs in a new incarnation and is cold. */
export type RestartSignal = 'incarnation-changed' | 'connection-reset' | 'connection-refused';

/** Messages to a gate. */
export type GateMessage =
  /** The configured size of the backend server. */
  | { readonly kind: 'configured'; readonly backendServer: BackendServer }
  /** Weights of the accounts in the fair division. */
  | {
      readonly kind: 'weights-configured';
      readonly weights: ReadonlyMap<AccountName, number>;
    }
  /** Whether the gate takes new work. */
  | { readonly kind: 'state-changed'; readonly state: GateState }
  | { readonly kind: 'arrived'; readonly call: Call }
  /** The caller went away; the call is of no use any more. */
  | { readonly kind: 'cancelled'; readonly requestId: RequestId }
  /** The dispatch ended; own latency leaves out the time of deeper calls. */
  | {
      readonly kind: 'ended';
      readonly requestId: RequestId;
      readonly end: DispatchEnd;
      readonly ownLatencyMs: Milliseconds;
    }
  | { readonly kind: 'restart-suspected'; readonly signal: RestartSignal }
  /** A health or load endpoint spoke; it may only lower the limit. */
  | { readonly kind: 'health'; readonly limitHint: number }
  | { readonly kind: 'tick' };

/** What a gate asks its task to do. */
export type GateEffect =
  | { readonly kind: 'dispatch'; readonly call: Call }
  /** Abort the request to the backend server. */
  | { readonly kind: 'abort'; readonly requestId: RequestId }
  | {
      readonly kind: 'answer';
      readonly requestId: RequestId;
      readonly outcome: Outcome;
      /** The gate's own admit fraction for the class and caller of the call. */
      readonly feedback: Feedback;
    }
  | Violation;
