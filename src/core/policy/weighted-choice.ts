import type { Destination } from './policy.js';

/** How far each destination of a route is behind its share, in the order of the destinations. */
export type Credits = readonly number[];

/** A destination and the credits after its choice. */
export interface WeightedChoice {
  readonly index: number;
  readonly credits: Credits;
}

/**
 * Smooth weighted round robin: any run of choices keeps close to the weights, which independent
 * random draws do not do for a few hundred requests.
 *
 * @param destinations - the destinations with their weights; at least one
 * @param credits - credits after the last choice; another length starts anew
 * @returns the chosen index and the next credits
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
