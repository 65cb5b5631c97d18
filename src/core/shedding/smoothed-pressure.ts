import type { Instant, Milliseconds } from '../model/time.js';

/** Least share of a new sample, so that one of many does not decide. */
const MIN_SAMPLE_SHARE = 0.1;

/**
 * Time in which samples replace half of what was known. With a fixed share, a few samples a second
 * of a service that refuses everything would never raise the pressure to 1.
 */
const SAMPLE_HALF_LIFE_MS: Milliseconds = 150;

/** Time in which a pressure halves without samples. */
const DECAY_HALF_LIFE_MS: Milliseconds = 300;

/** Smoothed pressure of a service as replies tell it, from 0 to 1. */
export interface SmoothedPressure {
  readonly value: number;
  readonly at: Instant;
}

/** No pressure has been told. */
export const noPressure: SmoothedPressure = { value: 0, at: 0 };

/**
 * Reads the pressure at an instant.
 *
 * @param view - the view
 * @param now - the current instant
 * @returns the pressure from 0 to 1
 */
export function currentPressure({ value, at }: SmoothedPressure, now: Instant): number {
  return value * 0.5 ** ((now - at) / DECAY_HALF_LIFE_MS);
}

/**
 * Adds a sample.
 *
 * @param view - the view
 * @param sample - pressure from 0 to 1
 * @param now - the current instant
 * @returns the next view
 */
export function addPressureSample(
  view: SmoothedPressure,
  sample: number,
  now: Instant,
): SmoothedPressure {
  const decayed = currentPressure(view, now);
  const share = Math.max(MIN_SAMPLE_SHARE, 1 - 0.5 ** ((now - view.at) / SAMPLE_HALF_LIFE_MS));
  return { value: decayed + (sample - decayed) * share, at: now };
}
