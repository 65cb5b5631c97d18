import type { Instant } from '../model/time.js';

/** Crashes of one backend server that the node beside it has detected. */
export interface CrashCount {
  /** Number of crashes, which identifies the latest one. */
  readonly crashes: number;
  /** Latest observation of that crash. */
  readonly observedAt: Instant;
  /** Whether the backend server has not answered since. */
  readonly isDown: boolean;
}

/** Count before the first crash. */
export const noCrashes: CrashCount = {
  crashes: 0,
  observedAt: Number.NEGATIVE_INFINITY,
  isDown: false,
};

/**
 * Counts an observation of a crash. Until the backend server answers again, all of them belong to
 * the same crash.
 *
 * @param count - the crashes so far
 * @param now - the current instant
 * @returns the count with this observation
 */
export function countCrash({ crashes, isDown }: CrashCount, now: Instant): CrashCount {
  return { crashes: isDown ? crashes : crashes + 1, observedAt: now, isDown: true };
}

/**
 * Counts an answer of the backend server.
 *
 * @param count - the crashes so far
 * @returns the count, whose latest crash is over
 */
export function countAnswer(count: CrashCount): CrashCount {
  return count.isDown ? { ...count, isDown: false } : count;
}

/**
 * Checks whether a request ran at the latest crash. Its connection may break after the crash was
 * detected, even after the backend server has answered again.
 *
 * @param count - the crashes so far
 * @param startedAt - instant at which the request was sent to the backend server
 * @returns whether it was sent before the crash was last observed
 */
export function ranAtLatestCrash({ observedAt }: CrashCount, startedAt: Instant): boolean {
  return startedAt <= observedAt;
}
