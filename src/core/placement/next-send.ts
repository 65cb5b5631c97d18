import type { CodeName } from '../errors/registry.js';
import type { Milliseconds } from '../model/time.js';
import type { Repeatability } from '../policy/policy.js';
import type { MeshOutcome } from '../exchange/mesh-call.js';

/** Result of sending a request to a gate. */
export type SendResult =
  | { readonly kind: 'replied'; readonly outcome: MeshOutcome }
  /** The gate could not be reached, and nothing was sent. */
  | { readonly kind: 'unsent' }
  /** The link broke after the request was sent. */
  | { readonly kind: 'lost' };

/** Results of the sends of one request so far. */
export interface SendHistory {
  /** Number of backend servers that the request was offered to. */
  readonly offered: number;
  /** Number of gates that refused the request or could not be reached. */
  readonly rejections: number;
  /** Whether a backend server may have run the request. */
  readonly hasPossiblyRun: boolean;
  readonly lastCode: CodeName;
  readonly retryAfterMs: Milliseconds;
}

/** History before the first send. */
export const emptySendHistory: SendHistory = {
  offered: 0,
  rejections: 0,
  hasPossiblyRun: false,
  lastCode: 'noBackendServer',
  retryAfterMs: 0,
};

/** Next step after a send. */
export type NextStep =
  | { readonly kind: 'answer'; readonly outcome: MeshOutcome; readonly history: SendHistory }
  /** Another gate may be tried; no backend server has seen the request, so it is not a retry. */
  | { readonly kind: 'try-another'; readonly history: SendHistory }
  /** Another backend server may be tried; this counts against the retry budget. */
  | { readonly kind: 'retry'; readonly history: SendHistory };

/** Maximum number of gates that may reject one request; each costs a round trip. */
const MAX_REJECTIONS = 3;

/** Properties of a route that decide whether a request may be sent again. */
export interface RetryRules {
  readonly repeatability: Repeatability;
  readonly attempts: number;
}

/**
 * Builds the final outcome of a request that no gate has answered.
 *
 * @param history - results of its sends
 * @returns a refusal when the request has certainly not run, a failure otherwise
 */
export function finalOutcome(history: SendHistory): MeshOutcome {
  if (history.hasPossiblyRun) return { kind: 'failed', code: history.lastCode };
  return {
    kind: 'refused',
    code: history.lastCode,
    retryAfterMs: history.retryAfterMs,
    wasOffered: history.offered > 0,
  };
}

function afterRejection(history: SendHistory): NextStep {
  return history.rejections < MAX_REJECTIONS
    ? { kind: 'try-another', history }
    : { kind: 'answer', outcome: finalOutcome(history), history };
}

function afterOffer(history: SendHistory, rules: RetryRules): NextStep {
  const isRetryable = !history.hasPossiblyRun || rules.repeatability === 'idempotent';
  return isRetryable && history.offered < rules.attempts
    ? { kind: 'retry', history }
    : { kind: 'answer', outcome: finalOutcome(history), history };
}

/**
 * Decides the next step after a send.
 *
 * @param before - results of the earlier sends
 * @param result - result of this send
 * @param rules - retry rules of the route
 * @returns the next step
 */
export function decideNextStep(
  before: SendHistory,
  result: SendResult,
  rules: RetryRules,
): NextStep {
  switch (result.kind) {
    case 'unsent':
      return afterRejection({
        ...before,
        rejections: before.rejections + 1,
        lastCode: before.hasPossiblyRun ? before.lastCode : 'connectFailed',
      });
    case 'lost':
      return afterOffer(
        { ...before, offered: before.offered + 1, hasPossiblyRun: true, lastCode: 'linkLost' },
        rules,
      );
    case 'replied': {
      const { outcome } = result;
      switch (outcome.kind) {
        case 'answered':
          return { kind: 'answer', outcome, history: before };
        case 'failed':
          return afterOffer(
            {
              ...before,
              offered: before.offered + 1,
              hasPossiblyRun: true,
              lastCode: outcome.code,
            },
            rules,
          );
        case 'refused': {
          const history: SendHistory = {
            ...before,
            lastCode: before.hasPossiblyRun ? before.lastCode : outcome.code,
            retryAfterMs: Math.max(before.retryAfterMs, outcome.retryAfterMs),
          };
          return outcome.wasOffered
            ? afterOffer({ ...history, offered: history.offered + 1 }, rules)
            : afterRejection({ ...history, rejections: history.rejections + 1 });
        }
      }
    }
  }
}
