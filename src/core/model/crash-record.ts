import type { Milliseconds } from './time.js';

/** A fingerprint that was running in a backend server when it crashed. */
export interface CrashRecord {
  readonly fingerprint: string;
  /** Identifier of the crash, unique in the fleet, so that a repeated mark counts once. */
  readonly crashId: string;
  /** Time since the crash, so that no shared clock is needed. */
  readonly ageMs: Milliseconds;
}
