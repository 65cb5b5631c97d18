import type { Milliseconds } from './time.js';

/** Records that a request with this fingerprint was running in a backend server when it crashed. */
export interface CrashRecord {
  readonly fingerprint: string;
  /** Identifier of the crash, unique in the fleet, so that a repeated record counts once. */
  readonly crashId: string;
  /** Time since the crash; an age is sent because nodes share no clock. */
  readonly ageMs: Milliseconds;
}

/** States that a request with this fingerprint ran to its end after all crashes of that time. */
export interface CrashClearance {
  readonly fingerprint: string;
  /** Time since; crashes before it are no evidence against the request. */
  readonly ageMs: Milliseconds;
}
