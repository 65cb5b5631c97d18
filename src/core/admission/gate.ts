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
import { fractionOf, recordArrival, recordWait, updateFractions } from './admit-fractions.js';
import {
  callsAhead,
  enqueue,
  evictionVictim,
  hasLessImportant,
  nextQueued,
  pruneService,
  queuedCall,
  removeQueued,
  serveQueued,
  weightOf,
  type QueuedCall,
} from './call-queue.js';
import { adaptLimit, recordHint, resizeLimit } from './concurrency-limit.js';
import { endOutcome, forgetRunTimes, learnFromEnd } from './dispatch-end.js';
import type { DispatchEnd, GateEffect, GateMessage } from './gate-message.js';
import { gateLimit, type Admissions } from './gate-state.js';
import { capacityPerSecond, endInterval, meanRunTimeMs, recordBusy } from './service-rate.js';
import { fallBack, resizeWarmUp } from './warm-up.js';

/** Calls that may wait, per slot; with all slots busy the queue lasts two service times. */
const QUEUE_CALLS_PER_SLOT = 2;

/** A small backend server still gets a queue that absorbs a burst. */
const QUEUE_CALLS_MIN = 16;

/** Time for which a caller should stay away after a refusal for overload. */
const OVERLOAD_RETRY_AFTER_MS = 500;

/** Time for which a caller should stay away from a gate that takes no new work. */
const CLOSED_RETRY_AFTER_MS = 5_000;

/**
 * Part of the typical running time that a call must have left. Half of it keeps calls that are
 * faster than usual from being refused.
 */
const RUN_TIME_NEEDED = 0.5;

type GateStep = Step<Admissions, GateEffect>;

function answer(state: Admissions, call: Call, caller: CallerKey, outcome: Outcome): GateEffect {
  return {
    kind: 'answer',
    requestId: call.requestId,
    outcome,
    feedback: {
      service: call.service,
      admitFraction: fractionOf(state.fractions, call.importance, caller),
    },
  };
}

/** Refuses a call that waits or has just arrived. */
function refuse(
  state: Admissions,
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
    answer(state, call, caller, { kind: 'refused', code, retryAfterMs }),
  ];
}

function assertShedOrder(state: Admissions, importance: Importance): readonly Violation[] {
  return assertPromise(
    'importance-order',
    !hasLessImportant(state.queue, importance),
    () => `a call of class ${importance} is refused while a less important call waits`,
  );
}

/** Whether a call that starts after the wait would be answered too late. */
function isOutOfReach(state: Admissions, { call }: QueuedCall, waitMs: Milliseconds): boolean {
  const startAt = state.now + waitMs;
  // An idle server is always tried, or an outdated running time would shut a route for good.
  const runTimeMs = state.running.size === 0 ? 0 : (state.runTimes.get(call.route) ?? 0);
  return startAt > call.startBy || startAt + runTimeMs * RUN_TIME_NEEDED >= call.deadline;
}

function expectedWaitMs(state: Admissions, queued: QueuedCall): Milliseconds {
  const limit = gateLimit(state);
  if (state.running.size < limit) return 0;
  // Times of ended calls, since slot time without completions makes a server that has just taken
  // up work look slow; such calls were refused as too late right after a zone came back.
  const runTimeMs = state.runTimes.get(queued.call.route) ?? 0;
  return (callsAhead(state.queue, queued, state.weights) * runTimeMs) / limit;
}

function assertDispatch(state: Admissions, queued: QueuedCall): readonly Violation[] {
  const running = state.running.size;
  const { limit } = state.warmUp;
  return [
    ...assertPromise(
      'cold-start',
      running <= limit && running <= state.slots,
      () => `${running} calls run; warm-up limit ${limit}, slots ${state.slots}`,
    ),
    ...assertPromise(
      queued.arrivedWhile === 'leaving' ? 'leaving' : 'zone-out',
      queued.arrivedWhile === 'serving',
      () => `call ${queued.call.requestId} arrived while ${queued.arrivedWhile} and is dispatched`,
    ),
  ];
}

function dispatch(state: Admissions, queued: QueuedCall): GateStep {
  const { call, caller } = queued;
  const running = state.running.set(call.requestId, {
    call,
    caller,
    dispatchedAt: state.now,
    epoch: state.warmUp.epoch,
    isAborted: false,
  });
  const next: Admissions = {
    ...state,
    queue: serveQueued(state.queue, queued, weightOf(state.weights, caller)),
    running,
    fractions: recordWait(state.fractions, state.now - queued.arrivedAt),
  };
  return step<Admissions, GateEffect>(next, ...assertDispatch(next, queued), {
    kind: 'dispatch',
    call,
  });
}

/** Dispatches while slots are free; calls that would be answered too late are refused. */
function fillSlots(before: Admissions, first: readonly GateEffect[] = []): GateStep {
  let state = before;
  const effects: GateEffect[] = [...first];
  const limit = gateLimit(state);
  for (
    let queued = nextQueued(state.queue);
    queued !== undefined && state.running.size < limit;
    queued = nextQueued(state.queue)
  ) {
    if (isOutOfReach(state, queued, 0)) {
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

/** Makes room when the queue is too long. */
function evictOverflow(state: Admissions): GateStep {
  const capacity = Math.max(QUEUE_CALLS_MIN, state.slots * QUEUE_CALLS_PER_SLOT);
  if (state.queue.positions.size <= capacity) return step(state);
  const victim = evictionVictim(state.queue, state.weights);
  if (victim === undefined) return step(state);
  const next = { ...state, queue: removeQueued(state.queue, victim) };
  return step(
    next,
    ...assertShedOrder(next, victim.call.importance),
    ...refuse(next, victim, 'overloaded'),
  );
}

function refuseClosed(state: Admissions, queued: QueuedCall): GateStep {
  const { arrivedWhile } = queued;
  switch (arrivedWhile) {
    case 'leaving':
      return step(state, ...refuse(state, queued, 'nodeLeaving', CLOSED_RETRY_AFTER_MS));
    case 'zone-out':
      return step(state, ...refuse(state, queued, 'zoneOut', CLOSED_RETRY_AFTER_MS));
    case 'serving':
      return step(state);
  }
}

/** Whether a root is above the admit fraction of its class and caller. */
function isThinned(state: Admissions, { call, caller }: QueuedCall): boolean {
  return (
    call.depth === 0 &&
    call.rootHash >= fractionOf(state.fractions, call.importance, caller) &&
    // While a less important call waits, that one gives way when the queue is full.
    !hasLessImportant(state.queue, call.importance)
  );
}

function admit(before: Admissions, call: Call): GateStep {
  // A repeated frame must not lead to a second answer for the same call.
  if (before.queue.positions.has(call.requestId) || before.running.has(call.requestId)) {
    return step(before);
  }
  const queued = queuedCall(call, before.now, before.state);
  if (before.state !== 'serving') return refuseClosed(before, queued);
  const fractions = recordArrival(before.fractions, call, queued.caller);
  const state = { ...before, fractions };
  if (isOutOfReach(state, queued, expectedWaitMs(state, queued))) {
    return step(state, ...refuse(state, queued, 'deadlineUnreachable'));
  }
  if (isThinned(state, queued)) {
    return step(
      state,
      ...assertShedOrder(state, call.importance),
      ...refuse(state, queued, 'overloaded'),
    );
  }
  const filled = fillSlots({ ...state, queue: enqueue(state.queue, queued) });
  const evicted = evictOverflow(filled.state);
  return { state: evicted.state, effects: [...filled.effects, ...evicted.effects] };
}

function cancel(state: Admissions, requestId: RequestId): GateStep {
  const queued = state.queue.positions.get(requestId);
  if (queued !== undefined) {
    const next = { ...state, queue: removeQueued(state.queue, queued) };
    return step(next, ...refuse(next, queued, 'cancelled', 0));
  }
  const running = state.running.get(requestId);
  // A non-idempotent call runs on, since an abort would leave its outcome unknown.
  if (running === undefined || running.isAborted || !running.call.idempotent) return step(state);
  return step(
    { ...state, running: state.running.set(requestId, { ...running, isAborted: true }) },
    { kind: 'abort', requestId },
  );
}

function endCall(
  state: Admissions,
  requestId: RequestId,
  end: DispatchEnd,
  ownLatencyMs: Milliseconds,
): GateStep {
  const running = state.running.get(requestId);
  if (running === undefined) return step(state);
  const outcome = endOutcome(end, OVERLOAD_RETRY_AFTER_MS);
  const next = learnFromEnd(
    { ...state, running: state.running.delete(requestId) },
    running,
    end,
    ownLatencyMs,
  );
  return fillSlots(next, [
    ...assertPromise(
      'not-run',
      outcome.kind !== 'refused' || end.kind === 'not-run',
      () => `call ${requestId} ran and is answered as refused`,
    ),
    answer(next, running.call, running.caller, outcome),
  ]);
}

/** Refuses waiting calls that would be answered too late, so that they do not fill the queue. */
function dropLate(state: Admissions): GateStep {
  const late: QueuedCall[] = [];
  state.queue.positions.forEach((queued) => {
    if (isOutOfReach(state, queued, 0)) late.push(queued);
  });
  if (late.length === 0) return step(state);
  const queue = late.reduce(removeQueued, state.queue);
  const next = { ...state, queue };
  return step(next, ...late.flatMap((queued) => refuse(next, queued, 'deadlineUnreachable')));
}

function tick(before: Admissions): GateStep {
  const intervalMs = before.now - before.rate.startedAt;
  if (intervalMs <= 0) return fillSlots(before);
  const limit = gateLimit(before);
  const rate = endInterval(before.rate);
  const dropped = dropLate(before);
  const state: Admissions = {
    ...dropped.state,
    rate,
    limit: adaptLimit(before.limit, before.peakRunning, before.now),
    fractions: updateFractions(before.fractions, {
      intervalMs,
      capacity: capacityPerSecond(rate, limit),
      runTimeMs: meanRunTimeMs(rate),
      utilisation: before.rate.currentBusyMs / (limit * intervalMs),
      isStuck: before.fractions.waits === 0 && before.queue.positions.size > 0,
      weights: before.weights,
    }),
    runTimes: forgetRunTimes(before.runTimes),
    peakRunning: before.running.size,
    queue: pruneService(dropped.state.queue),
  };
  return fillSlots(state, dropped.effects);
}

function configure(state: Admissions, backendServer: BackendServer): GateStep {
  const slots = Math.max(1, backendServer.slots);
  return fillSlots({
    ...state,
    slots,
    limit: resizeLimit(state.limit, slots),
    warmUp: resizeWarmUp(state.warmUp, { slots, coldCapacity: backendServer.coldCapacity }),
  });
}

function changeState(state: Admissions, gateState: GateState): GateStep {
  const isBack = state.state !== 'serving' && gateState === 'serving';
  // A backend server may have restarted unseen while the gate took no work.
  const warmUp = isBack ? fallBack(state.warmUp) : state.warmUp;
  return step({ ...state, state: gateState, warmUp });
}

/**
 * Decides what a gate does with a message.
 *
 * @param before - state of the gate
 * @param message - the message
 * @param now - the current instant
 * @returns the next state and the effects
 */
export const decideGate: Decision<Admissions, GateMessage, GateEffect> = (
  before,
  message,
  now,
): GateStep => {
  const state = { ...before, now, rate: recordBusy(before.rate, before.running.size, now) };
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
    case 'cold-sign':
      return step({ ...state, warmUp: fallBack(state.warmUp) });
    case 'health':
      return step({ ...state, limit: recordHint(state.limit, message.limitHint, now) });
    case 'tick':
      return tick(state);
  }
};
