import type { Instant, Milliseconds } from '../model/time.js';

/** Minimum weight of a new sample; low, so that no single sample of many dominates. */
const MIN_SAMPLE_SHARE = 0.1;

/**
 * Time between two samples at which the new one gets half of the weight. With a fixed weight, a few
 * samples per second from a service that refuses everything would never raise the pressure to 1.
 */
const SAMPLE_HALF_LIFE_MS: Milliseconds = 150;

/** Time in which the pressure decays by half when there are no samples. */
const DECAY_HALF_LIFE_MS: Milliseconds = 300;

/** Exponentially smoothed pressure of a service, from 0 to 1, with the time of its last sample. */
export interface SmoothedPressure {
  readonly value: number;
  readonly at: Instant;
}

/** Pressure before the first sample. */
export const noPressure: SmoothedPressure = { value: 0, at: 0 };

/**
 * Computes the pressure with its decay since the last sample.
 *
 * @param pressure - the smoothed pressure
 * @param now - the current instant
 * @returns the pressure from 0 to 1
 */
export function currentPressure({ value, at }: SmoothedPressure, now: Instant): number {
  return value * 0.5 ** ((now - at) / DECAY_HALF_LIFE_MS);
}

/**
 * Adds a sample to the smoothed pressure.
 *
 * @param pressure - the smoothed pressure
 * @param sample - reported pressure from 0 to 1
 * @param now - the current instant
 * @returns the next smoothed pressure
 */
export function addPressureSample(
  pressure: SmoothedPressure,
  sample: number,
  now: Instant,
): SmoothedPressure {
  const decayed = currentPressure(pressure, now);
  const share = Math.max(MIN_SAMPLE_SHARE, 1 - 0.5 ** ((now - pressure.at) / SAMPLE_HALF_LIFE_MS));
  return { value: decayed + (sample - decayed) * share, at: now };
}
