import type { Map as PersistentMap } from 'immutable';
import type { CodeName } from '../errors/registry.js';
import type { Rank } from '../exchange/mesh-call.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { Violation } from '../promises/violation.js';
import type { SmoothedPressure } from '../shedding/smoothed-pressure.js';
import type { AnswerBreaker } from './answer-breaker.js';
import type { DispatchEnd } from './dispatch-end.js';
import type { ProcessorLimit, ProcessorUse } from './processor-limit.js';
import type { StartHistory } from './start-history.js';
import type { LimitStatement, StartLimit } from './start-limit.js';

/** Identifies a call within its gate. */
export type CallId = number;

/** Condition of the backend server of a gate. */
export type Condition =
  /** Not checked since a possible restart, so no calls are sent. */
  | { readonly kind: 'unknown' }
  /** Connections are refused or health checks time out. */
  | { readonly kind: 'down' }
  /** Warming up until this instant; calls are limited to a low rate. */
  | { readonly kind: 'cold'; readonly until: Instant }
  | { readonly kind: 'warm' };

/** A call in the queue of a gate. */
export interface QueuedCall {
  readonly callId: CallId;
  readonly rank: Rank;
  /** The call is refused when it has not started by this instant. */
  readonly startBy: Instant;
}

/** A call that runs on the backend server. */
export interface RunningCall {
  readonly isNested: boolean;
  readonly startedAt: Instant;
}

/** State of a gate. */
export interface DispatchState {
  readonly slots: number;
  readonly coldRatePerSecond: number;
  readonly condition: Condition;
  /** Limit that the backend server states itself. */
  readonly startLimit: StartLimit;
  /** Limit from the processor of the node. */
  readonly processorLimit: ProcessorLimit;
  /** Opens when the backend server sends answers without end. */
  readonly breaker: AnswerBreaker;
  /** Whether the backend server states that it leaves. */
  readonly isBackendLeaving: boolean;
  /** Code with which new calls are refused; null while the gate is open. */
  readonly closed: CodeName | null;
  /** Whether no call starts, since cancellations may wait to be read after a pause. */
  readonly isHeld: boolean;
  /** Queued calls in the order of their rank. */
  readonly queue: readonly QueuedCall[];
  /** Persistent, as a copy for each start and end would make calls dearer the more of them run. */
  readonly running: PersistentMap<CallId, RunningCall>;
  readonly runningNested: number;
  /** Calls started within the last second, oldest first, kept while a rate limits the starts. */
  readonly starts: readonly RunningCall[];
  /** Count once the server is known to be cold, since the gate learns late that it is. */
  readonly startHistory: StartHistory;
  readonly serviceTimeMs: Milliseconds;
  /** Expected wait of arriving calls as a share of the allowed wait. */
  readonly pressure: SmoothedPressure;
}

/** Messages to a gate. */
export type DispatchMessage =
  | {
      readonly kind: 'arrived';
      readonly callId: CallId;
      readonly rank: Rank;
      readonly objectiveLeftMs: Milliseconds;
      readonly timeLeftMs: Milliseconds;
    }
  | { readonly kind: 'cancelled'; readonly callId: CallId }
  /** The backend server answered, failed or shed the call. */
  | {
      readonly kind: 'ended';
      readonly callId: CallId;
      readonly end: DispatchEnd;
    }
  | { readonly kind: 'condition'; readonly condition: Condition }
  /** An answer of the backend server arrived, which states a limit or none. */
  | { readonly kind: 'limit-stated'; readonly statement: LimitStatement }
  /** An answer of the backend server states that it leaves. */
  | { readonly kind: 'leaving-stated' }
  /** Another instance of the backend server started, which has stated nothing yet. */
  | { readonly kind: 'instance-changed' }
  /** The process was paused, and what arrived meanwhile has not been read yet. */
  | { readonly kind: 'held' }
  /** What arrived during the pause has been read. */
  | { readonly kind: 'released' }
  | { readonly kind: 'closed'; readonly code: CodeName | null }
  | { readonly kind: 'resized'; readonly slots: number; readonly coldRatePerSecond: number }
  /** The use of the node's processor was measured. */
  | ({ readonly kind: 'processor-measured' } & ProcessorUse)
  | { readonly kind: 'tick' };

/** Effects of a gate's decisions. */
export type DispatchEffect =
  | { readonly kind: 'start'; readonly callId: CallId }
  | {
      readonly kind: 'refuse';
      readonly callId: CallId;
      readonly code: CodeName;
      readonly retryAfterMs: Milliseconds;
    }
  | Violation;
