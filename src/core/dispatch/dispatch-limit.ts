import type { GateLoad } from '../exchange/mesh-call.js';
import type { Instant } from '../model/time.js';
import { currentPressure } from '../shedding/smoothed-pressure.js';
import type { DispatchState } from './dispatch-state.js';
import { PROBE_CALLS } from './start-limit.js';
import type { StartRate } from './start-rate.js';

/** Share of the slots in use; some backend servers slow down when their last slots are taken. */
const USABLE_SLOT_SHARE = 0.95;

/** Share of the slots, and of a stated limit, reserved for root requests. */
export const ROOT_RESERVED_SHARE = 0.1;

/**
 * The same share of the rate of a cold backend server. While all services are cold, most requests
 * that make nested calls fail, so requests without nested calls get a larger reserve.
 */
const COLD_ROOT_RESERVED_SHARE = 0.35;

const MS_PER_SECOND = 1000;

/**
 * Computes how many slots of a backend server are used.
 *
 * @param slots - its slots
 * @returns a whole number of at least 1
 */
export function usableSlots(slots: number): number {
  return Math.max(1, Math.floor(slots * USABLE_SLOT_SHARE));
}

/**
 * Computes how many calls may run at the same time.
 *
 * @param state - state of the gate
 * @returns a whole number of at least 1
 */
export function dispatchLimit({ slots, startLimit, processorLimit }: DispatchState): number {
  const usable = usableSlots(slots);
  const bySlots = startLimit.kind === 'unprobed' ? Math.min(usable, PROBE_CALLS) : usable;
  return processorLimit.kind === 'limited' ? Math.min(bySlots, processorLimit.calls) : bySlots;
}

function coldRates({ condition, coldRatePerSecond }: DispatchState): readonly StartRate[] {
  if (condition.kind !== 'cold') return [];
  const rootShare = COLD_ROOT_RESERVED_SHARE;
  return [{ ratePerSecond: coldRatePerSecond, rootShare, reason: 'cold-start' }];
}

function statedRates({ startLimit }: DispatchState): readonly StartRate[] {
  if (startLimit.kind !== 'limited') return [];
  const { ratePerSecond } = startLimit;
  return [{ ratePerSecond, rootShare: ROOT_RESERVED_SHARE, reason: 'stated-limit' }];
}

const NO_RATES: readonly StartRate[] = [];

/**
 * Lists the rates that limit the starts at present.
 *
 * @param state - state of the gate
 * @returns the rates; the lowest one comes first
 */
export function startRates(state: DispatchState): readonly StartRate[] {
  if (state.condition.kind !== 'cold' && state.startLimit.kind !== 'limited') return NO_RATES;
  return [...coldRates(state), ...statedRates(state)].sort(
    (left, right) => left.ratePerSecond - right.ratePerSecond,
  );
}

/**
 * Computes the calls that run at the same time at full load. By Little's law a stated limit holds
 * as many as start within the time that one takes.
 */
function reportedLimit(state: DispatchState): number {
  const { startLimit, serviceTimeMs } = state;
  if (startLimit.kind !== 'limited') return dispatchLimit(state);
  const concurrency = (startLimit.ratePerSecond * serviceTimeMs) / MS_PER_SECOND;
  return Math.min(dispatchLimit(state), Math.max(1, concurrency));
}

/** Pressures that a gate reports beside that of its queue, from 0 to 1. */
export interface NodePressure {
  /** Pressure on the processor of the node. */
  readonly processor: number;
  /** Pressure on the calls that the backend server makes. */
  readonly downstream: number;
}

/**
 * Builds the load report of a gate.
 *
 * @param state - state of the gate
 * @param node - pressures of the node
 * @param now - the current instant
 * @returns the load
 */
export function gateLoad(state: DispatchState, node: NodePressure, now: Instant): GateLoad {
  const isCold = state.condition.kind !== 'warm';
  return {
    busy: state.running.size + state.queue.length,
    limit: reportedLimit(state),
    serviceTimeMs: state.serviceTimeMs,
    pressure: currentPressure(state.pressure, now),
    downstreamPressure: Math.max(node.processor, node.downstream),
    isCold,
    isLeaving: state.isBackendLeaving,
  };
}
