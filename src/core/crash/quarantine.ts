import { createHash } from 'node:crypto';
import type { Instant, Milliseconds } from '../model/time.js';

/** Refusal of all requests with one fingerprint, which single trial runs may end. */
export interface Quarantine {
  /** Number of trials that ended in a crash. */
  readonly failedTrials: number;
  readonly until: Instant;
  /** Instant of the first trial at any node. */
  readonly trialsFrom: Instant;
  /** Instant from which this node lets one request pass as a trial. */
  readonly ownTrialAt: Instant;
}

/** Length of a quarantine; it doubles with each failed trial. */
const QUARANTINE_MS: Milliseconds = 60_000;

/**
 * Time before the first trial; it doubles with each failed trial, so that a request that crashes
 * each backend server crashes less than one a minute in the long run.
 */
const TRIAL_DELAY_MS: Milliseconds = 20_000;

/**
 * Share of the delay over which the nodes spread their trials. The first one tells the others how
 * it ended before most of them begin.
 */
const TRIAL_SPREAD = 0.5;

/** Interval between trials of one node of which neither a crash nor a completed run is known. */
const TRIAL_INTERVAL_MS: Milliseconds = 5000;

/** Failed trials after which the delay stays the same. */
const MAX_DOUBLINGS = 6;

const UINT32_RANGE = 2 ** 32;

/** Position of a node among the trials of a fingerprint, from 0 to 1. */
function computeTrialPosition(node: string, fingerprint: string): number {
  const digest = createHash('sha1').update(`${node}\n${fingerprint}`).digest();
  return digest.readUInt32BE(0) / UINT32_RANGE;
}

function scheduleQuarantine(failedTrials: number, position: number, now: Instant): Quarantine {
  const factor = 2 ** Math.min(failedTrials, MAX_DOUBLINGS);
  const delayMs = TRIAL_DELAY_MS * factor;
  return {
    failedTrials,
    until: now + QUARANTINE_MS * factor,
    trialsFrom: now + delayMs,
    ownTrialAt: now + delayMs * (1 + TRIAL_SPREAD * position),
  };
}

/** A crash at which a request with the fingerprint ran. */
export interface QuarantineCrash {
  readonly node: string;
  readonly fingerprint: string;
  readonly crashedAt: Instant;
}

/**
 * Starts or extends a quarantine after a crash.
 *
 * @param before - the quarantine in force, or null
 * @param crash - the crash and the node that decides
 * @param now - the current instant
 * @returns the quarantine; only a crash in the time of trials delays further trials
 */
export function extendQuarantine(
  before: Quarantine | null,
  { node, fingerprint, crashedAt }: QuarantineCrash,
  now: Instant,
): Quarantine {
  const position = computeTrialPosition(node, fingerprint);
  if (before === null || now >= before.until) return scheduleQuarantine(0, position, now);
  if (crashedAt >= before.trialsFrom) {
    return scheduleQuarantine(before.failedTrials + 1, position, now);
  }
  const { until } = scheduleQuarantine(before.failedTrials, position, now);
  return { ...before, until };
}

/**
 * Records that this node lets a request pass as a trial.
 *
 * @param quarantine - the quarantine
 * @param now - the current instant
 * @returns the quarantine, with the next trial of this node after an interval
 */
export function startTrial(quarantine: Quarantine, now: Instant): Quarantine {
  return { ...quarantine, ownTrialAt: now + TRIAL_INTERVAL_MS };
}
