import { Map as PersistentMap } from 'immutable';
import type { Call } from '../model/call.js';
import type { CallerKey } from '../model/caller-key.js';
import { IMPORTANCES, type Importance } from '../model/configuration.js';
import type { Milliseconds } from '../model/time.js';
import { weightOf, type Weights } from './call-queue.js';
import { allocateRate, type Demand } from './rate-allocation.js';

/** Mean wait in the queue above which the capacity is divided among the callers. */
export const QUEUE_WAIT_TARGET_MS = 20;

/**
 * Target wait for slow backend servers, as a share of the mean running time. At 100 calls/s, a
 * wait of 20 ms means two queued calls: too few to refill several slots that become free at once.
 */
const QUEUE_WAIT_TARGET_SHARE = 0.25;

/**
 * Largest smoothing factor of the demand for each interval of 100 ms. A change shows within about
 * 300 ms.
 */
const SMOOTHING_FACTOR_MAX = 0.3;

/**
 * The smoothing factor falls with the expected number of arrivals. With a fixed factor, random
 * variation would at times lift the measured demand of a small account above its fair share, and
 * its calls would be refused.
 */
const SMOOTHING_FACTOR_MIN = 0.05;
const ARRIVALS_FOR_FULL_FACTOR = 60;

/**
 * Largest rise of a fraction for each interval of 100 ms, so that it goes from 0 to 1 within 1 s.
 * With an unlimited rise, the fraction of a refused class would alternate between 0 and 1.
 */
const FRACTION_RISE_MAX = 0.1;

/**
 * Below this fraction, entries send too few roots to measure the demand. The last measured value
 * is kept and decays by 3% for each interval.
 */
const MEASURABLE_FRACTION_MIN = 0.05;
const HELD_DEMAND_DECAY = 0.97;

/** Demand below this rate is dropped, which bounds the memory. */
const NEGLIGIBLE_RATE_PER_S = 0.1;

/** Number of intervals for which entries may still apply an older fraction. */
const FRACTION_HISTORY_INTERVALS = 3;

/** Utilisation from which the slots count as busy. */
const BUSY_UTILISATION_MIN = 0.95;

/** Bounds of the capacity correction, and the factors by which it changes in an interval. */
const CORRECTION_MIN = 0.7;
const CORRECTION_MAX = 1.25;
const CORRECTION_RISE = 1.02;
const CORRECTION_FALL = 0.96;

/** Demand and admit fraction of one caller in one importance class. */
interface CallerAdmission {
  readonly importance: Importance;
  readonly caller: CallerKey;
  /** Roots per second that the caller would send if entries refused none of them. */
  readonly rootRate: number;
  /** Calls per second at a depth above 0; their roots have already started. */
  readonly startedRate: number;
  /**
   * Counts of the current interval: roots with a hash below the lowest applied fraction, and calls
   * of started roots.
   */
  readonly roots: number;
  readonly started: number;
  readonly fraction: number;
  /** Fractions of the last intervals, newest first. */
  readonly recentFractions: readonly number[];
}

/** Admit fractions of a gate and the measurements that they are derived from. */
export interface AdmitFractions {
  readonly admissions: PersistentMap<string, CallerAdmission>;
  /** Fraction of callers without measured demand, by importance class. */
  readonly defaultFractions: PersistentMap<Importance, number>;
  /** Whether the capacity is divided among the callers; otherwise all calls are admitted. */
  readonly isAllocating: boolean;
  /** Factor for the estimated capacity, adjusted to keep the slots busy and the queue short. */
  readonly capacityCorrection: number;
  readonly waitSumMs: Milliseconds;
  readonly waits: number;
}

/** Measurements and settings from which the fractions are computed at the end of an interval. */
export interface IntervalStatistics {
  readonly intervalMs: Milliseconds;
  /** Calls per second that can be completed; null while unknown. */
  readonly capacity: number | null;
  /** Mean time for which a call holds a slot; 0 while unknown. */
  readonly runTimeMs: Milliseconds;
  /** Used share of the permitted slot time. */
  readonly utilisation: number;
  /** Whether calls wait and none was dispatched in the interval. */
  readonly isStalled: boolean;
  readonly weights: Weights;
}

/** Fractions of a new gate: all calls are admitted until the queue grows. */
export const INITIAL_FRACTIONS: AdmitFractions = {
  admissions: PersistentMap(),
  defaultFractions: PersistentMap(),
  isAllocating: false,
  capacityCorrection: 1,
  waitSumMs: 0,
  waits: 0,
};

function admissionKey(importance: Importance, caller: CallerKey): string {
  return `${importance} ${caller}`;
}

function startAdmission(
  fractions: AdmitFractions,
  importance: Importance,
  caller: CallerKey,
): CallerAdmission {
  const fraction = fractions.defaultFractions.get(importance) ?? 1;
  const counts = { rootRate: 0, startedRate: 0, roots: 0, started: 0 };
  return { importance, caller, ...counts, fraction, recentFractions: [fraction] };
}

/** Returns the lowest fraction that an entry may have applied to roots that arrive now. */
function lowestAppliedFraction({ recentFractions: recent }: CallerAdmission): number {
  return Math.max(MEASURABLE_FRACTION_MIN, Math.min(...recent));
}

/**
 * Returns the admit fraction of a caller.
 *
 * @param fractions - admit fractions of the gate
 * @param importance - importance class of the call
 * @param caller - caller of the call
 * @returns fraction in [0, 1] of root hashes that are admitted
 */
export function callerFraction(
  fractions: AdmitFractions,
  importance: Importance,
  caller: CallerKey,
): number {
  return (
    fractions.admissions.get(admissionKey(importance, caller))?.fraction ??
    fractions.defaultFractions.get(importance) ??
    1
  );
}

/**
 * Counts an arrival. Entries refuse roots by hash, so the number of roots with a hash below the
 * lowest applied fraction, divided by that fraction, estimates the demand before refusals at the
 * entries. If only the roots that pass the entries were counted, the fraction would settle too
 * high: at about 0.25 in a closed loop where 0.12 is correct.
 *
 * @param fractions - admit fractions of the gate
 * @param call - call that arrived
 * @param caller - caller of the call
 * @returns the fractions with the arrival counted
 */
export function recordArrival(
  fractions: AdmitFractions,
  call: Call,
  caller: CallerKey,
): AdmitFractions {
  const key = admissionKey(call.importance, caller);
  const admission =
    fractions.admissions.get(key) ?? startAdmission(fractions, call.importance, caller);
  const isCounted = call.depth === 0 && call.rootHash < lowestAppliedFraction(admission);
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
 * @param fractions - admit fractions of the gate
 * @param waitMs - time from arrival to dispatch
 * @returns the fractions with the sample added
 */
export function recordWait(fractions: AdmitFractions, waitMs: Milliseconds): AdmitFractions {
  return { ...fractions, waitSumMs: fractions.waitSumMs + waitMs, waits: fractions.waits + 1 };
}

/**
 * Smooths a rate with the count of one interval.
 *
 * @param rate - smoothed rate so far, in calls per second
 * @param count - number of calls counted in the interval
 * @param countedShare - share of all calls that is counted
 * @param intervalMs - length of the interval
 * @returns the new smoothed rate, in calls per second
 */
function smoothRate(
  rate: number,
  count: number,
  countedShare: number,
  intervalMs: Milliseconds,
): number {
  const expected = (rate * countedShare * intervalMs) / 1_000;
  // The smoothing factor depends on the expected count. If it depended on the actual count, random
  // highs would weigh more than random lows. A count more than about four standard deviations
  // above the expected one is a surge.
  const isSurge = count > expected + 4 * Math.sqrt(expected) + 4;
  const smoothingFactor = isSurge
    ? SMOOTHING_FACTOR_MAX
    : Math.min(
        SMOOTHING_FACTOR_MAX,
        Math.max(SMOOTHING_FACTOR_MIN, expected / ARRIVALS_FOR_FULL_FACTOR),
      );
  return rate + ((count * 1_000) / (countedShare * intervalMs) - rate) * smoothingFactor;
}

function smoothDemand(admission: CallerAdmission, intervalMs: Milliseconds): CallerAdmission {
  const { rootRate, startedRate } = admission;
  const measured = smoothRate(
    rootRate,
    admission.roots,
    lowestAppliedFraction(admission),
    intervalMs,
  );
  const isMeasurable = Math.min(...admission.recentFractions) >= MEASURABLE_FRACTION_MIN;
  return {
    ...admission,
    rootRate: isMeasurable ? measured : Math.max(measured, rootRate * HELD_DEMAND_DECAY),
    startedRate: smoothRate(startedRate, admission.started, 1, intervalMs),
    roots: 0,
    started: 0,
  };
}

function setFraction(admission: CallerAdmission, target: number): CallerAdmission {
  const fraction = Math.min(1, target, admission.fraction + FRACTION_RISE_MAX);
  return {
    ...admission,
    fraction,
    recentFractions: [fraction, ...admission.recentFractions].slice(0, FRACTION_HISTORY_INTERVALS),
  };
}

/** Returns the mean wait that keeps the slots of a server with this running time busy. */
function targetWaitMs(runTimeMs: Milliseconds): Milliseconds {
  return Math.max(QUEUE_WAIT_TARGET_MS, runTimeMs * QUEUE_WAIT_TARGET_SHARE);
}

function updateCorrection(
  fractions: AdmitFractions,
  waitMs: Milliseconds,
  { utilisation, runTimeMs }: IntervalStatistics,
): number {
  const targetMs = targetWaitMs(runTimeMs);
  if (!fractions.isAllocating) return 1;
  const isBusy = utilisation >= BUSY_UTILISATION_MIN;
  if (waitMs > targetMs && isBusy) {
    return Math.max(CORRECTION_MIN, fractions.capacityCorrection * CORRECTION_FALL);
  }
  if (waitMs < targetMs / 2 || (!isBusy && waitMs <= targetMs)) {
    return Math.min(CORRECTION_MAX, fractions.capacityCorrection * CORRECTION_RISE);
  }
  return fractions.capacityCorrection;
}

/** Divides the capacity among the demands and sets the fractions accordingly. */
function allocateFractions(
  fractions: AdmitFractions,
  capacity: number,
  weights: Weights,
): AdmitFractions {
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
        const idleFraction = available > 0 ? 1 : 0;
        map.set(key, setFraction(admission, demand.rate > 0 ? rate / demand.rate : idleFraction));
      });
    });
  });
  const classFractions = PersistentMap(
    classes.map(({ importance, available }): [Importance, number] => {
      const previousFraction = fractions.defaultFractions.get(importance) ?? 1;
      return [importance, available > 0 ? Math.min(1, previousFraction + FRACTION_RISE_MAX) : 0];
    }),
  );
  const isReduced =
    admissions.some(({ fraction }) => fraction < 1) ||
    classFractions.some((fraction) => fraction < 1);
  return { ...fractions, admissions, defaultFractions: classFractions, isAllocating: isReduced };
}

/** Raises all fractions by one step towards 1. */
function raiseFractions(fractions: AdmitFractions): AdmitFractions {
  return {
    ...fractions,
    admissions: fractions.admissions.map((admission) => setFraction(admission, 1)),
    defaultFractions: PersistentMap(
      IMPORTANCES.map((importance): [Importance, number] => [
        importance,
        Math.min(1, (fractions.defaultFractions.get(importance) ?? 1) + FRACTION_RISE_MAX),
      ]),
    ),
  };
}

/**
 * Ends an interval and computes the fractions for the next one.
 *
 * @param fractions - fractions with the counts of the interval
 * @param statistics - capacity, utilisation and weights
 * @returns fractions for the next interval, with all counts reset
 */
export function updateFractions(
  fractions: AdmitFractions,
  statistics: IntervalStatistics,
): AdmitFractions {
  const meanWaitMs = fractions.waits === 0 ? 0 : fractions.waitSumMs / fractions.waits;
  const isOverTarget = statistics.isStalled || meanWaitMs > targetWaitMs(statistics.runTimeMs);
  const measured: AdmitFractions = {
    ...fractions,
    admissions: fractions.admissions
      .map((admission) => smoothDemand(admission, statistics.intervalMs))
      .filter(
        ({ rootRate, startedRate, fraction }) =>
          rootRate + startedRate > NEGLIGIBLE_RATE_PER_S || fraction < 1,
      ),
    capacityCorrection: updateCorrection(fractions, meanWaitMs, statistics),
    waitSumMs: 0,
    waits: 0,
  };
  if (statistics.capacity === null) return raiseFractions(measured);
  if (!isOverTarget && !fractions.isAllocating) return raiseFractions(measured);
  return allocateFractions(
    measured,
    statistics.capacity * measured.capacityCorrection,
    statistics.weights,
  );
}
