import { Map as PersistentMap } from 'immutable';
import type { CodeName } from '../errors/registry.js';
import { compareRanks, type Rank } from '../exchange/mesh-call.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { addPressureSample, noPressure } from '../shedding/smoothed-pressure.js';
import { step, type Decision, type Step } from '../task/decision.js';
import type {
  DispatchEffect,
  DispatchMessage,
  DispatchState,
  RunningCall,
  CallId,
  QueuedCall,
} from './dispatch-state.js';
import {
  advanceBreaker,
  closedBreaker,
  letsStart,
  recordEnd,
  recordStart,
  type AnswerBreaker,
} from './answer-breaker.js';
import type { DispatchEnd } from './dispatch-end.js';
import { dispatchLimit, ROOT_RESERVED_SHARE, startRates, usableSlots } from './dispatch-limit.js';
import { adjustProcessorLimit, noProcessorLimit } from './processor-limit.js';
import { addStart, listStarts, noStarts } from './start-history.js';
import { applyStatement, unprobedLimit, type StartLimit } from './start-limit.js';
import {
  assertStartRate,
  estimateRateWait,
  hasRateCapacity,
  isRootBelowRateShare,
  recentStarts,
  type Starts,
} from './start-rate.js';

/** Share of the slots that root requests may hold, so that nested calls find free slots. */
const ROOT_MAX_SLOT_SHARE = 0.9;

/**
 * Share of its latency objective that a root request may wait; a later refusal would waste the
 * time of its caller.
 */
const ROOT_WAIT_SHARE = 0.25;

/**
 * The same share for nested calls. One request makes many of them, so long waits in each add up
 * and use up its objective without any refusal that would signal the overload. With a share of
 * 0.6, orders with eight calls ended late at twice the load while lookups with four were all
 * admitted. Shares from 0.1 to 0.25 make no difference (`docs/decisions/platform-path.md`).
 */
const NESTED_WAIT_SHARE = 0.2;

const NO_STARTS: Starts = [];

/** Service time assumed before the first sample. */
const INITIAL_SERVICE_TIME_MS: Milliseconds = 50;

/** Weight of a new sample in the mean service time. */
const SERVICE_TIME_SAMPLE_SHARE = 0.05;

const RETRY_AFTER_MIN_MS: Milliseconds = 200;

/**
 * Utilization from which a request shed by the backend server counts as overload. A server that
 * sheds with most of its slots free does so at any load, and fewer requests would not help.
 */
const SHED_LOAD_SHARE = 0.5;

type DispatchStep = Step<DispatchState, DispatchEffect>;

/** Capacity of a backend server. */
export interface DispatchOptions {
  readonly slots: number;
  readonly coldRatePerSecond: number;
}

/**
 * Creates the state of a gate whose backend server has not been checked yet.
 *
 * @param options - capacity of the backend server
 * @returns the initial state
 */
export function createDispatchState({ slots, coldRatePerSecond }: DispatchOptions): DispatchState {
  return {
    slots,
    coldRatePerSecond,
    condition: { kind: 'unknown' },
    startLimit: unprobedLimit,
    processorLimit: noProcessorLimit,
    breaker: closedBreaker(Number.NEGATIVE_INFINITY),
    isBackendLeaving: false,
    closed: null,
    isHeld: false,
    queue: [],
    running: PersistentMap(),
    runningNested: 0,
    starts: NO_STARTS,
    startHistory: noStarts,
    serviceTimeMs: INITIAL_SERVICE_TIME_MS,
    pressure: noPressure,
  };
}

function hasCapacity(state: DispatchState, now: Instant): boolean {
  if (state.isHeld || !letsStart(state.breaker, now)) return false;
  switch (state.condition.kind) {
    case 'unknown':
    case 'down':
      return false;
    case 'cold':
    case 'warm':
      return (
        state.running.size < dispatchLimit(state) &&
        startRates(state).every((rate) => hasRateCapacity(state.starts, rate, now))
      );
  }
}

function countRunningRoots({ running, runningNested }: DispatchState): number {
  return running.size - runningNested;
}

/** Whether root requests use less than their reserved share. */
function isRootBelowReserve(state: DispatchState, now: Instant): boolean {
  const [rate] = startRates(state);
  if (rate !== undefined) return isRootBelowRateShare(state.starts, rate, now);
  return countRunningRoots(state) < Math.floor(dispatchLimit(state) * ROOT_RESERVED_SHARE);
}

/** Whether root requests hold their share of the slots. */
function isRootLimitReached(state: DispatchState): boolean {
  const limit = Math.max(1, Math.floor(dispatchLimit(state) * ROOT_MAX_SLOT_SHARE));
  return countRunningRoots(state) >= limit;
}

/** Index of the queued call that starts next, or -1 when none may start. */
function nextQueueIndex(state: DispatchState, now: Instant): number {
  const firstRoot = state.queue.findIndex(({ rank }) => !rank.isNested);
  if (firstRoot >= 0 && isRootBelowReserve(state, now)) return firstRoot;
  const isRootHeldBack = isRootLimitReached(state);
  return state.queue.findIndex(({ rank }) => rank.isNested || !isRootHeldBack);
}

/** Whether a call starts without waiting. */
function canStartAtOnce(state: DispatchState, { isNested }: Rank, now: Instant): boolean {
  if (state.queue.length > 0 || !hasCapacity(state, now)) return false;
  return isNested || isRootBelowReserve(state, now) || !isRootLimitReached(state);
}

function startCall(state: DispatchState, callId: CallId, rank: Rank, now: Instant): DispatchStep {
  const started: RunningCall = { isNested: rank.isNested, startedAt: now };
  const rates = startRates(state);
  const next: DispatchState = {
    ...state,
    running: state.running.set(callId, started),
    runningNested: state.runningNested + (rank.isNested ? 1 : 0),
    starts: rates.length === 0 ? NO_STARTS : [...recentStarts(state.starts, now), started],
    startHistory: addStart(state.startHistory, started),
    breaker: recordStart(state.breaker, now),
  };
  return step<DispatchState, DispatchEffect>(
    next,
    { kind: 'start', callId },
    ...rates.flatMap((rate) => assertStartRate(next.starts, rate, now)),
  );
}

function estimateRetryAfter(state: DispatchState): Milliseconds {
  const rounds = state.queue.length / dispatchLimit(state);
  return Math.max(RETRY_AFTER_MIN_MS, rounds * state.serviceTimeMs);
}

/** Refuses calls that have waited too long and starts as many others as there is capacity for. */
function processQueue(state: DispatchState, now: Instant): DispatchStep {
  if (state.queue.length === 0) return step(state);
  const expired = state.queue.filter(({ startBy }) => now >= startBy);
  const refusals = expired.map(({ callId }): DispatchEffect => ({
    kind: 'refuse',
    callId,
    code: 'overloaded',
    retryAfterMs: estimateRetryAfter(state),
  }));
  let next: DispatchState =
    expired.length === 0
      ? state
      : { ...state, queue: state.queue.filter(({ startBy }) => now < startBy) };
  const effects: DispatchEffect[] = [...refusals];
  while (next.queue.length > 0 && hasCapacity(next, now)) {
    const index = nextQueueIndex(next, now);
    const queued = next.queue[index];
    if (queued === undefined) break;
    const queue = next.queue.filter((_, at) => at !== index);
    const started = startCall({ ...next, queue }, queued.callId, queued.rank, now);
    next = started.state;
    effects.push(...started.effects);
  }
  return step(next, ...effects);
}

/** Estimates the wait of a call behind the given queued calls. */
function estimateWait(
  state: DispatchState,
  ahead: readonly QueuedCall[],
  { isNested }: Rank,
  now: Instant,
): Milliseconds {
  const limit = dispatchLimit(state);
  // A root request below its reserve starts before the nested calls that wait.
  const goesFirst = !isNested && isRootBelowReserve(state, now);
  const competing = goesFirst ? ahead.filter(({ rank }) => !rank.isNested) : ahead;
  const slotWaitMs =
    (Math.max(0, state.running.size + competing.length + 1 - limit) / limit) * state.serviceTimeMs;
  return startRates(state).reduce(
    (longestMs, rate) =>
      Math.max(longestMs, estimateRateWait(state.starts, rate, ahead, isNested, now)),
    slotWaitMs,
  );
}

function withPressure(state: DispatchState, sample: number, now: Instant): DispatchState {
  return { ...state, pressure: addPressureSample(state.pressure, sample, now) };
}

/**
 * Returns the code with which the gate refuses new calls.
 *
 * @param state - state of the gate
 * @returns the code, or null while the gate is open
 */
export function closedCode({ closed, isBackendLeaving }: DispatchState): CodeName | null {
  return closed ?? (isBackendLeaving ? 'nodeLeaving' : null);
}

function handleArrival(
  state: DispatchState,
  message: Extract<DispatchMessage, { readonly kind: 'arrived' }>,
  now: Instant,
): DispatchStep {
  const { callId, rank, objectiveLeftMs, timeLeftMs } = message;
  const refuse = (
    code: 'overloaded' | 'connectFailed' | 'deadlineUnreachable' | 'serverFaulty',
    current: DispatchState,
  ): DispatchStep =>
    step(current, { kind: 'refuse', callId, code, retryAfterMs: estimateRetryAfter(state) });
  const closed = closedCode(state);
  if (closed !== null) {
    return step(state, {
      kind: 'refuse',
      callId,
      code: closed,
      retryAfterMs: RETRY_AFTER_MIN_MS,
    });
  }
  if (timeLeftMs <= 0) return refuse('deadlineUnreachable', state);
  if (state.condition.kind === 'down') return refuse('connectFailed', state);
  if (!letsStart(state.breaker, now)) return refuse('serverFaulty', state);
  if (canStartAtOnce(state, rank, now)) {
    return startCall(withPressure(state, 0, now), callId, rank, now);
  }
  const share = rank.isNested ? NESTED_WAIT_SHARE : ROOT_WAIT_SHARE;
  const allowedMs = Math.min(Math.max(objectiveLeftMs, 0) * share, timeLeftMs);
  const found = state.queue.findIndex((other) => compareRanks(rank, other.rank) < 0);
  const ahead = found < 0 ? state.queue.length : found;
  const waitMs = estimateWait(state, state.queue.slice(0, ahead), rank, now);
  const isTooLong = waitMs > allowedMs;
  const sampled = withPressure(state, isTooLong ? 1 : waitMs / Math.max(1, allowedMs), now);
  if (isTooLong) return refuse('overloaded', sampled);
  const queued: QueuedCall = { callId, rank, startBy: now + Math.max(1, allowedMs) };
  const queue = [...state.queue.slice(0, ahead), queued, ...state.queue.slice(ahead)];
  return processQueue({ ...sampled, queue }, now);
}

function refuseAll(
  state: DispatchState,
  code: 'connectFailed' | 'nodeLeaving' | 'serverFaulty',
): DispatchStep {
  const effects = state.queue.map(({ callId }): DispatchEffect => ({
    kind: 'refuse',
    callId,
    code,
    retryAfterMs: RETRY_AFTER_MIN_MS,
  }));
  return step({ ...state, queue: [] }, ...effects);
}

/** Refuses the calls that wait when the breaker opens. */
function applyBreaker(state: DispatchState, breaker: AnswerBreaker, now: Instant): DispatchStep {
  const next = { ...state, breaker };
  return breaker.kind === 'open' ? refuseAll(next, 'serverFaulty') : processQueue(next, now);
}

function handleEnd(
  state: DispatchState,
  callId: CallId,
  result: DispatchEnd,
  now: Instant,
): DispatchStep {
  const found = state.running.get(callId);
  if (found === undefined) return step(state);
  const sampleMs = now - found.startedAt;
  const serviceTimeMs =
    result === 'answered'
      ? state.serviceTimeMs + (sampleMs - state.serviceTimeMs) * SERVICE_TIME_SAMPLE_SHARE
      : state.serviceTimeMs;
  const next: DispatchState = {
    ...state,
    running: state.running.delete(callId),
    runningNested: state.runningNested - (found.isNested ? 1 : 0),
    serviceTimeMs,
  };
  const isLoaded = state.running.size >= dispatchLimit(state) * SHED_LOAD_SHARE;
  const isOverload = result === 'shed' && isLoaded;
  const sampled = isOverload ? withPressure(next, 1, now) : next;
  return applyBreaker(
    sampled,
    recordEnd(state.breaker, { end: result, startedAt: found.startedAt }, now),
    now,
  );
}

function changeCondition(
  state: DispatchState,
  condition: DispatchState['condition'],
  now: Instant,
): DispatchStep {
  const isColdFromNow = condition.kind === 'cold' && startRates(state).length === 0;
  const starts = isColdFromNow ? listStarts(state.startHistory) : state.starts;
  const next = { ...state, condition, starts };
  return condition.kind === 'down' ? refuseAll(next, 'connectFailed') : processQueue(next, now);
}

/** Applies a stated limit, which counts the calls that start from its first statement on. */
function applyLimit(state: DispatchState, startLimit: StartLimit, now: Instant): DispatchStep {
  const isFirst = startLimit.kind === 'limited' && startRates(state).length === 0;
  return processQueue({ ...state, startLimit, starts: isFirst ? NO_STARTS : state.starts }, now);
}

/** Marks a cold backend server as warm, and the breaker as half-open, once their time is over. */
function advanceState(state: DispatchState, now: Instant): DispatchState {
  const { condition, breaker } = state;
  const isWarm = condition.kind === 'cold' && now >= condition.until;
  const advanced = advanceBreaker(breaker, now);
  if (!isWarm && advanced === breaker) return state;
  return { ...state, condition: isWarm ? { kind: 'warm' } : condition, breaker: advanced };
}

/**
 * Decides which calls of a gate start, wait or are refused.
 *
 * @param before - state of the gate
 * @param message - the message
 * @param now - the current instant
 * @returns the next state and its effects
 */
export const decideDispatch: Decision<DispatchState, DispatchMessage, DispatchEffect> = (
  before,
  message,
  now,
) => {
  const state = advanceState(before, now);
  switch (message.kind) {
    case 'arrived':
      return handleArrival(state, message, now);
    case 'cancelled':
      return processQueue(
        { ...state, queue: state.queue.filter(({ callId }) => callId !== message.callId) },
        now,
      );
    case 'ended':
      return handleEnd(state, message.callId, message.end, now);
    case 'condition':
      return changeCondition(state, message.condition, now);
    case 'limit-stated':
      return applyLimit(state, applyStatement(state.startLimit, message.statement, now), now);
    case 'leaving-stated':
      return refuseAll({ ...state, isBackendLeaving: true }, 'nodeLeaving');
    case 'instance-changed':
      return step({
        ...state,
        startLimit: unprobedLimit,
        breaker: closedBreaker(now),
        isBackendLeaving: false,
      });
    case 'held':
      return step({ ...state, isHeld: true });
    case 'released':
      return processQueue({ ...state, isHeld: false }, now);
    case 'closed':
      return step({ ...state, closed: message.code });
    case 'resized':
      return processQueue(
        { ...state, slots: message.slots, coldRatePerSecond: message.coldRatePerSecond },
        now,
      );
    case 'processor-measured': {
      const { utilization, elapsedMs } = message;
      const processorLimit = adjustProcessorLimit(state.processorLimit, {
        utilization,
        elapsedMs,
        running: state.running.size,
        usable: usableSlots(state.slots),
      });
      return processQueue({ ...state, processorLimit }, now);
    }
    case 'tick':
      return processQueue(state, now);
  }
};
