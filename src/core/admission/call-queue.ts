import { Map as PersistentMap, OrderedMap } from 'immutable';
import type { Call } from '../model/call.js';
import { callerKey, type CallerKey } from '../model/caller-key.js';
import { IMPORTANCES, type Importance } from '../model/configuration.js';
import type { GateState } from '../model/load.js';
import type { RequestId } from '../model/names.js';
import type { Instant } from '../model/time.js';

/** A call that waits in a gate. */
export interface QueuedCall {
  readonly call: Call;
  readonly caller: CallerKey;
  readonly arrivedAt: Instant;
  /** State of the gate at the arrival, for the assertions on leaving and zone-out. */
  readonly arrivedWhile: GateState;
}

/** Weights of callers in the fair division; a caller that is not listed has weight 1. */
export type Weights = PersistentMap<CallerKey, number>;

/** Calls of equal importance that are either all of started roots or all roots. */
type Lane = PersistentMap<CallerKey, OrderedMap<RequestId, QueuedCall>>;

/** Service received by the callers of one importance class, in calls per weight. */
interface ServiceTags {
  readonly virtualTime: number;
  readonly tags: PersistentMap<CallerKey, number>;
}

/** Waiting calls in the order in which they are dispatched. */
export interface CallQueue {
  /** Two lanes for each class: calls of started roots, then roots. */
  readonly lanes: readonly Lane[];
  readonly laneSizes: readonly number[];
  readonly positions: PersistentMap<RequestId, QueuedCall>;
  readonly serviceTags: readonly ServiceTags[];
}

/** An empty queue. */
export const EMPTY_QUEUE: CallQueue = {
  lanes: IMPORTANCES.flatMap((): Lane[] => [PersistentMap(), PersistentMap()]),
  laneSizes: IMPORTANCES.flatMap(() => [0, 0]),
  positions: PersistentMap(),
  serviceTags: IMPORTANCES.map(() => ({
    virtualTime: 0,
    tags: PersistentMap<CallerKey, number>(),
  })),
};

/**
 * Looks up the weight of a caller.
 *
 * @param weights - the configured weights
 * @param caller - the caller
 * @returns its weight, above 0
 */
export function weightOf(weights: Weights, caller: CallerKey): number {
  return weights.get(caller) ?? 1;
}

function classIndexOf(importance: Importance): number {
  return IMPORTANCES.indexOf(importance);
}

function laneIndexOf(call: Call): number {
  return classIndexOf(call.importance) * 2 + (call.depth > 0 ? 0 : 1);
}

function laneAt(queue: CallQueue, index: number): Lane {
  return queue.lanes[index] ?? PersistentMap();
}

function serviceTagsAt(queue: CallQueue, index: number): ServiceTags {
  return queue.serviceTags[index] ?? { virtualTime: 0, tags: PersistentMap() };
}

/** The caller with the lowest score; the first of equal ones. */
function lowestScoring(
  lane: Lane,
  score: (caller: CallerKey, size: number) => number,
): CallerKey | null {
  let best: CallerKey | null = null;
  let bestScore = Infinity;
  lane.forEach((calls, caller) => {
    const value = score(caller, calls.size);
    if (value < bestScore) {
      best = caller;
      bestScore = value;
    }
  });
  return best;
}

/**
 * Builds the queue entry of a call.
 *
 * @param call - the call
 * @param arrivedAt - instant of its arrival
 * @param arrivedWhile - state of the gate at its arrival
 * @returns the entry
 */
export function createQueuedCall(
  call: Call,
  arrivedAt: Instant,
  arrivedWhile: GateState,
): QueuedCall {
  return { call, caller: callerKey(call.caller), arrivedAt, arrivedWhile };
}

/**
 * Adds a call at the end of its caller's lane.
 *
 * @param queue - the queue
 * @param queued - the call, not yet in the queue
 * @returns the queue with the call
 */
export function enqueue(queue: CallQueue, queued: QueuedCall): CallQueue {
  const index = laneIndexOf(queued.call);
  const lane = laneAt(queue, index);
  const calls = lane.get(queued.caller) ?? OrderedMap<RequestId, QueuedCall>();
  const classIndex = classIndexOf(queued.call.importance);
  const { virtualTime, tags } = serviceTagsAt(queue, classIndex);
  // A caller that was idle gains no claim on the time in which it asked for nothing.
  const tag = Math.max(tags.get(queued.caller) ?? 0, virtualTime);
  return {
    lanes: queue.lanes.with(
      index,
      lane.set(queued.caller, calls.set(queued.call.requestId, queued)),
    ),
    laneSizes: queue.laneSizes.with(index, (queue.laneSizes[index] ?? 0) + 1),
    positions: queue.positions.set(queued.call.requestId, queued),
    serviceTags: queue.serviceTags.with(classIndex, {
      virtualTime,
      tags: tags.set(queued.caller, tag),
    }),
  };
}

/**
 * Removes a call without counting it as served.
 *
 * @param queue - the queue
 * @param queued - a call in the queue
 * @returns the queue without the call
 */
export function removeQueued(queue: CallQueue, queued: QueuedCall): CallQueue {
  const index = laneIndexOf(queued.call);
  const lane = laneAt(queue, index);
  const calls = lane.get(queued.caller)?.delete(queued.call.requestId);
  const isEmpty = calls === undefined || calls.size === 0;
  return {
    ...queue,
    lanes: queue.lanes.with(
      index,
      isEmpty ? lane.delete(queued.caller) : lane.set(queued.caller, calls),
    ),
    laneSizes: queue.laneSizes.with(index, (queue.laneSizes[index] ?? 0) - 1),
    positions: queue.positions.delete(queued.call.requestId),
  };
}

/**
 * Finds the call to dispatch next.
 *
 * @param queue - the queue
 * @returns the call, or undefined when none waits
 */
export function nextQueued(queue: CallQueue): QueuedCall | undefined {
  const index = queue.laneSizes.findIndex((size) => size > 0);
  if (index < 0) return undefined;
  const { tags } = serviceTagsAt(queue, Math.floor(index / 2));
  const lane = laneAt(queue, index);
  const caller = lowestScoring(lane, (candidate) => tags.get(candidate) ?? 0);
  return caller === null ? undefined : lane.get(caller)?.first();
}

/**
 * Removes a call that is dispatched and counts it as service of its caller.
 *
 * @param queue - the queue
 * @param queued - a call in the queue
 * @param weight - weight of its caller
 * @returns the queue without the call
 */
export function dequeueForDispatch(
  queue: CallQueue,
  queued: QueuedCall,
  weight: number,
): CallQueue {
  const classIndex = classIndexOf(queued.call.importance);
  const { virtualTime, tags } = serviceTagsAt(queue, classIndex);
  const tag = tags.get(queued.caller) ?? virtualTime;
  return {
    ...removeQueued(queue, queued),
    serviceTags: queue.serviceTags.with(classIndex, {
      virtualTime: Math.max(virtualTime, tag),
      tags: tags.set(queued.caller, tag + 1 / weight),
    }),
  };
}

/**
 * Finds the call that gives way when the queue is full: in the least important class, roots
 * before started calls, the newest call of the caller with the most waiting calls per weight.
 *
 * @param queue - the queue
 * @param weights - weights of the callers
 * @returns the call, or undefined when none waits
 */
export function evictionCandidate(queue: CallQueue, weights: Weights): QueuedCall | undefined {
  const index = queue.laneSizes.findLastIndex((size) => size > 0);
  if (index < 0) return undefined;
  const lane = laneAt(queue, index);
  const caller = lowestScoring(lane, (candidate, size) => -size / weightOf(weights, candidate));
  return caller === null ? undefined : lane.get(caller)?.last();
}

/**
 * Tells whether a less important call waits.
 *
 * @param queue - the queue
 * @param importance - the class to compare with
 * @returns true when a call of a less important class is in the queue
 */
export function hasLessImportantCall(queue: CallQueue, importance: Importance): boolean {
  return queue.laneSizes.findLastIndex((size) => size > 0) >= (classIndexOf(importance) + 1) * 2;
}

/**
 * Estimates how many calls are dispatched before a call that arrives now.
 *
 * @param queue - the queue
 * @param queued - the arriving call
 * @param weights - weights of the callers
 * @returns number of calls ahead; other callers of the same lane count up to the fair share
 */
export function callsAhead(queue: CallQueue, queued: QueuedCall, weights: Weights): number {
  const index = laneIndexOf(queued.call);
  const lane = laneAt(queue, index);
  const callsInEarlierLanes = queue.laneSizes.slice(0, index).reduce((sum, size) => sum + size, 0);
  const ownCalls = lane.get(queued.caller)?.size ?? 0;
  const rounds = (ownCalls + 1) / weightOf(weights, queued.caller);
  return lane.reduce(
    (sum, calls, caller) =>
      caller === queued.caller
        ? sum + ownCalls
        : sum + Math.min(calls.size, rounds * weightOf(weights, caller)),
    callsInEarlierLanes,
  );
}

/**
 * Drops service tags that no longer tell callers apart, so that the memory stays bounded.
 *
 * @param queue - the queue
 * @returns the queue without tags of idle callers at or below the virtual time
 */
export function pruneServiceTags(queue: CallQueue): CallQueue {
  return {
    ...queue,
    serviceTags: queue.serviceTags.map(({ virtualTime, tags }, index) => ({
      virtualTime,
      tags: tags.filter(
        (tag, caller) =>
          tag > virtualTime ||
          laneAt(queue, index * 2).has(caller) ||
          laneAt(queue, index * 2 + 1).has(caller),
      ),
    })),
  };
}
