import type { CodeName } from '../errors/registry.js';
import type { Answer, Call, Outcome } from '../model/call.js';
import type { BackendServerName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** What one send of a call brought. */
export type Attempt =
  /** The gate replied. */
  | { readonly kind: 'replied'; readonly answer: Answer }
  /** The call could not be handed to the link, so nothing was sent. */
  | { readonly kind: 'unsent' }
  /** The link was lost, or the deadline passed, while the call was with the gate. */
  | { readonly kind: 'lost'; readonly code: 'linkLost' | 'deadlinePassed' };

/** How sending goes on after an attempt. */
export type NextAttempt =
  | { readonly kind: 'finish'; readonly outcome: Outcome }
  | {
      readonly kind: 'retry';
      readonly excluded: BackendServerName;
      /** Outcome of all sends so far, in case no other gate can be tried. */
      readonly outcome: Outcome;
    };

/** What is known when an attempt has ended. */
export interface AttemptContext {
  readonly call: Call;
  readonly backendServer: BackendServerName;
  readonly attempt: Attempt;
  /** Outcome of the sends before this one; null for the first. */
  readonly earlier: Outcome | null;
  /** 1 for the first send of the call. */
  readonly number: number;
  /** Extra sends that are left for this call. */
  readonly retriesLeft: number;
  readonly now: Instant;
}

/** A further send makes no sense with less time than this before the deadline. */
const MIN_ATTEMPT_MS: Milliseconds = 5;

const SERVICE_UNAVAILABLE = 503;

/** Failures after which another gate would work for nothing, or would crash as well. */
const FINAL_FAILURES: ReadonlySet<CodeName> = new Set([
  'deadlinePassed',
  'cancelledRunning',
  // The fingerprint was running at an earlier crash too.
  'serverCrashed',
]);

/** Another gate cannot help when the refusal is about the call and not about the gate. */
function canRetryElsewhere(code: CodeName, number: number): boolean {
  switch (code) {
    case 'quarantined':
    case 'deadlineUnreachable':
    case 'cancelled':
      return false;
    case 'overloaded':
      // Gates compare the same root hash with their fractions, so when two of them refuse, the
      // service is overloaded and not one gate; in a trial a third of all sends were such repeats.
      return number === 1;
    default:
      return true;
  }
}

function outcomeOf(attempt: Attempt): Outcome {
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
 * A refusal says that the call did not run, which is not true after an earlier send that may have
 * run.
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
 * Decides whether a call is sent to another gate. A refusal did not run, so any call may go
 * elsewhere; whatever may have run is repeated only when it is idempotent. Each further send
 * costs one retry of the root request.
 *
 * @param context - the call, its last attempt and what is left
 * @returns to finish with an outcome, or to send again without the backend server just tried
 */
export function nextAttempt(context: AttemptContext): NextAttempt {
  const { call, attempt, earlier, number, retriesLeft, now } = context;
  const last = outcomeOf(attempt);
  const outcome = mergeOutcomes(earlier, last);
  const hasTime = now + MIN_ATTEMPT_MS < call.deadline;
  if (retriesLeft > 0 && hasTime && canRetry(call, last, number)) {
    return { kind: 'retry', excluded: context.backendServer, outcome };
  }
  return { kind: 'finish', outcome };
}
