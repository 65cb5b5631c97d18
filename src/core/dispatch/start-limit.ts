import type { StatedLimit } from '../exchange/incoming-request.js';
import type { Instant } from '../model/time.js';

/** What a gate knows of the limit that its backend server states. */
export type StartLimit =
  /** The server has not answered this gate yet, so a limit that it stated before is unknown. */
  | { readonly kind: 'unprobed' }
  | { readonly kind: 'unlimited' }
  | { readonly kind: 'limited'; readonly ratePerSecond: number; readonly statedAt: Instant };

/** Limit before the first answer of a backend server. */
export const unprobedLimit: StartLimit = { kind: 'unprobed' };

/**
 * Calls that may run at the same time until the first answer. A gate that starts anew has forgotten
 * the limit, which still binds the nodes that were told.
 */
export const PROBE_CALLS = 4;

/** Lower bound in requests per second; only answers to requests show that a limit has ended. */
const MIN_RATE_PER_SECOND = 0.5;

/** A statement in an answer of the backend server. */
export interface LimitStatement {
  readonly limit: StatedLimit;
  /** When the answered request was sent. */
  readonly sentAt: Instant;
}

/**
 * Applies the statement of an answer. An unreadable limit leaves the one in force. An answer without
 * a limit ends it, unless its request was sent before the answer that last stated the limit: answers
 * on different connections cross.
 *
 * @param before - the limit so far
 * @param statement - the statement
 * @param now - when the answer arrived
 * @returns the limit from now on
 */
export function applyStatement(
  before: StartLimit,
  { limit, sentAt }: LimitStatement,
  now: Instant,
): StartLimit {
  switch (limit.kind) {
    case 'rate':
      return {
        kind: 'limited',
        ratePerSecond: Math.max(MIN_RATE_PER_SECOND, limit.ratePerSecond),
        statedAt: now,
      };
    case 'unreadable':
      return before.kind === 'unprobed' ? { kind: 'unlimited' } : before;
    case 'none':
      return before.kind === 'limited' && sentAt <= before.statedAt
        ? before
        : { kind: 'unlimited' };
  }
}
