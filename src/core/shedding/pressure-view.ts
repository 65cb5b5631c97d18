import type { Instant, Milliseconds } from '../model/time.js';

/** Share of a new sample in the pressure. */
const SAMPLE_SHARE = 0.1;

/** Time in which a pressure halves without samples. */
const HALF_LIFE_MS: Milliseconds = 500;

/** Smoothed pressure of a service as replies tell it, from 0 to 1. */
export interface PressureView {
  readonly value: number;
  readonly at: Instant;
}

/** No pressure has been told. */
export const noPressure: PressureView = { value: 0, at: 0 };

/**
 * Reads the pressure at an instant.
 *
 * @param view - the view
 * @param now - the current instant
 * @returns the pressure from 0 to 1
 */
export function pressureNow({ value, at }: PressureView, now: Instant): number {
  return value * 0.5 ** ((now - at) / HALF_LIFE_MS);
}

/**
 * Adds a sample.
 *
 * @param view - the view
 * @param sample - pressure from 0 to 1
 * @param now - the current instant
 * @returns the next view
 */
export function addPressure(view: PressureView, sample: number, now: Instant): PressureView {
  const before = pressureNow(view, now);
  return { value: before + (sample - before) * SAMPLE_SHARE, at: now };
}
