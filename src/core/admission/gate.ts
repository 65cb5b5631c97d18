import { Map as PersistentMap } from 'immutable';
import type { CodeName } from '../errors/registry.js';
import type { Call, Outcome } from '../model/call.js';
import type { CallerKey } from '../model/caller-key.js';
import type { BackendServer, Importance } from '../model/configuration.js';
import type { GateState } from '../model/load.js';
import type { RequestId } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';
import { assertPromise, type Violation } from '../promises/violation.js';
import { step, type Decision, type Step } from '../task/decision.js';
import { callerFraction, recordArrival, recordWait, updateFractions } from './admit-fractions.js';
import {
  callsAhead,
  enqueue,
  evictionCandidate,
  hasLessImportantCall,
  nextQueued,
  pruneServiceTags,
  createQueuedCall,
  removeQueued,
  dequeueForDispatch,
  weightOf,
  type QueuedCall,
} from './call-queue.js';
import { adaptLimit, recordHint, resizeLimit } from './concurrency-limit.js';
import { endOutcome, decayRunTimes, recordDispatchEnd } from './dispatch-end.js';
import type { DispatchEnd, GateEffect, GateMessage } from './gate-message.js';
import { gateLimit, type Gate } from './gate-state.js';
import { capacityPerSecond, endInterval, meanRunTimeMs, recordBusyTime } from './service-rate.js';
import { restartWarmUp, resizeWarmUp } from './warm-up.js';

/** Queue length per slot; with all slots busy, a full queue takes two service times to drain. */
const QUEUE_CALLS_PER_SLOT = 2;

/** Smallest queue length, so that the gate of a small backend server can absorb a burst. */
const QUEUE_CALLS_MIN = 16;

/** Time after which a caller may retry a call that was refused for overload. */
const OVERLOAD_RETRY_AFTER_MS = 500;

/** Time after which a caller may retry at a gate that accepts no new calls. */
const CLOSED_RETRY_AFTER_MS = 5_000;

/**
 * Share of the typical running time that must remain before the deadline of a call. With the full
 * time, calls that run faster than usual would be refused although they could end in time.
 */
const RUN_TIME_NEEDED_SHARE = 0.5;

type GateStep = Step<Gate, GateEffect>;

function answerEffect(state: Gate, call: Call, caller: CallerKey, outcome: Outcome): GateEffect {
  return {
    kind: 'answer',
    requestId: call.requestId,
    outcome,
    feedback: {
      service: call.service,
      admitFraction: callerFraction(state.fractions, call.importance, caller),
    },
  };
}

/** Refuses a call that is queued or has just arrived. */
function refuse(
  state: Gate,
  { call, caller }: QueuedCall,
  code: CodeName,
  retryAfterMs: Milliseconds = OVERLOAD_RETRY_AFTER_MS,
): readonly GateEffect[] {
  return [
    ...assertPromise(
      'not-run',
      !state.running.has(call.requestId),
      () => `call ${call.requestId} is refused with ${code} while it runs`,
    ),
    answerEffect(state, call, caller, { kind: 'refused', code, retryAfterMs }),
  ];
}

function assertShedOrder(state: Gate, importance: Importance): readonly Violation[] {
  return assertPromise(
    'importance-order',
    !hasLessImportantCall(state.queue, importance),
    () => `a call of class ${importance} is refused while a less important call waits`,
  );
}

/** Checks whether a call that starts after the wait would be answered too late. */
function isDeadlineUnreachable(state: Gate, { call }: QueuedCall, waitMs: Milliseconds): boolean {
  const startAt = state.now + waitMs;
  // An idle server is always tried; otherwise an outdated running time could block a route forever.
  const runTimeMs = state.running.size === 0 ? 0 : (state.runTimes.get(call.route) ?? 0);
  return startAt > call.startBy || startAt + runTimeMs * RUN_TIME_NEEDED_SHARE >= call.deadline;
}

function expectedWaitMs(state: Gate, queued: QueuedCall): Milliseconds {
  const limit = gateLimit(state);
  if (state.running.size < limit) return 0;
  // Only ended calls count. Slot time without completions made a server that had just resumed work
  // look slow, and calls were refused as too late right after their zone came back.
  const runTimeMs = state.runTimes.get(queued.call.route) ?? 0;
  return (callsAhead(state.queue, queued, state.weights) * runTimeMs) / limit;
}

function assertDispatch(state: Gate, queued: QueuedCall): readonly Violation[] {
  const running = state.running.size;
  const { limit } = state.warmUp;
  return [
    ...assertPromise(
      'cold-start',
      running <= limit && running <= state.slots,
      () => `${running} calls run; warm-up limit ${limit}, slots ${state.slots}`,
    ),
    ...assertPromise(
      queued.stateAtArrival === 'leaving' ? 'leaving' : 'zone-out',
      queued.stateAtArrival === 'serving',
      () =>
        `call ${queued.call.requestId} arrived while ${queued.stateAtArrival} and is dispatched`,
    ),
  ];
}

function dispatch(state: Gate, queued: QueuedCall): GateStep {
  const { call, caller } = queued;
  const running = state.running.set(call.requestId, {
    call,
    caller,
    dispatchedAt: state.now,
    warmUpEpoch: state.warmUp.epoch,
    isAborted: false,
  });
  const next: Gate = {
    ...state,
    queue: dequeueForDispatch(state.queue, queued, weightOf(state.weights, caller)),
    running,
    fractions: recordWait(state.fractions, state.now - queued.arrivedAt),
  };
  return step<Gate, GateEffect>(next, ...assertDispatch(next, queued), {
    kind: 'dispatch',
    call,
  });
}

/** Dispatches queued calls while slots are free, and refuses those that would end too late. */
function dispatchQueued(before: Gate, precedingEffects: readonly GateEffect[] = []): GateStep {
  let state = before;
  const effects: GateEffect[] = [...precedingEffects];
  const limit = gateLimit(state);
  for (
    let queued = nextQueued(state.queue);
    queued !== undefined && state.running.size < limit;
    queued = nextQueued(state.queue)
  ) {
    if (isDeadlineUnreachable(state, queued, 0)) {
      state = { ...state, queue: removeQueued(state.queue, queued) };
      effects.push(...refuse(state, queued, 'deadlineUnreachable'));
    } else {
      const dispatched = dispatch(state, queued);
      state = dispatched.state;
      effects.push(...dispatched.effects);
    }
  }
  const peakRunning = Math.max(state.peakRunning, state.running.size);
  return { state: { ...state, peakRunning }, effects };
}

/** Evicts and refuses one call when the queue is too long. */
function evictOverflow(state: Gate): GateStep {
  const capacity = Math.max(QUEUE_CALLS_MIN, state.slots * QUEUE_CALLS_PER_SLOT);
  if (state.queue.callsById.size <= capacity) return step(state);
  const victim = evictionCandidate(state.queue, state.weights);
  if (victim === undefined) return step(state);
  const next = { ...state, queue: removeQueued(state.queue, victim) };
  return step(
    next,
    ...assertShedOrder(next, victim.call.importance),
    ...refuse(next, victim, 'overloaded'),
  );
}

function refuseWhileClosed(state: Gate, queued: QueuedCall): GateStep {
  const { stateAtArrival } = queued;
  switch (stateAtArrival) {
    case 'leaving':
      return step(state, ...refuse(state, queued, 'nodeLeaving', CLOSED_RETRY_AFTER_MS));
    case 'zone-out':
      return step(state, ...refuse(state, queued, 'zoneOut', CLOSED_RETRY_AFTER_MS));
    case 'serving':
      return step(state);
  }
}

/** Checks whether a root is to be refused by the admit fraction of its class and caller. */
function isAboveAdmitFraction(state: Gate, { call, caller }: QueuedCall): boolean {
  return (
    call.depth === 0 &&
    call.rootHash >= callerFraction(state.fractions, call.importance, caller) &&
    // While a less important call is queued, that call is evicted first when the queue is full.
    !hasLessImportantCall(state.queue, call.importance)
  );
}

function admit(before: Gate, call: Call): GateStep {
  // A duplicate frame must not lead to a second answer for the same call.
  if (before.queue.callsById.has(call.requestId) || before.running.has(call.requestId)) {
    return step(before);
  }
  const queued = createQueuedCall(call, before.now, before.state);
  if (before.state !== 'serving') return refuseWhileClosed(before, queued);
  const fractions = recordArrival(before.fractions, call, queued.caller);
  const state = { ...before, fractions };
  if (isDeadlineUnreachable(state, queued, expectedWaitMs(state, queued))) {
    return step(state, ...refuse(state, queued, 'deadlineUnreachable'));
  }
  if (isAboveAdmitFraction(state, queued)) {
    return step(
      state,
      ...assertShedOrder(state, call.importance),
      ...refuse(state, queued, 'overloaded'),
    );
  }
  const filled = dispatchQueued({ ...state, queue: enqueue(state.queue, queued) });
  const evicted = evictOverflow(filled.state);
  return { state: evicted.state, effects: [...filled.effects, ...evicted.effects] };
}

function cancel(state: Gate, requestId: RequestId): GateStep {
  const queued = state.queue.callsById.get(requestId);
  if (queued !== undefined) {
    const next = { ...state, queue: removeQueued(state.queue, queued) };
    return step(next, ...refuse(next, queued, 'cancelled', 0));
  }
  const running = state.running.get(requestId);
  // A non-idempotent call is not aborted, since its outcome would then be unknown.
  if (running === undefined || running.isAborted || !running.call.idempotent) return step(state);
  return step(
    { ...state, running: state.running.set(requestId, { ...running, isAborted: true }) },
    { kind: 'abort', requestId },
  );
}

function endCall(
  state: Gate,
  requestId: RequestId,
  end: DispatchEnd,
  ownLatencyMs: Milliseconds,
): GateStep {
  const running = state.running.get(requestId);
  if (running === undefined) return step(state);
  const outcome = endOutcome(end, OVERLOAD_RETRY_AFTER_MS);
  const next = recordDispatchEnd(
    { ...state, running: state.running.delete(requestId) },
    running,
    end,
    ownLatencyMs,
  );
  return dispatchQueued(next, [
    ...assertPromise(
      'not-run',
      outcome.kind !== 'refused' || end.kind === 'not-run',
      () => `call ${requestId} ran and is answered as refused`,
    ),
    answerEffect(next, running.call, running.caller, outcome),
  ]);
}

/** Refuses queued calls that would be answered too late, so that they do not fill the queue. */
function refuseLateCalls(state: Gate): GateStep {
  const late: QueuedCall[] = [];
  state.queue.callsById.forEach((queued) => {
    if (isDeadlineUnreachable(state, queued, 0)) late.push(queued);
  });
  if (late.length === 0) return step(state);
  const queue = late.reduce(removeQueued, state.queue);
  const next = { ...state, queue };
  return step(next, ...late.flatMap((queued) => refuse(next, queued, 'deadlineUnreachable')));
}

function tick(before: Gate): GateStep {
  const intervalMs = before.now - before.rate.startedAt;
  if (intervalMs <= 0) return dispatchQueued(before);
  const limit = gateLimit(before);
  const rate = endInterval(before.rate);
  const dropped = refuseLateCalls(before);
  const state: Gate = {
    ...dropped.state,
    rate,
    limit: adaptLimit(before.limit, before.peakRunning, before.now),
    fractions: updateFractions(before.fractions, {
      intervalMs,
      capacity: capacityPerSecond(rate, limit),
      runTimeMs: meanRunTimeMs(rate),
      utilisation: before.rate.currentBusyMs / (limit * intervalMs),
      isStalled: before.fractions.waits === 0 && before.queue.callsById.size > 0,
      weights: before.weights,
    }),
    runTimes: decayRunTimes(before.runTimes),
    peakRunning: before.running.size,
    queue: pruneServiceTags(dropped.state.queue),
  };
  return dispatchQueued(state, dropped.effects);
}

function configure(state: Gate, backendServer: BackendServer): GateStep {
  const slots = Math.max(1, backendServer.slots);
  return dispatchQueued({
    ...state,
    slots,
    limit: resizeLimit(state.limit, slots),
    warmUp: resizeWarmUp(state.warmUp, { slots, coldCapacity: backendServer.coldCapacity }),
  });
}

function changeState(state: Gate, gateState: GateState): GateStep {
  const isReopened = state.state !== 'serving' && gateState === 'serving';
  // The backend server may have restarted unnoticed while the gate accepted no calls.
  const warmUp = isReopened ? restartWarmUp(state.warmUp) : state.warmUp;
  return step({ ...state, state: gateState, warmUp });
}

/**
 * Handles one message to a gate.
 *
 * @param before - state of the gate
 * @param message - message to handle
 * @param now - current instant
 * @returns the next state and the effects to perform
 */
export const decideGate: Decision<Gate, GateMessage, GateEffect> = (
  before,
  message,
  now,
): GateStep => {
  const state = { ...before, now, rate: recordBusyTime(before.rate, before.running.size, now) };
  switch (message.kind) {
    case 'configured':
      return configure(state, message.backendServer);
    case 'weights-configured':
      return step({
        ...state,
        weights: PersistentMap(
          [...message.weights].map(([account, weight]): [CallerKey, number] => [
            `account:${account}`,
            Math.max(Number.EPSILON, weight),
          ]),
        ),
      });
    case 'state-changed':
      return changeState(state, message.state);
    case 'arrived':
      return admit(state, message.call);
    case 'cancelled':
      return cancel(state, message.requestId);
    case 'ended':
      return endCall(state, message.requestId, message.end, message.ownLatencyMs);
    case 'restart-suspected':
      return step({ ...state, warmUp: restartWarmUp(state.warmUp) });
    case 'health':
      return step({ ...state, limit: recordHint(state.limit, message.limitHint, now) });
    case 'tick':
      return tick(state);
  }
};
