import { compareRanks, type GateLoad, type Rank } from '../exchange/mesh-call.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { addPressureSample, noPressure, currentPressure } from '../shedding/smoothed-pressure.js';
import { step, type Decision, type Step } from '../task/decision.js';
import {
  assertColdRate,
  estimateColdWait,
  hasColdCapacity,
  isRootBelowColdShare,
  recentStarts,
} from './cold-rate.js';
import type {
  DispatchEffect,
  DispatchMessage,
  DispatchState,
  RunningCall,
  TicketId,
  QueuedCall,
} from './dispatch-state.js';

/** Some backend servers slow down when their last slots are taken. */
const USABLE_SLOT_SHARE = 0.95;

/** Share of the slots that new requests may hold, so that calls of running ones find room. */
const ROOT_MAX_SLOT_SHARE = 0.9;

/** Share of the slots that calls of running requests leave to new ones. */
const ROOT_RESERVED_SHARE = 0.1;

/** Share of its latency objective that a new request may wait; a later refusal wastes its time. */
const ROOT_WAIT_SHARE = 0.25;

/**
 * The same for calls of running requests. One request makes many of them, so that its own
 * objective is spent when each waits long, and none of its calls is refused to show it: with a
 * share of 0.6, orders with eight calls ended late at twice the load while lookups with four were
 * all let in. Shares from 0.1 to 0.25 make no difference (`docs/decisions/platform-path.md`).
 */
const NESTED_WAIT_SHARE = 0.2;

/** Running time that is assumed before the first sample. */
const INITIAL_SERVICE_TIME_MS: Milliseconds = 50;

/** Share of a new sample in the mean running time. */
const SERVICE_TIME_SAMPLE_SHARE = 0.05;

const RETRY_AFTER_MIN_MS: Milliseconds = 200;

/**
 * Share of the limit from which on a request that the backend server sheds is a sign of load. One
 * that sheds with most slots free does so whatever is sent, and fewer requests would not help.
 */
const SHED_LOAD_SHARE = 0.5;

type DispatchStep = Step<DispatchState, DispatchEffect>;

/** Size of a backend server. */
export interface DispatchOptions {
  readonly slots: number;
  readonly coldRatePerSecond: number;
}

/**
 * Starts a gate that knows nothing of its backend server.
 *
 * @param options - size of the backend server
 * @returns the state
 */
export function createDispatchState({ slots, coldRatePerSecond }: DispatchOptions): DispatchState {
  return {
    slots,
    coldRatePerSecond,
    condition: { kind: 'unknown' },
    closed: null,
    queue: [],
    running: new Map(),
    runningNested: 0,
    starts: [],
    serviceTimeMs: INITIAL_SERVICE_TIME_MS,
    pressure: noPressure,
  };
}

/**
 * Reads how many calls may run at the same time.
 *
 * @param state - state of the gate
 * @returns a whole number of at least 1
 */
export function dispatchLimit({ slots }: DispatchState): number {
  return Math.max(1, Math.floor(slots * USABLE_SLOT_SHARE));
}

/**
 * Describes the load of a gate.
 *
 * @param state - state of the gate
 * @param downstreamPressure - pressure on the calls of the backend server, from 0 to 1
 * @param now - the current instant
 * @returns its load
 */
export function gateLoad(state: DispatchState, downstreamPressure: number, now: Instant): GateLoad {
  const isCold = state.condition.kind !== 'warm';
  return {
    busy: state.running.size + state.queue.length,
    limit: dispatchLimit(state),
    serviceTimeMs: state.serviceTimeMs,
    pressure: currentPressure(state.pressure, now),
    downstreamPressure,
    isCold,
  };
}

function hasCapacity(state: DispatchState, now: Instant): boolean {
  switch (state.condition.kind) {
    case 'unknown':
    case 'down':
      return false;
    case 'cold':
      return state.running.size < dispatchLimit(state) && hasColdCapacity(state, now);
    case 'warm':
      return state.running.size < dispatchLimit(state);
  }
}

/** Whether new requests have less than the part that is kept for them. */
function isRootBelowReserve(state: DispatchState, now: Instant): boolean {
  if (state.condition.kind === 'cold') return isRootBelowColdShare(state, now);
  const runningRoots = state.running.size - state.runningNested;
  return runningRoots < Math.floor(dispatchLimit(state) * ROOT_RESERVED_SHARE);
}

/** Index of the call that goes next, or -1 when none may. */
function nextQueueIndex(state: DispatchState, now: Instant): number {
  const limit = dispatchLimit(state);
  const runningRoots = state.running.size - state.runningNested;
  const firstRoot = state.queue.findIndex(({ rank }) => !rank.isNested);
  if (firstRoot >= 0 && isRootBelowReserve(state, now)) return firstRoot;
  const isRootLimitReached = runningRoots >= Math.max(1, Math.floor(limit * ROOT_MAX_SLOT_SHARE));
  return state.queue.findIndex(({ rank }) => rank.isNested || !isRootLimitReached);
}

function startCall(state: DispatchState, index: number, now: Instant): DispatchStep {
  const waiting = state.queue[index];
  if (waiting === undefined) return step(state);
  const { ticket, rank } = waiting;
  const started: RunningCall = { isNested: rank.isNested, startedAt: now };
  const next: DispatchState = {
    ...state,
    queue: state.queue.filter((_, at) => at !== index),
    running: new Map(state.running).set(ticket, started),
    runningNested: state.runningNested + (rank.isNested ? 1 : 0),
    starts: state.condition.kind === 'cold' ? [...recentStarts(state, now), started] : [],
  };
  return step<DispatchState, DispatchEffect>(
    next,
    { kind: 'start', ticket },
    ...assertColdRate(next, now),
  );
}

function estimateRetryAfter(state: DispatchState): Milliseconds {
  const rounds = state.queue.length / dispatchLimit(state);
  return Math.max(RETRY_AFTER_MIN_MS, rounds * state.serviceTimeMs);
}

/** Refuses calls that have waited too long and starts as many as there is room for. */
function processQueue(state: DispatchState, now: Instant): DispatchStep {
  const expired = state.queue.filter(({ startBy }) => now >= startBy);
  const refusals = expired.map(({ ticket }): DispatchEffect => ({
    kind: 'refuse',
    ticket,
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
    if (index < 0) break;
    const started = startCall(next, index, now);
    next = started.state;
    effects.push(...started.effects);
  }
  return step(next, ...effects);
}

/** Time until a call at this place of the queue would start. */
function estimateWait(
  state: DispatchState,
  ahead: readonly QueuedCall[],
  { isNested }: Rank,
  now: Instant,
): Milliseconds {
  const limit = dispatchLimit(state);
  const forSlot =
    (Math.max(0, state.running.size + ahead.length + 1 - limit) / limit) * state.serviceTimeMs;
  if (state.condition.kind !== 'cold') return forSlot;
  return Math.max(forSlot, estimateColdWait(state, ahead, isNested, now));
}

function withPressure(state: DispatchState, sample: number, now: Instant): DispatchState {
  return { ...state, pressure: addPressureSample(state.pressure, sample, now) };
}

function handleArrival(
  state: DispatchState,
  message: Extract<DispatchMessage, { readonly kind: 'arrived' }>,
  now: Instant,
): DispatchStep {
  const { ticket, rank, objectiveLeftMs, timeLeftMs } = message;
  const refuse = (code: 'overloaded' | 'connectFailed', current: DispatchState): DispatchStep =>
    step(current, { kind: 'refuse', ticket, code, retryAfterMs: estimateRetryAfter(state) });
  if (state.closed !== null) {
    return step(state, {
      kind: 'refuse',
      ticket,
      code: state.closed,
      retryAfterMs: RETRY_AFTER_MIN_MS,
    });
  }
  if (state.condition.kind === 'down') return refuse('connectFailed', state);
  const share = rank.isNested ? NESTED_WAIT_SHARE : ROOT_WAIT_SHARE;
  const allowedMs = Math.min(Math.max(objectiveLeftMs, 0) * share, timeLeftMs);
  const found = state.queue.findIndex((other) => compareRanks(rank, other.rank) < 0);
  const ahead = found < 0 ? state.queue.length : found;
  const waitMs = estimateWait(state, state.queue.slice(0, ahead), rank, now);
  const isTooLong = waitMs > allowedMs;
  const sampled = withPressure(state, isTooLong ? 1 : waitMs / Math.max(1, allowedMs), now);
  if (isTooLong) return refuse('overloaded', sampled);
  const waiting: QueuedCall = { ticket, rank, startBy: now + Math.max(1, allowedMs) };
  const queue = [...state.queue.slice(0, ahead), waiting, ...state.queue.slice(ahead)];
  return processQueue({ ...sampled, queue }, now);
}

function handleEnd(
  state: DispatchState,
  ticket: TicketId,
  result: 'answered' | 'failed' | 'shed',
  now: Instant,
): DispatchStep {
  const found = state.running.get(ticket);
  if (found === undefined) return step(state);
  const running = new Map(state.running);
  running.delete(ticket);
  const sampleMs = now - found.startedAt;
  const serviceTimeMs =
    result === 'answered'
      ? state.serviceTimeMs + (sampleMs - state.serviceTimeMs) * SERVICE_TIME_SAMPLE_SHARE
      : state.serviceTimeMs;
  const next: DispatchState = {
    ...state,
    running,
    runningNested: state.runningNested - (found.isNested ? 1 : 0),
    serviceTimeMs,
  };
  const isLoaded = state.running.size >= dispatchLimit(state) * SHED_LOAD_SHARE;
  return processQueue(result === 'shed' && isLoaded ? withPressure(next, 1, now) : next, now);
}

function refuseAll(state: DispatchState, code: 'connectFailed'): DispatchStep {
  const effects = state.queue.map(({ ticket }): DispatchEffect => ({
    kind: 'refuse',
    ticket,
    code,
    retryAfterMs: RETRY_AFTER_MIN_MS,
  }));
  return step({ ...state, queue: [] }, ...effects);
}

function changeCondition(
  state: DispatchState,
  condition: DispatchState['condition'],
  now: Instant,
): DispatchStep {
  const next = { ...state, condition };
  return condition.kind === 'down' ? refuseAll(next, 'connectFailed') : processQueue(next, now);
}

/** A cold backend server is warm when its time has passed. */
function expireWarmUp(state: DispatchState, now: Instant): DispatchState {
  const { condition } = state;
  return condition.kind === 'cold' && now >= condition.until
    ? { ...state, condition: { kind: 'warm' } }
    : state;
}

/**
 * Decides which calls run, wait and are refused at a gate.
 *
 * @param state - state of the gate
 * @param message - the message
 * @param now - the current instant
 * @returns the step
 */
export const decideDispatch: Decision<DispatchState, DispatchMessage, DispatchEffect> = (
  before,
  message,
  now,
) => {
  const state = expireWarmUp(before, now);
  switch (message.kind) {
    case 'arrived':
      return handleArrival(state, message, now);
    case 'cancelled':
      return processQueue(
        { ...state, queue: state.queue.filter(({ ticket }) => ticket !== message.ticket) },
        now,
      );
    case 'ended':
      return handleEnd(state, message.ticket, message.end, now);
    case 'condition':
      return changeCondition(state, message.condition, now);
    case 'closed':
      return step({ ...state, closed: message.code });
    case 'resized':
      return processQueue(
        { ...state, slots: message.slots, coldRatePerSecond: message.coldRatePerSecond },
        now,
      );
    case 'tick':
      return processQueue(state, now);
  }
};
