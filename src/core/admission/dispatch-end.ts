import type { CodeName } from '../errors/registry.js';
import type { Outcome } from '../model/call.js';
import type { Milliseconds } from '../model/time.js';
import { recordLatency, recordShed } from './concurrency-limit.js';
import type { DispatchEnd } from './gate-message.js';
import type { Gate, RunningCall } from './gate-state.js';
import { recordCompletion } from './service-rate.js';
import { recordFailure, recordSuccess } from './warm-up.js';

const RUN_TIME_SMOOTHING_FACTOR = 0.2;

/**
 * Typical running times lose 5% for each interval, so that a route whose calls are all refused
 * for an old, long running time is tried again within about a second.
 */
const RUN_TIME_DECAY = 0.95;

const NEGLIGIBLE_RUN_TIME_MS = 0.1;

/** Backend servers answer with these statuses when they take no more calls. */
const SHED_STATUSES: readonly number[] = [429, 503];

/**
 * Builds the outcome of a dispatched call.
 *
 * @param end - how the dispatch ended
 * @param retryAfterMs - time for which a caller should stay away when the call did not run
 * @returns the outcome
 */
export function endOutcome(end: DispatchEnd, retryAfterMs: Milliseconds): Outcome {
  switch (end.kind) {
    case 'answered':
      return end.outcome;
    case 'not-run':
      return { kind: 'refused', code: end.code, retryAfterMs };
    case 'failed':
      return { kind: 'failed', code: end.code };
  }
}

/** A refusal by the backend server lowers the limit and stops the warm-up for a while. */
function recordServerShed(state: Gate): Gate {
  return { ...state, limit: recordShed(state.limit), warmUp: recordFailure(state.warmUp) };
}

/** Learns how long the call held its slot and how much of that was the server's own time. */
function recordRunTime(
  state: Gate,
  { call, dispatchedAt }: RunningCall,
  ownLatencyMs: Milliseconds,
): Gate {
  const runTimeMs = state.now - dispatchedAt;
  const typicalMs = state.runTimes.get(call.route) ?? runTimeMs;
  return {
    ...state,
    limit: recordLatency(state.limit, ownLatencyMs),
    rate: recordCompletion(state.rate),
    runTimes: state.runTimes.set(
      call.route,
      typicalMs + (runTimeMs - typicalMs) * RUN_TIME_SMOOTHING_FACTOR,
    ),
  };
}

function recordAnswer(
  state: Gate,
  running: RunningCall,
  status: number,
  ownLatencyMs: Milliseconds,
): Gate {
  if (SHED_STATUSES.includes(status)) return recordServerShed(state);
  const next = recordRunTime(state, running, ownLatencyMs);
  // An error of the service is no success, and it is no sign of a cold server either.
  if (status >= 500) return next;
  const { warmUpEpoch: epoch, call } = running;
  const success = { epoch, route: call.route, ownLatencyMs, now: state.now };
  return { ...next, warmUp: recordSuccess(state.warmUp, success) };
}

function recordFailedDispatch(
  state: Gate,
  running: RunningCall,
  code: CodeName,
  ownLatencyMs: Milliseconds,
): Gate {
  // A call that passed its deadline took at least this long.
  if (code === 'deadlinePassed') return recordRunTime(state, running, ownLatencyMs);
  const next = { ...state, rate: recordCompletion(state.rate) };
  return running.isAborted ? next : { ...next, warmUp: recordFailure(state.warmUp) };
}

/**
 * Learns from the end of a dispatch.
 *
 * @param state - the gate
 * @param running - the call that ended
 * @param end - how it ended
 * @param ownLatencyMs - running time without deeper calls
 * @returns the gate with adapted limits and estimates
 */
export function recordDispatchEnd(
  state: Gate,
  running: RunningCall,
  end: DispatchEnd,
  ownLatencyMs: Milliseconds,
): Gate {
  switch (end.kind) {
    case 'answered':
      return end.outcome.kind === 'answered'
        ? recordAnswer(state, running, end.outcome.status, ownLatencyMs)
        : state;
    case 'not-run':
      return end.code === 'serverShed' ? recordServerShed(state) : state;
    case 'failed':
      return recordFailedDispatch(state, running, end.code, ownLatencyMs);
  }
}

/**
 * Lets typical running times fade, and drops the negligible ones, which bounds the memory.
 *
 * @param runTimes - typical running time by route
 * @returns the running times after one interval
 */
export function decayRunTimes(runTimes: Gate['runTimes']): Gate['runTimes'] {
  return runTimes
    .map((runTimeMs) => runTimeMs * RUN_TIME_DECAY)
    .filter((runTimeMs) => runTimeMs > NEGLIGIBLE_RUN_TIME_MS);
}
