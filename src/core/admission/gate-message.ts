import type { CodeName } from '../errors/registry.js';
import type { Call, Feedback, Outcome } from '../model/call.js';
import type { BackendServer } from '../model/configuration.js';
import type { GateState } from '../model/load.js';
import type { AccountName, RequestId } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';
import type { Violation } from '../promises/violation.js';

/** Result of a dispatch to the backend server. */
export type DispatchEnd =
  /** The complete answer arrived. */
  | { readonly kind: 'answered'; readonly outcome: Outcome }
  /** No byte was written, or the backend server reported that it did not run the call. */
  | { readonly kind: 'not-run'; readonly code: CodeName }
  /** At least one byte was written, and no complete answer arrived. */
  | { readonly kind: 'failed'; readonly code: CodeName };

/** Event that suggests that the backend server has restarted and is cold. */
export type RestartSignal = 'incarnation-changed' | 'connection-reset' | 'connection-refused';

/** Messages to a gate. */
export type GateMessage =
  /** Sets the slots and the cold capacity of the backend server. */
  | { readonly kind: 'configured'; readonly backendServer: BackendServer }
  /** Sets the weights of the accounts in weighted fair queueing. */
  | {
      readonly kind: 'weights-configured';
      readonly weights: ReadonlyMap<AccountName, number>;
    }
  /** Changes whether the gate accepts new calls. */
  | { readonly kind: 'state-changed'; readonly state: GateState }
  | { readonly kind: 'arrived'; readonly call: Call }
  /** The caller no longer waits for the answer. */
  | { readonly kind: 'cancelled'; readonly requestId: RequestId }
  /** The dispatch ended; the own latency excludes the time of nested calls. */
  | {
      readonly kind: 'ended';
      readonly requestId: RequestId;
      readonly end: DispatchEnd;
      readonly ownLatencyMs: Milliseconds;
    }
  | { readonly kind: 'restart-suspected'; readonly signal: RestartSignal }
  /** A health or load endpoint reported a limit; it can only lower the limit in force. */
  | { readonly kind: 'health'; readonly limitHint: number }
  | { readonly kind: 'tick' };

/** Effects that the task of a gate performs. */
export type GateEffect =
  | { readonly kind: 'dispatch'; readonly call: Call }
  /** Aborts the request to the backend server. */
  | { readonly kind: 'abort'; readonly requestId: RequestId }
  | {
      readonly kind: 'answer';
      readonly requestId: RequestId;
      readonly outcome: Outcome;
      /** Admit fraction of this gate for the importance class and caller of the call. */
      readonly feedback: Feedback;
    }
  | Violation;
