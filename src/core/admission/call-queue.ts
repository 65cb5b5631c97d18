import { Map as PersistentMap, OrderedMap } from 'immutable';
import type { Call } from '../model/call.js';
import { callerKey, type CallerKey } from '../model/caller-key.js';
import { IMPORTANCES, type Importance } from '../model/configuration.js';
import type { GateState } from '../model/load.js';
import type { RequestId } from '../model/names.js';
import type { Instant } from '../model/time.js';

/** A call in the queue of a gate. */
export interface QueuedCall {
  readonly call: Call;
  readonly caller: CallerKey;
  readonly arrivedAt: Instant;
  /** State of the gate at the arrival, for the assertions of `leaving` and `zone-out`. */
  readonly stateAtArrival: GateState;
}

/** Weights of callers in weighted fair queueing; a caller that is not listed has weight 1. */
export type Weights = PersistentMap<CallerKey, number>;

/** Queued calls of one importance class by caller: only roots, or only calls of started roots. */
type Lane = PersistentMap<CallerKey, OrderedMap<RequestId, QueuedCall>>;

/** Virtual time and service tags of one importance class, in dispatched calls divided by weight. */
interface ServiceTags {
  readonly virtualTime: number;
  readonly tags: PersistentMap<CallerKey, number>;
}

/** Queued calls of a gate, arranged for weighted fair queueing within each importance class. */
export interface CallQueue {
  /** Two lanes for each class, most important class first: calls of started roots, then roots. */
  readonly lanes: readonly Lane[];
  readonly laneSizes: readonly number[];
  readonly callsById: PersistentMap<RequestId, QueuedCall>;
  readonly serviceTags: readonly ServiceTags[];
}

/** Queue of a new gate. */
export const EMPTY_QUEUE: CallQueue = {
  lanes: IMPORTANCES.flatMap((): Lane[] => [PersistentMap(), PersistentMap()]),
  laneSizes: IMPORTANCES.flatMap(() => [0, 0]),
  callsById: PersistentMap(),
  serviceTags: IMPORTANCES.map(() => ({
    virtualTime: 0,
    tags: PersistentMap<CallerKey, number>(),
  })),
};

/**
 * Returns the weight of a caller.
 *
 * @param weights - configured weights
 * @param caller - caller to look up
 * @returns weight above 0; 1 by default
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

/** Returns the caller with the lowest score; on a tie, the first one. */
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
 * @param call - call that arrived
 * @param arrivedAt - instant of the arrival
 * @param stateAtArrival - state of the gate at the arrival
 * @returns the queue entry
 */
export function createQueuedCall(
  call: Call,
  arrivedAt: Instant,
  stateAtArrival: GateState,
): QueuedCall {
  return { call, caller: callerKey(call.caller), arrivedAt, stateAtArrival };
}

/**
 * Appends a call to the calls of its caller in the matching lane.
 *
 * @param queue - queue of the gate
 * @param queued - call that is not yet in the queue
 * @returns the queue with the call
 */
export function enqueue(queue: CallQueue, queued: QueuedCall): CallQueue {
  const index = laneIndexOf(queued.call);
  const lane = laneAt(queue, index);
  const calls = lane.get(queued.caller) ?? OrderedMap<RequestId, QueuedCall>();
  const classIndex = classIndexOf(queued.call.importance);
  const { virtualTime, tags } = serviceTagsAt(queue, classIndex);
  // Starting at the virtual time keeps a caller from accumulating credit while it is idle.
  const tag = Math.max(tags.get(queued.caller) ?? 0, virtualTime);
  return {
    lanes: queue.lanes.with(
      index,
      lane.set(queued.caller, calls.set(queued.call.requestId, queued)),
    ),
    laneSizes: queue.laneSizes.with(index, (queue.laneSizes[index] ?? 0) + 1),
    callsById: queue.callsById.set(queued.call.requestId, queued),
    serviceTags: queue.serviceTags.with(classIndex, {
      virtualTime,
      tags: tags.set(queued.caller, tag),
    }),
  };
}

/**
 * Removes a call without counting it as served.
 *
 * @param queue - queue of the gate
 * @param queued - call in the queue
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
    callsById: queue.callsById.delete(queued.call.requestId),
  };
}

/**
 * Finds the call to dispatch next.
 *
 * @param queue - queue of the gate
 * @returns the next call, or undefined when the queue is empty
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
 * Removes a call for dispatch and adds it to the service that its caller has received.
 *
 * @param queue - queue of the gate
 * @param queued - call in the queue
 * @param weight - weight of the caller
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
 * Finds the call to evict when the queue is full. It is taken from the least important class, from
 * the roots if there are any, and is the newest call of the caller with the most queued calls per
 * weight.
 *
 * @param queue - queue of the gate
 * @param weights - weights of the callers
 * @returns the call to evict, or undefined when the queue is empty
 */
export function evictionCandidate(queue: CallQueue, weights: Weights): QueuedCall | undefined {
  const index = queue.laneSizes.findLastIndex((size) => size > 0);
  if (index < 0) return undefined;
  const lane = laneAt(queue, index);
  const caller = lowestScoring(lane, (candidate, size) => -size / weightOf(weights, candidate));
  return caller === null ? undefined : lane.get(caller)?.last();
}

/**
 * Checks whether a less important call is queued.
 *
 * @param queue - queue of the gate
 * @param importance - importance class to compare with
 * @returns true when a call of a less important class is in the queue
 */
export function hasLessImportantCall(queue: CallQueue, importance: Importance): boolean {
  return queue.laneSizes.findLastIndex((size) => size > 0) >= (classIndexOf(importance) + 1) * 2;
}

/**
 * Estimates how many calls are dispatched before a call that arrives now.
 *
 * @param queue - queue of the gate
 * @param queued - call that arrives, not yet in the queue
 * @param weights - weights of the callers
 * @returns number of calls ahead; each other caller of the lane counts up to its fair share
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
 * Drops service tags that no longer affect the order of dispatch, which bounds the memory.
 *
 * @param queue - queue of the gate
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
