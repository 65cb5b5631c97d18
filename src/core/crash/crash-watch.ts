import { Map as PersistentMap, OrderedMap } from 'immutable';
import type { CrashRecord } from '../model/crash-record.js';
import type { Instant } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';
import type { CrashEffect, CrashMessage } from './crash-message.js';

const MARK_LIFETIME_MS = 60_000;
const QUARANTINE_MS = 60_000;

/** Crashes that mark the same fingerprint before it is quarantined. */
const QUARANTINE_CRASHES = 2;

/** Fingerprints remembered at most; the ones marked longest ago are forgotten first. */
const FINGERPRINT_LIMIT = 10_000;

/** Kept when the limit is exceeded; rebuilding the order for each single mark takes too long. */
const FINGERPRINTS_KEPT = 9_000;

/** Views compare instants themselves, so old records are dropped only now and then. */
const EXPIRY_INTERVAL_MS = 5000;

/** Crashes remembered for one fingerprint; two are enough to quarantine it. */
const CRASH_LIMIT = 8;

/** What is known of one fingerprint. */
interface FingerprintRecord {
  /** Instant of each crash by its identifier. */
  readonly crashes: PersistentMap<string, Instant>;
  /** Instant until which the fingerprint is refused. */
  readonly quarantinedUntil: Instant;
  /** Instant of the last complete run; crashes before it say nothing any more. */
  readonly completedAt: Instant | null;
}

/** State of the watch; the fingerprints marked longest ago come first. */
export interface CrashState {
  readonly records: OrderedMap<string, FingerprintRecord>;
  readonly expiredAt: Instant;
}

/** The state of a watch that has seen no crash. */
export const initialCrashes: CrashState = {
  records: OrderedMap(),
  expiredAt: Number.NEGATIVE_INFINITY,
};

const EMPTY: FingerprintRecord = {
  crashes: PersistentMap(),
  quarantinedUntil: Number.NEGATIVE_INFINITY,
  completedAt: null,
};

type CrashStep = Step<CrashState, CrashEffect>;

/** A mark with the instant of its crash on the own clock. */
interface DatedMark {
  readonly fingerprint: string;
  readonly crashId: string;
  readonly crashedAt: Instant;
}

function liveCrashes(record: FingerprintRecord, now: Instant): PersistentMap<string, Instant> {
  return record.crashes.filter((crashedAt) => now - crashedAt < MARK_LIFETIME_MS);
}

function isNews(state: CrashState, mark: DatedMark, now: Instant): boolean {
  const { crashes, completedAt } = state.records.get(mark.fingerprint) ?? EMPTY;
  const isCleared = completedAt !== null && mark.crashedAt <= completedAt;
  return !crashes.has(mark.crashId) && !isCleared && now - mark.crashedAt < MARK_LIFETIME_MS;
}

function addMark(state: CrashState, mark: DatedMark, now: Instant): CrashStep {
  const { fingerprint, crashId, crashedAt } = mark;
  const record = state.records.get(fingerprint) ?? EMPTY;
  const live = liveCrashes(record, now);
  const crashes = live.size < CRASH_LIMIT ? live.set(crashId, crashedAt) : live;
  const wasQuarantined = now < record.quarantinedUntil;
  const isQuarantineDue = crashes.size >= QUARANTINE_CRASHES;
  const quarantinedUntil = isQuarantineDue ? now + QUARANTINE_MS : record.quarantinedUntil;
  // Deleting first moves the fingerprint to the end of the order.
  const records = state.records
    .delete(fingerprint)
    .set(fingerprint, { ...record, crashes, quarantinedUntil });
  const bounded = records.size > FINGERPRINT_LIMIT ? records.takeLast(FINGERPRINTS_KEPT) : records;
  const isNewlyQuarantined = isQuarantineDue && !wasQuarantined;
  const effects: readonly CrashEffect[] = isNewlyQuarantined
    ? [{ kind: 'quarantined', fingerprint }]
    : [];
  return step({ ...state, records: bounded }, ...effects);
}

function addMarks(state: CrashState, marks: readonly DatedMark[], now: Instant): CrashStep {
  let next = state;
  const effects: CrashEffect[] = [];
  const news: CrashRecord[] = [];
  for (const mark of marks) {
    if (!isNews(next, mark, now)) continue;
    const { fingerprint, crashId, crashedAt } = mark;
    const added = addMark(next, mark, now);
    next = added.state;
    effects.push(...added.effects);
    news.push({ fingerprint, crashId, ageMs: now - crashedAt });
  }
  // Only news is passed on, so a mark crosses each link at most once in each direction.
  return news.length === 0
    ? step(next)
    : step(next, ...effects, { kind: 'spread-marks', marks: news });
}

function clear(state: CrashState, fingerprint: string, now: Instant): CrashState {
  // Most calls have no record; remembering every completion would cost memory for nothing.
  if (!state.records.has(fingerprint)) return state;
  const record = { ...EMPTY, completedAt: now };
  return { ...state, records: state.records.set(fingerprint, record) };
}

function expire(state: CrashState, now: Instant): CrashState {
  if (now - state.expiredAt < EXPIRY_INTERVAL_MS) return state;
  const records = state.records.filter((record) => {
    const isCompletionFresh =
      record.completedAt !== null && now - record.completedAt < MARK_LIFETIME_MS;
    return (
      isCompletionFresh || now < record.quarantinedUntil || !liveCrashes(record, now).isEmpty()
    );
  });
  return { records, expiredAt: now };
}

/**
 * Decides which fingerprints are marked and quarantined.
 *
 * @param state - state of the watch
 * @param message - the message
 * @param now - the current instant
 * @returns the step
 */
export const decideCrashes: Decision<CrashState, CrashMessage, CrashEffect> = (
  state,
  message,
  now,
) => {
  switch (message.kind) {
    case 'crashed': {
      const { crashId, fingerprints } = message;
      const marks = fingerprints.map((fingerprint) => ({ fingerprint, crashId, crashedAt: now }));
      return addMarks(state, marks, now);
    }
    case 'completed':
      return step(clear(state, message.fingerprint, now));
    case 'marks-received':
      return addMarks(
        state,
        message.marks.map(({ fingerprint, crashId, ageMs }) => ({
          fingerprint,
          crashId,
          crashedAt: now - Math.max(0, ageMs),
        })),
        now,
      );
    case 'tick':
      return step(expire(state, now));
  }
};

/**
 * Tells whether calls with a fingerprint are refused.
 *
 * @param state - state of the watch
 * @param fingerprint - the fingerprint
 * @param now - the current instant
 * @returns true within 60 s of the second crash
 */
export function isQuarantined(state: CrashState, fingerprint: string, now: Instant): boolean {
  return now < (state.records.get(fingerprint)?.quarantinedUntil ?? Number.NEGATIVE_INFINITY);
}

/**
 * Tells whether a fingerprint was running at a crash lately and has not completed since.
 *
 * @param state - state of the watch
 * @param fingerprint - the fingerprint
 * @param now - the current instant
 * @returns true while a mark is in force
 */
export function hasMark(state: CrashState, fingerprint: string, now: Instant): boolean {
  const record = state.records.get(fingerprint);
  return record !== undefined && !liveCrashes(record, now).isEmpty();
}
