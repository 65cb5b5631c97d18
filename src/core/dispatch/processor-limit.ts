import type { Milliseconds } from '../model/time.js';

/** Limit of the calls that run at the same time, from the processor of the node. */
export type ProcessorLimit =
  /** The processor has time to spare. */
  { readonly kind: 'none' } | { readonly kind: 'limited'; readonly calls: number };

/** Use of the processor of a node since the last measurement. */
export interface ProcessorUse {
  /** Share of the time in which the node handled events, from 0 to 1. */
  readonly utilization: number;
  /** Time since the last measurement. */
  readonly elapsedMs: Milliseconds;
}

/** How busy a gate and its node were. */
export interface ProcessorSample extends ProcessorUse {
  /** Calls that run. */
  readonly running: number;
  /** Calls that may run while the processor has time to spare. */
  readonly usable: number;
}

/** The limit before the first sample. */
export const noProcessorLimit: ProcessorLimit = { kind: 'none' };

/**
 * Utilization from which the processor counts as saturated: requests wait unread in the sockets of
 * the node, where neither their rank nor their deadline counts.
 */
export const SATURATED_UTILIZATION = 0.95;

/** Utilization below which the limit rises again. */
const RELAXED_UTILIZATION = 0.85;

/** Interval of one change of the limit; shorter measurements show single long events. */
export const PROCESSOR_INTERVAL_MS: Milliseconds = 100;

/** Multiplicative decrease of the running calls, and increase of the limit, in one interval. */
const DECREASE_FACTOR = 0.9;
const INCREASE_FACTOR = 1.1;
const INCREASE_STEP = 1;

/** A node in calm that is busy with one long event still runs this many calls. */
const MIN_CALLS = 8;

/** A limit that changes by less than this factor is not reported anew. */
const REPORTED_RATIO = 1.5;

/**
 * Checks whether a change of the limit is worth a line in the log: it starts, ends, or permits far
 * more or fewer calls than when it was last reported.
 *
 * @param reported - the limit that was last reported
 * @param current - the limit now
 * @returns whether to report it
 */
export function isReportable(reported: ProcessorLimit, current: ProcessorLimit): boolean {
  if (reported.kind === 'none' || current.kind === 'none') return reported.kind !== current.kind;
  const ratio = current.calls / reported.calls;
  return ratio >= REPORTED_RATIO || ratio <= 1 / REPORTED_RATIO;
}

/**
 * Adjusts the limit so that the processor stays just below saturation. Each call that a backend
 * server runs costs its node more than the call itself, since the calls that it makes pass the node
 * too; the slots of the backend server say nothing about that.
 *
 * @param before - the limit
 * @param sample - how busy the gate and its node were since then
 * @returns the next limit
 */
export function adjustProcessorLimit(
  before: ProcessorLimit,
  { utilization, elapsedMs, running, usable }: ProcessorSample,
): ProcessorLimit {
  const calls = before.kind === 'limited' ? before.calls : usable;
  if (utilization >= SATURATED_UTILIZATION) {
    const reduced = Math.floor(Math.min(calls, running) * DECREASE_FACTOR);
    return { kind: 'limited', calls: Math.max(MIN_CALLS, reduced) };
  }
  if (before.kind === 'none' || utilization >= RELAXED_UTILIZATION) return before;
  const intervals = Math.max(1, elapsedMs / PROCESSOR_INTERVAL_MS);
  const raised = Math.floor(calls * INCREASE_FACTOR ** intervals) + INCREASE_STEP;
  return raised >= usable ? noProcessorLimit : { kind: 'limited', calls: raised };
}
