import {
  countAnswer,
  countCrash,
  noCrashes,
  ranAtLatestCrash,
  type CrashCount,
} from '../crash/crash-count.js';
import type { InstanceId } from '../directory/instance.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';
import type { Condition } from './dispatch-state.js';

/** A connection that broke during a request; the backend server may have crashed. */
interface BrokenConnection {
  readonly fingerprint: string;
  readonly at: Instant;
}

/** What a gate knows about its backend server. */
export interface BackendStatus {
  /** Instance at the address, according to its last health answer; null before the first. */
  readonly instance: InstanceId | null;
  /** Condition according to the last observation. */
  readonly condition: Condition;
  /** Health answers to requests sent earlier are out of date. */
  readonly checkedFrom: Instant;
  /** Connections that broke and are not attributed to a crash. */
  readonly breaks: readonly BrokenConnection[];
  readonly crashCount: CrashCount;
  /** When the last request was answered. */
  readonly answeredAt: Instant;
}

/** Status before the first observation. */
export const initialBackendStatus: BackendStatus = {
  instance: null,
  condition: { kind: 'unknown' },
  checkedFrom: Number.NEGATIVE_INFINITY,
  breaks: [],
  crashCount: noCrashes,
  answeredAt: Number.NEGATIVE_INFINITY,
};

/** Events from which the status of the backend server is derived. */
export type BackendObservation =
  /** The server may have restarted, so requests are held back until it answers a health check. */
  | { readonly kind: 'restart-suspected'; readonly reason: string }
  /** The directory lists the server as warming up; the entry may be some seconds old. */
  | { readonly kind: 'warm-up-listed'; readonly warmUpLeftMs: Milliseconds }
  | { readonly kind: 'answered' }
  /** The server rejected a request that was addressed to another instance. */
  | { readonly kind: 'misdirected' }
  | { readonly kind: 'connection-refused' }
  /** A connection broke during a request. */
  | {
      readonly kind: 'connection-broken';
      readonly fingerprint: string;
      /** Instant at which the request was sent. */
      readonly startedAt: Instant;
    }
  | {
      readonly kind: 'health-answered';
      readonly instanceId: InstanceId;
      readonly warmUpLeftMs: Milliseconds;
      readonly requestedAt: Instant;
    }
  /** No slot was free for the health check, so the instance and the warm-up remain unknown. */
  | { readonly kind: 'health-rejected' }
  | { readonly kind: 'health-connection-refused' }
  | { readonly kind: 'health-timed-out'; readonly requestedAt: Instant };

/** Effects of an observation. */
export type BackendEffect =
  | { readonly kind: 'condition'; readonly condition: Condition; readonly reason: string }
  /** Requests with these fingerprints were running at a crash, of which others may follow. */
  | {
      readonly kind: 'crashed';
      /** Number of the crash, equal in all effects of one crash. */
      readonly crash: number;
      readonly fingerprints: readonly string[];
    }
  | { readonly kind: 'check-health' }
  /** Replaces an earlier one of its kind. */
  | { readonly kind: 'check-health-later'; readonly delayMs: Milliseconds };

/**
 * Time before the end of a warm-up at which the health is checked again, since the server may have
 * become cold anew; as long as a health check on a busy server takes to be repeated.
 */
const LAST_CHECK_LEAD_MS: Milliseconds = 250;

/** Connections that broke within this time before a detected crash are attributed to it. */
const CRASH_WINDOW_MS: Milliseconds = 1000;

/**
 * This many connections that break within the window indicate a restart. A single connection also
 * breaks when one answer is lost, which is no reason to hold other requests back.
 */
const RESTART_BREAK_COUNT = 3;
const RESTART_WINDOW_MS: Milliseconds = 50;

type BackendStatusStep = Step<BackendStatus, BackendEffect>;

/** Attributes the connections that broke recently to the crash. */
function recordCrash(status: BackendStatus, now: Instant): BackendStatusStep {
  const crashCount = countCrash(status.crashCount, now);
  const fingerprints = status.breaks
    .filter(({ at }) => now - at < CRASH_WINDOW_MS)
    .map(({ fingerprint }) => fingerprint);
  const next = { ...status, breaks: [], crashCount };
  return fingerprints.length === 0
    ? step(next)
    : step(next, { kind: 'crashed', crash: crashCount.crashes, fingerprints });
}

function setCondition(
  status: BackendStatus,
  condition: Condition,
  reason: string,
): BackendStatusStep {
  return step({ ...status, condition }, { kind: 'condition', condition, reason });
}

/** Holds requests back until a health check that begins now has been answered. */
function markUnknown(status: BackendStatus, reason: string, now: Instant): BackendStatusStep {
  const { state, effects } = setCondition(status, { kind: 'unknown' }, reason);
  return step({ ...state, checkedFrom: now }, ...effects, { kind: 'check-health' });
}

function markCold(
  status: BackendStatus,
  until: Instant,
  reason: string,
  now: Instant,
): BackendStatusStep {
  const { state, effects } = setCondition(status, { kind: 'cold', until }, reason);
  const delayMs = until - now - LAST_CHECK_LEAD_MS;
  return delayMs <= 0
    ? step(state, ...effects)
    : step(state, ...effects, { kind: 'check-health-later', delayMs });
}

/**
 * Applies a listed warm-up. It counts at once, since a health check on a busy server takes longer
 * than the server bears the full load. Of the known ends the latest counts, since the entry may be
 * older than the last health answer.
 */
function applyListedWarmUp(
  status: BackendStatus,
  warmUpLeftMs: Milliseconds,
  now: Instant,
): BackendStatusStep {
  const { condition } = status;
  const listedUntil = now + warmUpLeftMs;
  switch (condition.kind) {
    case 'unknown':
    case 'down':
      return step(status, { kind: 'check-health' });
    case 'warm':
    case 'cold': {
      const until = Math.max(listedUntil, condition.kind === 'cold' ? condition.until : now);
      const { state, effects } = markCold(status, until, 'listed as warming up', now);
      return step({ ...state, checkedFrom: now }, ...effects, { kind: 'check-health' });
    }
  }
}

function markDown(status: BackendStatus, reason: string, now: Instant): BackendStatusStep {
  const { state: reported, effects: reports } = recordCrash(status, now);
  const { state, effects } = setCondition(reported, { kind: 'down' }, reason);
  return step(state, ...reports, ...effects);
}

function recordBrokenConnection(
  status: BackendStatus,
  { fingerprint, startedAt }: Extract<BackendObservation, { readonly kind: 'connection-broken' }>,
  now: Instant,
): BackendStatusStep {
  const { crashCount } = status;
  if (ranAtLatestCrash(crashCount, startedAt)) {
    const fingerprints = [fingerprint];
    return step(
      status,
      { kind: 'crashed', crash: crashCount.crashes, fingerprints },
      { kind: 'check-health' },
    );
  }
  const recent = status.breaks.filter(({ at }) => now - at < CRASH_WINDOW_MS);
  const breaks = [...recent, { fingerprint, at: now }];
  const breaksInWindow = breaks.filter(({ at }) => now - at < RESTART_WINDOW_MS).length;
  const next = { ...status, breaks };
  return breaksInWindow < RESTART_BREAK_COUNT
    ? step(next, { kind: 'check-health' })
    : markUnknown(next, 'several connections broke at once', now);
}

function applyHealthAnswer(
  status: BackendStatus,
  {
    instanceId,
    warmUpLeftMs,
    requestedAt,
  }: Extract<BackendObservation, { readonly kind: 'health-answered' }>,
  now: Instant,
): BackendStatusStep {
  const isNewInstance = status.instance !== null && status.instance !== instanceId;
  const { state: reported, effects: reports } = isNewInstance
    ? recordCrash(status, now)
    : step<BackendStatus, never>(status);
  const crashCount = countAnswer(reported.crashCount);
  const known = { ...reported, instance: instanceId, crashCount };
  // The check that was due at `checkedFrom` is still to be answered.
  if (requestedAt < status.checkedFrom) return step(known, ...reports);
  const { state, effects } =
    warmUpLeftMs > 0
      ? markCold(known, now + warmUpLeftMs, 'health answer', now)
      : setCondition(known, { kind: 'warm' }, 'health answer');
  return step(state, ...reports, ...effects);
}

/**
 * Derives from requests and health checks whether the backend server is down, cold or warm, and
 * which instance answers. The server's own verdict on its health is ignored, since it can be wrong
 * in both directions; the results of its requests count instead.
 *
 * @param status - the current status
 * @param observation - what was observed
 * @param now - the current instant
 * @returns the next status and its effects
 */
export const decideBackendStatus: Decision<BackendStatus, BackendObservation, BackendEffect> = (
  status,
  observation,
  now,
) => {
  switch (observation.kind) {
    case 'restart-suspected':
      return markUnknown(status, observation.reason, now);
    case 'warm-up-listed':
      return applyListedWarmUp(status, observation.warmUpLeftMs, now);
    case 'answered':
      return step({ ...status, answeredAt: now });
    case 'misdirected':
      return markUnknown(status, 'a different instance answered', now);
    case 'connection-refused': {
      const { state, effects } = markDown(status, 'connection refused', now);
      return step(state, ...effects, { kind: 'check-health' });
    }
    case 'connection-broken':
      return recordBrokenConnection(status, observation, now);
    case 'health-answered':
      return applyHealthAnswer(status, observation, now);
    case 'health-rejected':
      return step(status);
    case 'health-connection-refused':
      return markDown(status, 'connection refused', now);
    case 'health-timed-out':
      // A busy backend server still answers requests while its health check waits for a slot.
      return status.answeredAt >= observation.requestedAt
        ? step(status)
        : setCondition(status, { kind: 'down' }, 'health check timed out');
  }
};
