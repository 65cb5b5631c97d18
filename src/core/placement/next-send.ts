import type { CodeName } from '../errors/registry.js';
import type { Milliseconds } from '../model/time.js';
import type { Repeatability } from '../policy/policy.js';
import type { MeshOutcome } from '../exchange/mesh-call.js';

/** How one send to a gate ended. */
export type SendResult =
  | { readonly kind: 'replied'; readonly outcome: MeshOutcome }
  /** The gate was not reached; nothing was sent. */
  | { readonly kind: 'unsent' }
  /** The link broke after the call was sent. */
  | { readonly kind: 'lost' };

/** What the sends of one request came to so far. */
export interface SendHistory {
  /** Backend servers that the request was offered to. */
  readonly offered: number;
  /** Gates that refused it or were not reached. */
  readonly rejections: number;
  /** Whether it may have run in one of them. */
  readonly hasPossiblyRun: boolean;
  readonly lastCode: CodeName;
  readonly retryAfterMs: Milliseconds;
}

/** A request before its first send. */
export const emptySendHistory: SendHistory = {
  offered: 0,
  rejections: 0,
  hasPossiblyRun: false,
  lastCode: 'noBackendServer',
  retryAfterMs: 0,
};

/** What comes after a send. */
export type NextStep =
  | { readonly kind: 'answer'; readonly outcome: MeshOutcome; readonly history: SendHistory }
  /** Another gate may be tried without a repeat, since no backend server has seen the request. */
  | { readonly kind: 'try-another'; readonly history: SendHistory }
  /** Another backend server may be tried, at the cost of the retry budget. */
  | { readonly kind: 'retry'; readonly history: SendHistory };

/** Gates that one request is taken to when they turn it away; each costs a round trip. */
const MAX_REJECTIONS = 3;

/** What decides whether a request may be sent again. */
export interface RetryRules {
  readonly repeatability: Repeatability;
  readonly attempts: number;
}

/**
 * Builds the final outcome from what the sends came to.
 *
 * @param history - the sends
 * @returns a refusal only when the request has certainly not run
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
 * Decides what follows a send.
 *
 * @param before - the sends before it
 * @param result - how it ended
 * @param rules - what the route allows
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
