import type { Instant, Milliseconds } from '../model/time.js';

/** Maximum idle time after which a connection to the backend server is reused. */
export interface IdleLimit {
  readonly limitMs: Milliseconds;
  /** When a connection that broke after being idle last shortened the limit. */
  readonly shortenedAt: Instant;
}

/** Backend servers close idle connections after a few seconds, so older ones are not reused. */
const MAX_IDLE_MS: Milliseconds = 4000;

/** A connection that breaks after a shorter idle time breaks for another reason. */
const MIN_IDLE_MS: Milliseconds = 100;

/** Share of the idle time after which a connection broke that is still considered safe. */
const SAFETY_FACTOR = 0.5;

/** The shortened limit expires after this time, as the server may have recovered. */
const LIMIT_LIFETIME_MS: Milliseconds = 10_000;

/** Limit before any connection has broken. */
export const initialIdleLimit: IdleLimit = {
  limitMs: MAX_IDLE_MS,
  shortenedAt: Number.NEGATIVE_INFINITY,
};

/**
 * Returns how long a connection may have been idle to be reused.
 *
 * @param limit - the current limit
 * @param now - the current instant
 * @returns the idle time in milliseconds
 */
export function maxIdleMs({ limitMs, shortenedAt }: IdleLimit, now: Instant): Milliseconds {
  return now - shortenedAt < LIMIT_LIFETIME_MS ? limitMs : MAX_IDLE_MS;
}

/**
 * Shortens the limit when a connection broke during its first request after being idle. Backend
 * servers may drop idle connections earlier than they announce. A request sent on a dropped
 * connection is lost, and the node cannot tell whether it has run.
 *
 * @param limit - the current limit
 * @param idleMs - how long the connection had been idle
 * @param now - the current instant
 * @returns the next limit
 */
export function recordIdleBreak(limit: IdleLimit, idleMs: Milliseconds, now: Instant): IdleLimit {
  if (idleMs < MIN_IDLE_MS) return limit;
  return { limitMs: Math.min(maxIdleMs(limit, now), idleMs * SAFETY_FACTOR), shortenedAt: now };
}
