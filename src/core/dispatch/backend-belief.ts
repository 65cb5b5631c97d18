import type { InstanceId } from '../directory/instance.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';
import type { Condition } from './dispatch-state.js';

/** A connection that broke under a request, which may be the sign of a crash. */
interface Break {
  readonly fingerprint: string;
  readonly at: Instant;
}

/** What a gate believes of the backend server beside it. */
export interface BackendBelief {
  /** Run that answers at the address, as its last health answer named it. */
  readonly instance: InstanceId | null;
  readonly breaks: readonly Break[];
  /** Last answer to a request. */
  readonly answeredAt: Instant;
}

/** A gate that has heard nothing of its backend server. */
export const emptyBelief: BackendBelief = {
  instance: null,
  breaks: [],
  answeredAt: Number.NEGATIVE_INFINITY,
};

/** Signs of the backend server's state. */
export type BackendSign =
  /** It may have started anew, so requests are held back until its health has been read. */
  | { readonly kind: 'suspected'; readonly reason: string }
  /** Its entry in the directory says that it is warming up. */
  | { readonly kind: 'warming-up-listed' }
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
  | { readonly kind: 'health-refused' }
  | { readonly kind: 'health-silent'; readonly askedAt: Instant };

/** What follows from a sign. */
export type BackendFinding =
  | { readonly kind: 'condition'; readonly condition: Condition; readonly reason: string }
  /** It crashed while requests with these fingerprints ran. */
  | { readonly kind: 'crashed'; readonly fingerprints: readonly string[] }
  | { readonly kind: 'ask-health' };

/** Breaks this shortly before a crash was seen belong to it. */
const CRASH_WINDOW_MS: Milliseconds = 1000;

/**
 * Several connections that break together are the sign of a restart. Single ones break when an
 * answer is lost, which is no reason to hold other requests back.
 */
const RESTART_BREAKS = 3;
const RESTART_WINDOW_MS: Milliseconds = 50;

type BeliefStep = Step<BackendBelief, BackendFinding>;

/** Reports a crash for the connections that broke shortly before. */
function crash(belief: BackendBelief, now: Instant): BeliefStep {
  const fingerprints = belief.breaks
    .filter(({ at }) => now - at < CRASH_WINDOW_MS)
    .map(({ fingerprint }) => fingerprint);
  const next = { ...belief, breaks: [] };
  return fingerprints.length === 0 ? step(next) : step(next, { kind: 'crashed', fingerprints });
}

function goDown(belief: BackendBelief, reason: string, now: Instant): BeliefStep {
  const { state, effects } = crash(belief, now);
  return step(state, ...effects, { kind: 'condition', condition: { kind: 'down' }, reason });
}

function recordBreak(belief: BackendBelief, fingerprint: string, now: Instant): BeliefStep {
  const recent = belief.breaks.filter(({ at }) => now - at < CRASH_WINDOW_MS);
  const breaks = [...recent, { fingerprint, at: now }];
  const together = breaks.filter(({ at }) => now - at < RESTART_WINDOW_MS).length;
  const held: readonly BackendFinding[] =
    together < RESTART_BREAKS
      ? []
      : [
          {
            kind: 'condition',
            condition: { kind: 'unknown' },
            reason: 'several connections broke together',
          },
        ];
  return step({ ...belief, breaks }, ...held, { kind: 'ask-health' });
}

function learnHealth(
  belief: BackendBelief,
  { instanceId, warmUpLeftMs }: Extract<BackendSign, { readonly kind: 'health-answered' }>,
  now: Instant,
): BeliefStep {
  const isOtherRun = belief.instance !== null && belief.instance !== instanceId;
  const { state, effects } = isOtherRun ? crash(belief, now) : step<BackendBelief, never>(belief);
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
 * @param belief - what is believed
 * @param sign - the sign
 * @param now - the current instant
 * @returns the next belief and what follows
 */
export const decideBelief: Decision<BackendBelief, BackendSign, BackendFinding> = (
  belief,
  sign,
  now,
) => {
  switch (sign.kind) {
    case 'suspected':
      return step(
        belief,
        { kind: 'condition', condition: { kind: 'unknown' }, reason: sign.reason },
        { kind: 'ask-health' },
      );
    case 'warming-up-listed':
      return step(belief, { kind: 'ask-health' });
    case 'answered':
      return step({ ...belief, answeredAt: now });
    case 'misdirected':
      return decideBelief(belief, { kind: 'suspected', reason: 'another run answered' }, now);
    case 'connection-refused': {
      const { state, effects } = goDown(belief, 'it refuses connections', now);
      return step(state, ...effects, { kind: 'ask-health' });
    }
    case 'connection-broken':
      return recordBreak(belief, sign.fingerprint, now);
    case 'health-answered':
      return learnHealth(belief, sign, now);
    case 'health-rejected':
      return step(belief);
    case 'health-refused':
      return goDown(belief, 'it refuses connections', now);
    case 'health-silent':
      // A busy backend server answers requests while its health request waits for a slot.
      return belief.answeredAt >= sign.askedAt
        ? step(belief)
        : step(belief, {
            kind: 'condition',
            condition: { kind: 'down' },
            reason: 'it does not answer',
          });
  }
};
