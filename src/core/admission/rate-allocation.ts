import { IMPORTANCES, type Importance } from '../model/configuration.js';
import type { CallerKey } from '../model/caller-key.js';

/** What one caller asks for in one importance class. */
export interface Demand {
  readonly importance: Importance;
  readonly caller: CallerKey;
  readonly weight: number;
  /** Calls per second. */
  readonly rate: number;
}

/** The rate that a demand receives. */
export interface Allocation {
  readonly demand: Demand;
  readonly rate: number;
}

/** How one importance class fares. */
export interface ClassAllocation {
  readonly importance: Importance;
  readonly allocations: readonly Allocation[];
  /** Rate that remains for the class after all more important ones. */
  readonly available: number;
}

/**
 * Divides a rate by weighted max-min: small demands are met in full, the others share what is
 * left in proportion to their weights.
 */
function divideMaxMin(demands: readonly Demand[], rate: number): readonly Allocation[] {
  // By demand per weight, each demand is compared with its share of what the smaller ones left.
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
 * Allocates a rate to demands: by importance, and by weighted max-min over the callers of the
 * class that cannot be served in full.
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
