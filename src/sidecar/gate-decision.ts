import { dispatchLimit } from '../core/dispatch/dispatch-limit.js';
import type { DispatchState } from '../core/dispatch/dispatch-state.js';
import type { CodeName } from '../core/errors/registry.js';
import type { MeshCall, MeshReply } from '../core/exchange/mesh-call.js';
import type { LogEntry } from '../core/logs/log-entry.js';
import type { Instant } from '../core/model/time.js';
import { noCost } from '../core/reading/answer-cost.js';
import type { RunningCall } from './backend-sender.js';

/** A call at the gate, from its arrival to its reply. */
export interface PendingCall {
  readonly call: MeshCall;
  readonly arrivedAt: Instant;
  readonly deadline: Instant;
  readonly reply: (reply: MeshReply) => void;
  readonly timer: NodeJS.Timeout;
}

/** A decision of the gate about one call, and its inputs. */
export interface GateDecision {
  readonly pending: PendingCall;
  /** The run of the call; null when it was not started. */
  readonly run: RunningCall | null;
  readonly code: CodeName;
  /** HTTP status of the backend server; 0 without an answer. */
  readonly status: number;
  readonly state: DispatchState;
  /** Share of the time in which the event loop of the node handled events, from 0 to 1. */
  readonly utilization: number;
  readonly now: Instant;
}

/**
 * Builds the log entry of a decision of the gate.
 *
 * @param decision - the decision and its inputs
 * @returns the log entry
 */
export function describeGateDecision({
  pending: { call, arrivedAt },
  run,
  code,
  status,
  state,
  utilization,
  now,
}: GateDecision): LogEntry {
  const { wireBytes, bodyBytes, chunks } = run?.connection.http.meter.cost ?? noCost;
  return {
    kind: 'decision',
    stage: 'gate',
    requestId: call.requestId,
    code,
    details: {
      instance: call.instance,
      status,
      tookMs: Math.round(now - arrivedAt),
      ranMs: run === null ? 0 : Math.round(now - run.startedAt),
      running: state.running.size,
      queued: state.queue.length,
      wireBytes,
      bodyBytes,
      chunks,
      limit: dispatchLimit(state),
      processor: Math.round(utilization * 100) / 100,
      condition: state.condition.kind,
      statedLimit:
        state.startLimit.kind === 'limited'
          ? state.startLimit.ratePerSecond
          : state.startLimit.kind,
    },
  };
}
