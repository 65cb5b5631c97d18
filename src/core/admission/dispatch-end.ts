import type { CodeName } from '../errors/registry.js';
import type { Outcome } from '../model/call.js';
import type { Milliseconds } from '../model/time.js';
import { recordLatency, recordShed } from './concurrency-limit.js';
import type { DispatchEnd } from './gate-message.js';
import type { Gate, RunningCall } from './gate-state.js';
import { recordCompletion } from './service-rate.js';
import { recordFailure, recordSuccess } from './warm-up.js';

/** Smoothing factor of the typical running time for each call that ended. */
const RUN_TIME_SMOOTHING_FACTOR = 0.2;

/**
 * Decay of the typical running times for each interval of 100 ms. It ensures that a route whose
 * calls are all refused because of an outdated, long running time is tried again within about 1 s.
 */
const RUN_TIME_DECAY = 0.95;

/** Typical running times below this value are dropped, which bounds the memory. */
const NEGLIGIBLE_RUN_TIME_MS = 0.1;

/** HTTP statuses with which a backend server sheds a call. */
const SHED_STATUSES: readonly number[] = [429, 503];

/**
 * Builds the outcome of a dispatched call.
 *
 * @param end - result of the dispatch
 * @param retryAfterMs - time after which the caller may retry when the call did not run
 * @returns the outcome that the caller receives
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

/** Records a call that the backend server shed; it lowers the concurrency and warm-up limits. */
function recordServerShed(state: Gate): Gate {
  return { ...state, limit: recordShed(state.limit), warmUp: recordFailure(state.warmUp) };
}

/** Records how long the call held its slot, and its latency without nested calls. */
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
  // A server error does not count as a success, and it does not indicate a cold server either.
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
  // The running time of a call that passed its deadline is a lower bound and still a valid sample.
  if (code === 'deadlinePassed') return recordRunTime(state, running, ownLatencyMs);
  const next = { ...state, rate: recordCompletion(state.rate) };
  return running.isAborted ? next : { ...next, warmUp: recordFailure(state.warmUp) };
}

/**
 * Updates the limits and estimates of a gate with the end of a dispatch.
 *
 * @param state - state of the gate
 * @param running - call that ended
 * @param end - result of the dispatch
 * @param ownLatencyMs - running time without the time of nested calls
 * @returns the gate with updated limits and estimates
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
 * Decays the typical running times and drops the negligible ones.
 *
 * @param runTimes - typical running time by route
 * @returns the running times after one interval
 */
export function decayRunTimes(runTimes: Gate['runTimes']): Gate['runTimes'] {
  return runTimes
    .map((runTimeMs) => runTimeMs * RUN_TIME_DECAY)
    .filter((runTimeMs) => runTimeMs > NEGLIGIBLE_RUN_TIME_MS);
}
