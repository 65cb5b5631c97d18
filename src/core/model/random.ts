import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import { xorshift128plus, xorshift128plusFromState } from 'pure-rand/generator/xorshift128plus';

/** State of a random generator; part of a decision's state, so that a step can be replayed. */
export type RandomState = readonly number[];

/** A random fraction and the generator state for the next one. */
export interface DrawnFraction {
  /** In [0, 1). */
  readonly fraction: number;
  readonly next: RandomState;
}

/**
 * Seeds a generator from another random source, which is called once.
 *
 * @param random - returns fractions in [0, 1)
 * @returns the initial state
 */
export function seedRandom(random: () => number): RandomState {
  return xorshift128plus(Math.floor(random() * 0x7fffffff)).getState();
}

/**
 * Draws a random fraction.
 *
 * @param state - state of the generator
 * @returns the fraction and the next state
 */
export function drawFraction(state: RandomState): DrawnFraction {
  const generator = xorshift128plusFromState(state);
  return { fraction: uniformFloat32(generator), next: generator.getState() };
}
