import type { Instant, Milliseconds } from '../model/time.js';

/** How long an idle connection to the backend server is used again. */
export interface IdleLimit {
  readonly limitMs: Milliseconds;
  /** When a connection last broke that had been idle for longer. */
  readonly shortenedAt: Instant;
}

/** Backend servers close idle connections after some seconds; one in doubt is not kept. */
const MAX_IDLE_MS: Milliseconds = 4000;

/** Connections that break after a shorter pause break for another reason. */
const MIN_IDLE_MS: Milliseconds = 100;

/** A connection is dropped well before the age at which another one broke. */
const SAFETY_FACTOR = 0.5;

/** The backend server may keep connections as before again after this time. */
const LIMIT_LIFETIME_MS: Milliseconds = 10_000;

/** The limit before any connection broke. */
export const initialIdleLimit: IdleLimit = {
  limitMs: MAX_IDLE_MS,
  shortenedAt: Number.NEGATIVE_INFINITY,
};

/**
 * Reads how long a connection may have been idle.
 *
 * @param limit - the limit
 * @param now - the current instant
 * @returns a time in milliseconds
 */
export function maxIdleMs({ limitMs, shortenedAt }: IdleLimit, now: Instant): Milliseconds {
  return now - shortenedAt < LIMIT_LIFETIME_MS ? limitMs : MAX_IDLE_MS;
}

/**
 * Learns from a connection that broke under the first request after a pause. Backend servers may
 * forget idle connections earlier than they announce, and a request that is sent on such a
 * connection is lost: it may have run as far as the node can tell.
 *
 * @param limit - the limit
 * @param idleMs - how long the connection had been idle
 * @param now - the current instant
 * @returns the next limit
 */
export function recordIdleBreak(limit: IdleLimit, idleMs: Milliseconds, now: Instant): IdleLimit {
  if (idleMs < MIN_IDLE_MS) return limit;
  return { limitMs: Math.min(maxIdleMs(limit, now), idleMs * SAFETY_FACTOR), shortenedAt: now };
}
