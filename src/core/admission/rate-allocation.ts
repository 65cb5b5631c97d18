import { IMPORTANCES, type Importance } from '../model/configuration.js';
import type { CallerKey } from '../model/caller-key.js';

/** Demand of one caller in one importance class. */
export interface Demand {
  readonly importance: Importance;
  readonly caller: CallerKey;
  readonly weight: number;
  /** Demanded calls per second. */
  readonly rate: number;
}

/** Rate in calls per second that is allocated to a demand. */
export interface Allocation {
  readonly demand: Demand;
  readonly rate: number;
}

/** Allocations of one importance class. */
export interface ClassAllocation {
  readonly importance: Importance;
  readonly allocations: readonly Allocation[];
  /** Calls per second that remain for the class after all more important classes. */
  readonly available: number;
}

/**
 * Divides a rate by weighted max-min fairness: small demands are met in full, and the others share
 * the rest in proportion to their weights.
 */
function divideMaxMin(demands: readonly Demand[], rate: number): readonly Allocation[] {
  // In order of demand per weight, so that each share includes what smaller demands left unused.
  const ordered = [...demands].sort((a, b) => a.rate / a.weight - b.rate / b.weight);
  let remainingRate = rate;
  let remainingWeight = ordered.reduce((sum, demand) => sum + demand.weight, 0);
  return ordered.map((demand) => {
    const granted = Math.max(
      0,
      Math.min(demand.rate, (remainingRate * demand.weight) / remainingWeight),
    );
    remainingRate -= granted;
    remainingWeight -= demand.weight;
    return { demand, rate: granted };
  });
}

/**
 * Allocates a rate to demands: to the importance classes in order, and by weighted max-min fairness
 * among the callers of a class that cannot be served in full.
 *
 * @param demands - demand of each caller in each class; weights are above 0
 * @param rate - calls per second that can be served
 * @returns one entry for each importance class, from the most to the least important
 */
export function allocateRate(demands: readonly Demand[], rate: number): readonly ClassAllocation[] {
  let available = Math.max(0, rate);
  return IMPORTANCES.map((importance) => {
    const allocations = divideMaxMin(
      demands.filter((demand) => demand.importance === importance),
      available,
    );
    const allocation = { importance, allocations, available };
    available = Math.max(
      0,
      allocations.reduce((left, { rate: given }) => left - given, available),
    );
    return allocation;
  });
}
