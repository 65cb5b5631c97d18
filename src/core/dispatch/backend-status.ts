import type { InstanceId } from '../directory/instance.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';
import type { Condition } from './dispatch-state.js';

/** A connection that broke under a request, which may be the sign of a crash. */
interface BrokenConnection {
  readonly fingerprint: string;
  readonly at: Instant;
}

/** What a gate believes of the backend server beside it. */
export interface BackendStatus {
  /** Run that answers at the address, as its last health answer named it. */
  readonly instance: InstanceId | null;
  readonly breaks: readonly BrokenConnection[];
  /** Last answer to a request. */
  readonly answeredAt: Instant;
}

/** A gate that has heard nothing of its backend server. */
export const initialBackendStatus: BackendStatus = {
  instance: null,
  breaks: [],
  answeredAt: Number.NEGATIVE_INFINITY,
};

/** Signs of the backend server's state. */
export type BackendObservation =
  /** It may have started anew, so requests are held back until its health has been read. */
  | { readonly kind: 'restart-suspected'; readonly reason: string }
  /** Its entry in the directory says that it is warming up. */
  | { readonly kind: 'warm-up-listed' }
  | { readonly kind: 'answered' }
  /** It turned a request away that was meant for another run. */
  | { readonly kind: 'misdirected' }
  | { readonly kind: 'connection-refused' }
  /** A connection broke under a request. */
  | { readonly kind: 'connection-broken'; readonly fingerprint: string }
  | {
      readonly kind: 'health-answered';
      readonly instanceId: InstanceId;
      readonly warmUpLeftMs: Milliseconds;
    }
  /** It had no slot for the health request, which says nothing of its run or its warm-up. */
  | { readonly kind: 'health-rejected' }
  | { readonly kind: 'health-connection-refused' }
  | { readonly kind: 'health-timed-out'; readonly requestedAt: Instant };

/** What follows from a sign. */
export type BackendEffect =
  | { readonly kind: 'condition'; readonly condition: Condition; readonly reason: string }
  /** It crashed while requests with these fingerprints ran. */
  | { readonly kind: 'crashed'; readonly fingerprints: readonly string[] }
  | { readonly kind: 'check-health' };

/** Breaks this shortly before a crash was seen belong to it. */
const CRASH_WINDOW_MS: Milliseconds = 1000;

/**
 * Several connections that break together are the sign of a restart. Single ones break when an
 * answer is lost, which is no reason to hold other requests back.
 */
const RESTART_BREAK_COUNT = 3;
const RESTART_WINDOW_MS: Milliseconds = 50;

type BackendStatusStep = Step<BackendStatus, BackendEffect>;

/** Reports a crash for the connections that broke shortly before. */
function reportCrash(status: BackendStatus, now: Instant): BackendStatusStep {
  const fingerprints = status.breaks
    .filter(({ at }) => now - at < CRASH_WINDOW_MS)
    .map(({ fingerprint }) => fingerprint);
  const next = { ...status, breaks: [] };
  return fingerprints.length === 0 ? step(next) : step(next, { kind: 'crashed', fingerprints });
}

function markDown(status: BackendStatus, reason: string, now: Instant): BackendStatusStep {
  const { state, effects } = reportCrash(status, now);
  return step(state, ...effects, { kind: 'condition', condition: { kind: 'down' }, reason });
}

function recordBrokenConnection(
  status: BackendStatus,
  fingerprint: string,
  now: Instant,
): BackendStatusStep {
  const recent = status.breaks.filter(({ at }) => now - at < CRASH_WINDOW_MS);
  const breaks = [...recent, { fingerprint, at: now }];
  const breaksInWindow = breaks.filter(({ at }) => now - at < RESTART_WINDOW_MS).length;
  const conditionEffects: readonly BackendEffect[] =
    breaksInWindow < RESTART_BREAK_COUNT
      ? []
      : [
          {
            kind: 'condition',
            condition: { kind: 'unknown' },
            reason: 'several connections broke together',
          },
        ];
  return step({ ...status, breaks }, ...conditionEffects, { kind: 'check-health' });
}

function applyHealthAnswer(
  status: BackendStatus,
  { instanceId, warmUpLeftMs }: Extract<BackendObservation, { readonly kind: 'health-answered' }>,
  now: Instant,
): BackendStatusStep {
  const isNewInstance = status.instance !== null && status.instance !== instanceId;
  const { state, effects } = isNewInstance
    ? reportCrash(status, now)
    : step<BackendStatus, never>(status);
  const condition: Condition =
    warmUpLeftMs > 0 ? { kind: 'cold', until: now + warmUpLeftMs } : { kind: 'warm' };
  return step({ ...state, instance: instanceId }, ...effects, {
    kind: 'condition',
    condition,
    reason: 'its health answer',
  });
}

/**
 * Decides from exchanges and health answers whether the backend server is down, cold or warm, and
 * which run of it answers. Whether it calls itself healthy does not count, since that may be
 * wrong in both directions; what its exchanges come to does.
 *
 * @param status - what is believed
 * @param sign - the sign
 * @param now - the current instant
 * @returns the next status and what follows
 */
export const decideBackendStatus: Decision<BackendStatus, BackendObservation, BackendEffect> = (
  status,
  observation,
  now,
) => {
  switch (observation.kind) {
    case 'restart-suspected':
      return step(
        status,
        { kind: 'condition', condition: { kind: 'unknown' }, reason: observation.reason },
        { kind: 'check-health' },
      );
    case 'warm-up-listed':
      return step(status, { kind: 'check-health' });
    case 'answered':
      return step({ ...status, answeredAt: now });
    case 'misdirected':
      return decideBackendStatus(
        status,
        { kind: 'restart-suspected', reason: 'another run answered' },
        now,
      );
    case 'connection-refused': {
      const { state, effects } = markDown(status, 'it refuses connections', now);
      return step(state, ...effects, { kind: 'check-health' });
    }
    case 'connection-broken':
      return recordBrokenConnection(status, observation.fingerprint, now);
    case 'health-answered':
      return applyHealthAnswer(status, observation, now);
    case 'health-rejected':
      return step(status);
    case 'health-connection-refused':
      return markDown(status, 'it refuses connections', now);
    case 'health-timed-out':
      // A busy backend server answers requests while its health request waits for a slot.
      return status.answeredAt >= observation.requestedAt
        ? step(status)
        : step(status, {
            kind: 'condition',
            condition: { kind: 'down' },
            reason: 'it does not answer',
          });
  }
};
