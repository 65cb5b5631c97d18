import { Map as PersistentMap } from 'immutable';
import type { Call } from '../model/call.js';
import type { CallerKey } from '../model/caller-key.js';
import { IMPORTANCES, type Importance } from '../model/configuration.js';
import type { Milliseconds } from '../model/time.js';
import { weightOf, type Weights } from './call-queue.js';
import { allocateRate, type Demand } from './rate-allocation.js';

/** Mean wait in the queue above which demand is allocated. */
export const QUEUE_TARGET_MS = 20;

/**
 * The same for slow backend servers, as a share of the running time. At 100 calls/s a wait of
 * 20 ms means two waiting calls, which is too few to fill the slots that become free by chance.
 */
const QUEUE_TARGET_SHARE = 0.25;

/** Share of a new interval of 100 ms in the demand; a change shows within about 300 ms. */
const DEMAND_SHARE_MAX = 0.3;

/**
 * Few arrivals in an interval say little, so the share falls with their number. Otherwise chance
 * alone would now and then lift a small account above its fair share and have it refused.
 */
const DEMAND_SHARE_MIN = 0.05;
const ARRIVALS_FOR_FULL_SHARE = 60;

/**
 * Largest rise of a fraction for each interval of 100 ms, so that it opens within 1 s. An
 * unlimited rise would let a class that was shut out return at once and be shut out again.
 */
const FRACTION_RISE = 0.1;

/**
 * Below this fraction entries send too few roots to measure the demand; the last figure is
 * held and loses 3% for each interval.
 */
const MEASURABLE_FRACTION = 0.05;
const HELD_DEMAND_SHARE = 0.97;

/** Demand below this rate is forgotten, which bounds the memory. */
const NEGLIGIBLE_RATE = 0.1;

/** Intervals for which entries may still apply an older fraction. */
const FRACTION_HISTORY = 3;

/** Slots count as busy above this utilisation. */
const BUSY_UTILISATION = 0.95;

/** Bounds of the correction of the estimated capacity. */
const CORRECTION_MIN = 0.7;
const CORRECTION_MAX = 1.25;
const CORRECTION_RISE = 1.02;
const CORRECTION_FALL = 0.96;

/** Demand and admit fraction of one caller in one class. */
interface Admission {
  readonly importance: Importance;
  readonly caller: CallerKey;
  /** Roots per second that callers would send if nothing thinned them. */
  readonly rootRate: number;
  /** Calls per second of started roots. */
  readonly startedRate: number;
  /** Counts of the current interval; of roots, those below the applied fraction. */
  readonly roots: number;
  readonly started: number;
  readonly fraction: number;
  /** Fractions of the last intervals, the newest first. */
  readonly recent: readonly number[];
}

/** Admit fractions of a gate and what they are derived from. */
export interface AdmitFractions {
  readonly admissions: PersistentMap<string, Admission>;
  /** Fraction of callers without measured demand, by class. */
  readonly unmeasured: PersistentMap<Importance, number>;
  /** Whether the demand is allocated, or everything is admitted. */
  readonly isAllocating: boolean;
  /** Factor on the estimated capacity that keeps the slots busy and the queue short. */
  readonly correction: number;
  readonly waitSumMs: Milliseconds;
  readonly waits: number;
}

/** What the end of an interval needs to know. */
export interface IntervalEnd {
  readonly intervalMs: Milliseconds;
  /** Calls per second that can be completed; null while unknown. */
  readonly capacity: number | null;
  /** Mean time for which a call holds a slot; 0 while unknown. */
  readonly runTimeMs: Milliseconds;
  /** Share of the permitted slot time that was used. */
  readonly utilisation: number;
  /** Whether calls wait while none was dispatched. */
  readonly isStuck: boolean;
  readonly weights: Weights;
}

/** Everything is admitted until the queue grows. */
export const INITIAL_FRACTIONS: AdmitFractions = {
  admissions: PersistentMap(),
  unmeasured: PersistentMap(),
  isAllocating: false,
  correction: 1,
  waitSumMs: 0,
  waits: 0,
};

function admissionKey(importance: Importance, caller: CallerKey): string {
  return `${importance} ${caller}`;
}

function unmeasuredAdmission(
  fractions: AdmitFractions,
  importance: Importance,
  caller: CallerKey,
): Admission {
  const fraction = fractions.unmeasured.get(importance) ?? 1;
  const counts = { rootRate: 0, startedRate: 0, roots: 0, started: 0 };
  return { importance, caller, ...counts, fraction, recent: [fraction] };
}

/** The lowest fraction that an entry can have applied to roots that arrive now. */
function appliedFraction({ recent }: Admission): number {
  return Math.max(MEASURABLE_FRACTION, Math.min(...recent));
}

/**
 * Reads the admit fraction of a caller.
 *
 * @param fractions - the fractions
 * @param importance - importance class of its call
 * @param caller - the caller
 * @returns fraction in [0, 1] of root hashes that are admitted
 */
export function fractionOf(
  fractions: AdmitFractions,
  importance: Importance,
  caller: CallerKey,
): number {
  return (
    fractions.admissions.get(admissionKey(importance, caller))?.fraction ??
    fractions.unmeasured.get(importance) ??
    1
  );
}

/**
 * Counts an arrival. Entries thin roots by hash, so the roots with a hash below every fraction
 * that may be in force, divided by that fraction, give the demand before thinning. With the thinned
 * demand instead, the fraction settles too high: about 0.25 in a closed loop where 0.12 is right.
 *
 * @param fractions - the fractions
 * @param call - the arrived call
 * @param caller - its caller
 * @returns the fractions with the arrival
 */
export function recordArrival(
  fractions: AdmitFractions,
  call: Call,
  caller: CallerKey,
): AdmitFractions {
  const key = admissionKey(call.importance, caller);
  const admission =
    fractions.admissions.get(key) ?? unmeasuredAdmission(fractions, call.importance, caller);
  const isCounted = call.depth === 0 && call.rootHash < appliedFraction(admission);
  return {
    ...fractions,
    admissions: fractions.admissions.set(key, {
      ...admission,
      roots: admission.roots + (isCounted ? 1 : 0),
      started: admission.started + (call.depth > 0 ? 1 : 0),
    }),
  };
}

/**
 * Records how long a dispatched call waited in the queue.
 *
 * @param fractions - the fractions
 * @param waitMs - its wait
 * @returns the fractions with the sample
 */
export function recordWait(fractions: AdmitFractions, waitMs: Milliseconds): AdmitFractions {
  return { ...fractions, waitSumMs: fractions.waitSumMs + waitMs, waits: fractions.waits + 1 };
}

/**
 * Moves a rate towards the count of an interval.
 *
 * @param rate - calls per second so far
 * @param count - calls counted
 * @param counted - share of all calls that is counted
 * @param intervalMs - length of the interval
 * @returns the new rate
 */
function smoothRate(
  rate: number,
  count: number,
  counted: number,
  intervalMs: Milliseconds,
): number {
  const expected = (rate * counted * intervalMs) / 1_000;
  // The share must not depend on the count itself, or chance highs would weigh more than lows;
  // only a count far outside of what chance explains is a surge.
  const isSurge = count > expected + 4 * Math.sqrt(expected) + 4;
  const share = isSurge
    ? DEMAND_SHARE_MAX
    : Math.min(DEMAND_SHARE_MAX, Math.max(DEMAND_SHARE_MIN, expected / ARRIVALS_FOR_FULL_SHARE));
  return rate + ((count * 1_000) / (counted * intervalMs) - rate) * share;
}

function smooth(admission: Admission, intervalMs: Milliseconds): Admission {
  const { rootRate, startedRate } = admission;
  const measured = smoothRate(rootRate, admission.roots, appliedFraction(admission), intervalMs);
  const isMeasurable = Math.min(...admission.recent) >= MEASURABLE_FRACTION;
  return {
    ...admission,
    rootRate: isMeasurable ? measured : Math.max(measured, rootRate * HELD_DEMAND_SHARE),
    startedRate: smoothRate(startedRate, admission.started, 1, intervalMs),
    roots: 0,
    started: 0,
  };
}

function withFraction(admission: Admission, target: number): Admission {
  const fraction = Math.min(1, target, admission.fraction + FRACTION_RISE);
  return {
    ...admission,
    fraction,
    recent: [fraction, ...admission.recent].slice(0, FRACTION_HISTORY),
  };
}

/** Mean wait that keeps the slots of a server with this running time busy. */
function targetWaitMs(runTimeMs: Milliseconds): Milliseconds {
  return Math.max(QUEUE_TARGET_MS, runTimeMs * QUEUE_TARGET_SHARE);
}

function corrected(
  fractions: AdmitFractions,
  waitMs: Milliseconds,
  { utilisation, runTimeMs }: IntervalEnd,
): number {
  const targetMs = targetWaitMs(runTimeMs);
  if (!fractions.isAllocating) return 1;
  const isBusy = utilisation >= BUSY_UTILISATION;
  if (waitMs > targetMs && isBusy) {
    return Math.max(CORRECTION_MIN, fractions.correction * CORRECTION_FALL);
  }
  if (waitMs < targetMs / 2 || (!isBusy && waitMs <= targetMs)) {
    return Math.min(CORRECTION_MAX, fractions.correction * CORRECTION_RISE);
  }
  return fractions.correction;
}

/** Fractions from the allocation of the capacity to the demand. */
function allocate(fractions: AdmitFractions, capacity: number, weights: Weights): AdmitFractions {
  const demands: Demand[] = [...fractions.admissions.values()].map((admission) => ({
    importance: admission.importance,
    caller: admission.caller,
    weight: weightOf(weights, admission.caller),
    rate: admission.rootRate + admission.startedRate,
  }));
  const classes = allocateRate(demands, capacity);
  const admissions = fractions.admissions.withMutations((map) => {
    classes.forEach(({ available, allocations }) => {
      allocations.forEach(({ demand, rate }) => {
        const key = admissionKey(demand.importance, demand.caller);
        const admission = map.get(key);
        if (admission === undefined) return;
        const idle = available > 0 ? 1 : 0;
        map.set(key, withFraction(admission, demand.rate > 0 ? rate / demand.rate : idle));
      });
    });
  });
  const unmeasured = PersistentMap(
    classes.map(({ importance, available }): [Importance, number] => {
      const before = fractions.unmeasured.get(importance) ?? 1;
      return [importance, available > 0 ? Math.min(1, before + FRACTION_RISE) : 0];
    }),
  );
  const isReduced =
    admissions.some(({ fraction }) => fraction < 1) || unmeasured.some((fraction) => fraction < 1);
  return { ...fractions, admissions, unmeasured, isAllocating: isReduced };
}

/** Opens all fractions step by step. */
function open(fractions: AdmitFractions): AdmitFractions {
  return {
    ...fractions,
    admissions: fractions.admissions.map((admission) => withFraction(admission, 1)),
    unmeasured: PersistentMap(
      IMPORTANCES.map((importance): [Importance, number] => [
        importance,
        Math.min(1, (fractions.unmeasured.get(importance) ?? 1) + FRACTION_RISE),
      ]),
    ),
  };
}

/**
 * Ends an interval and computes the fractions for the next one.
 *
 * @param fractions - the fractions with the counts of the interval
 * @param end - capacity, utilisation and weights
 * @returns the new fractions
 */
export function updateFractions(fractions: AdmitFractions, end: IntervalEnd): AdmitFractions {
  const meanWaitMs = fractions.waits === 0 ? 0 : fractions.waitSumMs / fractions.waits;
  const isWaiting = end.isStuck || meanWaitMs > targetWaitMs(end.runTimeMs);
  const measured: AdmitFractions = {
    ...fractions,
    admissions: fractions.admissions
      .map((admission) => smooth(admission, end.intervalMs))
      .filter(
        ({ rootRate, startedRate, fraction }) =>
          rootRate + startedRate > NEGLIGIBLE_RATE || fraction < 1,
      ),
    correction: corrected(fractions, meanWaitMs, end),
    waitSumMs: 0,
    waits: 0,
  };
  if (end.capacity === null) return open(measured);
  if (!isWaiting && !fractions.isAllocating) return open(measured);
  return allocate(measured, end.capacity * measured.correction, end.weights);
}
