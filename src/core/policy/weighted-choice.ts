import type { Destination } from './policy.js';

/** Current weight of each destination of a route, in the order of the destinations. */
export type Credits = readonly number[];

/** A chosen destination and the credits after the choice. */
export interface WeightedChoice {
  readonly index: number;
  readonly credits: Credits;
}

/**
 * Chooses a destination by smooth weighted round robin: any sequence of choices stays close to the
 * weights, while independent random choices deviate over a few hundred requests.
 *
 * @param destinations - destinations with their weights; at least one
 * @param credits - credits after the last choice; reset to 0 when the length differs
 * @returns the index of the chosen destination and the next credits
 */
export function chooseWeighted(
  destinations: readonly Destination[],
  credits: Credits,
): WeightedChoice {
  const previous = credits.length === destinations.length ? credits : destinations.map(() => 0);
  const raised = previous.map((credit, index) => credit + (destinations[index]?.weight ?? 0));
  const index = raised.reduce((best, credit, at) => (credit > (raised[best] ?? 0) ? at : best), 0);
  const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
  return {
    index,
    credits: raised.map((credit, at) => (at === index ? credit - total : credit)),
  };
}
