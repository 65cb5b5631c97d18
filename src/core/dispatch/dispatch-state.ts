import type { CodeName } from '../errors/registry.js';
import type { Rank } from '../exchange/mesh-call.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { Violation } from '../promises/violation.js';
import type { SmoothedPressure } from '../shedding/smoothed-pressure.js';

/** Number of a call at its gate. */
export type TicketId = number;

/** What is known of the backend server beside the gate. */
export type Condition =
  /** Its health has not been read since it may have started anew, so nothing is sent to it. */
  | { readonly kind: 'unknown' }
  /** It refuses connections. */
  | { readonly kind: 'down' }
  /** It bears only a low rate until then. */
  | { readonly kind: 'cold'; readonly until: Instant }
  | { readonly kind: 'warm' };

/** A call that waits in the gate. */
export interface QueuedCall {
  readonly ticket: TicketId;
  readonly rank: Rank;
  /** The call makes room when it has not started by then. */
  readonly startBy: Instant;
}

/** A call that runs in the backend server. */
export interface RunningCall {
  readonly isNested: boolean;
  readonly startedAt: Instant;
}

/** State of a gate. */
export interface DispatchState {
  readonly slots: number;
  readonly coldRatePerSecond: number;
  readonly condition: Condition;
  /** Why no new call is taken; null while the gate is open. */
  readonly closed: CodeName | null;
  /** Waiting calls, first to go first. */
  readonly queue: readonly QueuedCall[];
  readonly running: ReadonlyMap<TicketId, RunningCall>;
  readonly runningNested: number;
  /** Starts within the last second, kept while the backend server is cold. */
  readonly starts: readonly RunningCall[];
  readonly serviceTimeMs: Milliseconds;
  /** Share of the allowed wait that arriving calls face. */
  readonly pressure: SmoothedPressure;
}

/** What a gate is told. */
export type DispatchMessage =
  | {
      readonly kind: 'arrived';
      readonly ticket: TicketId;
      readonly rank: Rank;
      readonly objectiveLeftMs: Milliseconds;
      readonly timeLeftMs: Milliseconds;
    }
  | { readonly kind: 'cancelled'; readonly ticket: TicketId }
  /** The backend server answered, failed or shed the call. */
  | {
      readonly kind: 'ended';
      readonly ticket: TicketId;
      readonly end: 'answered' | 'failed' | 'shed';
    }
  | { readonly kind: 'condition'; readonly condition: Condition }
  | { readonly kind: 'closed'; readonly code: CodeName | null }
  | { readonly kind: 'resized'; readonly slots: number; readonly coldRatePerSecond: number }
  | { readonly kind: 'tick' };

/** What a gate does. */
export type DispatchEffect =
  | { readonly kind: 'start'; readonly ticket: TicketId }
  | {
      readonly kind: 'refuse';
      readonly ticket: TicketId;
      readonly code: CodeName;
      readonly retryAfterMs: Milliseconds;
    }
  | Violation;
