import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import { xorshift128plus, xorshift128plusFromState } from 'pure-rand/generator/xorshift128plus';

/** State of a random generator, kept inside a decision state so that a step can be replayed. */
export type RandomState = readonly number[];

/** A drawn fraction and the state for the next draw. */
export interface DrawnFraction {
  /** At least 0 and below 1. */
  readonly fraction: number;
  readonly next: RandomState;
}

/**
 * Seeds a generator from an outside source, which is read once.
 *
 * @param random - source of fractions at least 0 and below 1
 * @returns the first state
 */
export function seedRandom(random: () => number): RandomState {
  return xorshift128plus(Math.floor(random() * 0x7fffffff)).getState();
}

/**
 * Draws a fraction.
 *
 * @param state - the generator's state
 * @returns the fraction and the next state
 */
export function drawFraction(state: RandomState): DrawnFraction {
  const generator = xorshift128plusFromState(state);
  return { fraction: uniformFloat32(generator), next: generator.getState() };
}
