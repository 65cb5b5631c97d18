import type { Instant } from '../model/time.js';

/** Result of a decision: the next state and the effects that its task performs. */
export interface Step<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/**
 * A pure state transition. It reads no clock, no random source and no socket, so that replaying a
 * recorded sequence of messages gives the same result.
 */
export type Decision<State, Message, Effect> = (
  state: State,
  message: Message,
  now: Instant,
) => Step<State, Effect>;

/**
 * Builds a step from a state and its effects.
 *
 * @param state - the next state
 * @param effects - the effects to perform, in order
 * @returns the step
 */
export function step<State, Effect>(state: State, ...effects: Effect[]): Step<State, Effect> {
  return { state, effects };
}
