import { Map as PersistentMap } from 'immutable';
import type { Call, Caller } from '../model/call.js';
import { callerKey, type CallerKey } from '../model/caller-key.js';
import type { BackendServer, Importance } from '../model/configuration.js';
import type { GateState, Load } from '../model/load.js';
import type { RequestId, RouteName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { callerFraction, INITIAL_FRACTIONS, type AdmitFractions } from './admit-fractions.js';
import { EMPTY_QUEUE, type CallQueue } from './call-queue.js';
import { effectiveLimit, startLimit, type ConcurrencyLimit } from './concurrency-limit.js';
import { startServiceRate, type ServiceRate } from './service-rate.js';
import { startWarmUp, type WarmUp } from './warm-up.js';

/** A call that was dispatched to the backend server and has not ended. */
export interface RunningCall {
  readonly call: Call;
  readonly caller: CallerKey;
  readonly dispatchedAt: Instant;
  /** Warm-up epoch at the time of the dispatch. */
  readonly warmUpEpoch: number;
  readonly isAborted: boolean;
}

/** State of a gate: its queue and running calls, and the limits and estimates of its server. */
export interface Gate {
  readonly state: GateState;
  readonly slots: number;
  readonly weights: PersistentMap<CallerKey, number>;
  readonly queue: CallQueue;
  readonly running: PersistentMap<RequestId, RunningCall>;
  readonly limit: ConcurrencyLimit;
  readonly warmUp: WarmUp;
  readonly rate: ServiceRate;
  readonly fractions: AdmitFractions;
  /** Smoothed time from dispatch to end, by route. */
  readonly runTimes: PersistentMap<RouteName, Milliseconds>;
  /** Largest number of calls that ran at the same time in the current interval. */
  readonly peakRunning: number;
  readonly now: Instant;
}

/** Options of a new gate. */
export interface GateOptions {
  readonly backendServer: BackendServer;
  readonly state: GateState;
  readonly now: Instant;
}

/**
 * Builds the first state of a gate. The backend server is treated as cold.
 *
 * @param options - backend server, whether the gate accepts calls, and current instant
 * @returns the state, without calls or measurements
 */
export function startGate({ backendServer, state, now }: GateOptions): Gate {
  const slots = Math.max(1, backendServer.slots);
  return {
    state,
    slots,
    weights: PersistentMap(),
    queue: EMPTY_QUEUE,
    running: PersistentMap(),
    limit: startLimit(slots),
    warmUp: startWarmUp({ slots, coldCapacity: backendServer.coldCapacity }),
    rate: startServiceRate(now),
    fractions: INITIAL_FRACTIONS,
    runTimes: PersistentMap(),
    peakRunning: 0,
    now,
  };
}

/**
 * Computes how many calls may run now.
 *
 * @param state - state of the gate
 * @returns the lowest of slots, concurrency limit and warm-up limit, at least 1
 */
export function gateLimit(state: Gate): number {
  return Math.max(
    1,
    Math.min(state.slots, effectiveLimit(state.limit, state.now), Math.floor(state.warmUp.limit)),
  );
}

/**
 * Reports the load after the last message.
 *
 * @param state - state of the gate
 * @returns whether the gate accepts calls, the running and queued calls, and the limit
 */
export function gateLoad(state: Gate): Load {
  return {
    state: state.state,
    running: state.running.size,
    queued: state.queue.callsById.size,
    limit: gateLimit(state),
  };
}

/**
 * Returns the fraction of new roots that the gate admits from a caller.
 *
 * @param state - state of the gate
 * @param importance - importance class of the roots
 * @param caller - caller of the roots
 * @returns fraction in [0, 1] of root hashes that are admitted
 */
export function admitFraction(state: Gate, importance: Importance, caller: Caller): number {
  return callerFraction(state.fractions, importance, callerKey(caller));
}
