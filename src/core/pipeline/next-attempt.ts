import type { CodeName } from '../errors/registry.js';
import type { Answer, Call, Outcome } from '../model/call.js';
import type { BackendServerName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** Result of sending a call once. */
export type Attempt =
  /** The gate replied. */
  | { readonly kind: 'replied'; readonly answer: Answer }
  /** The link did not accept the call, so nothing was sent. */
  | { readonly kind: 'unsent' }
  /** The link was lost, or the deadline passed, before the gate replied. */
  | { readonly kind: 'lost'; readonly code: 'linkLost' | 'deadlinePassed' };

/** Decision after an attempt: to finish, or to send the call to another gate. */
export type NextAttempt =
  | { readonly kind: 'finish'; readonly outcome: Outcome }
  | {
      readonly kind: 'retry';
      readonly excluded: BackendServerName;
      /** Outcome of all sends so far, used when no other gate is available. */
      readonly outcome: Outcome;
    };

/** Inputs of the decision after an attempt. */
export interface AttemptContext {
  readonly call: Call;
  readonly backendServer: BackendServerName;
  readonly attempt: Attempt;
  /** Outcome of the sends before this one; null for the first. */
  readonly earlier: Outcome | null;
  /** Number of the attempt, starting with 1. */
  readonly number: number;
  /** Retries left for this call. */
  readonly retriesLeft: number;
  readonly now: Instant;
}

/** Minimum time before the deadline for a retry. */
const MIN_ATTEMPT_MS: Milliseconds = 5;

const SERVICE_UNAVAILABLE = 503;

/** Failures after which a retry would be wasted work or would crash another backend server. */
const FINAL_FAILURES: ReadonlySet<CodeName> = new Set([
  'deadlinePassed',
  'cancelledRunning',
  // The fingerprint was also running at an earlier crash.
  'serverCrashed',
]);

/** Checks whether a refusal depends on the gate, so that another gate may accept the call. */
function canRetryElsewhere(code: CodeName, number: number): boolean {
  switch (code) {
    case 'quarantined':
    case 'deadlineUnreachable':
    case 'cancelled':
      return false;
    case 'overloaded':
      // All gates compare the same root hash with their admit fractions, so refusals by two gates
      // mean that the whole service is overloaded. Without this limit, a third of all sends in a
      // trial were such retries.
      return number === 1;
    default:
      return true;
  }
}

function getOutcome(attempt: Attempt): Outcome {
  switch (attempt.kind) {
    case 'replied':
      return attempt.answer.outcome;
    case 'unsent':
      return { kind: 'refused', code: 'noBackendServer', retryAfterMs: 0 };
    case 'lost':
      return { kind: 'failed', code: attempt.code };
  }
}

/**
 * Merges the outcomes of all sends. A refusal states that the call did not run, which does not hold
 * after an earlier send that may have run.
 */
function mergeOutcomes(earlier: Outcome | null, last: Outcome): Outcome {
  const isRefused = last.kind === 'refused';
  return isRefused && earlier !== null && earlier.kind !== 'refused' ? earlier : last;
}

function canRetry(call: Call, outcome: Outcome, number: number): boolean {
  switch (outcome.kind) {
    case 'refused':
      return canRetryElsewhere(outcome.code, number);
    case 'failed':
      return call.idempotent && !FINAL_FAILURES.has(outcome.code);
    case 'answered':
      return call.idempotent && outcome.status === SERVICE_UNAVAILABLE;
  }
}

/**
 * Decides whether a call is sent to another gate. A refused call has not run, so it may be sent
 * again; a call that may have run is retried only when it is idempotent. Each retry is taken from
 * the retries of the root request.
 *
 * @param context - the call, its last attempt and the retries left
 * @returns the final outcome, or a retry that excludes the backend server just tried
 */
export function decideNextAttempt(context: AttemptContext): NextAttempt {
  const { call, attempt, earlier, number, retriesLeft, now } = context;
  const last = getOutcome(attempt);
  const outcome = mergeOutcomes(earlier, last);
  const hasTime = now + MIN_ATTEMPT_MS < call.deadline;
  if (retriesLeft > 0 && hasTime && canRetry(call, last, number)) {
    return { kind: 'retry', excluded: context.backendServer, outcome };
  }
  return { kind: 'finish', outcome };
}
