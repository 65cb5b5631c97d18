import { Map as PersistentMap, OrderedMap } from 'immutable';
import type { CrashRecord } from '../model/crash-record.js';
import type { Instant } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';
import type { CrashEffect, CrashMessage } from './crash-message.js';

const RECORD_LIFETIME_MS = 60_000;
const QUARANTINE_MS = 60_000;

/** Number of crashes after which a fingerprint is quarantined. */
const QUARANTINE_CRASHES = 2;

/** Maximum number of fingerprints; those with the oldest crash records are evicted first. */
const FINGERPRINT_LIMIT = 10_000;

/** Fingerprints kept after eviction; evicting one per record would rebuild the order too often. */
const FINGERPRINTS_KEPT = 9_000;

/** Interval between removals of expired records; queries compare instants and ignore them. */
const EXPIRY_INTERVAL_MS = 5000;

/** Maximum number of crashes stored per fingerprint; two are enough for a quarantine. */
const CRASH_LIMIT = 8;

/** Crashes, quarantine and last completion of one fingerprint. */
interface FingerprintRecord {
  /** Instant of each crash by its identifier. */
  readonly crashes: PersistentMap<string, Instant>;
  /** Instant until which the fingerprint is refused. */
  readonly quarantinedUntil: Instant;
  /** Instant of the last completed run, which clears earlier crashes. */
  readonly completedAt: Instant | null;
}

/** State of the tracker; fingerprints are ordered by their latest crash record, oldest first. */
export interface CrashState {
  readonly records: OrderedMap<string, FingerprintRecord>;
  readonly lastExpiryAt: Instant;
}

/** State of a tracker before the first crash. */
export const initialCrashes: CrashState = {
  records: OrderedMap(),
  lastExpiryAt: Number.NEGATIVE_INFINITY,
};

const EMPTY_RECORD: FingerprintRecord = {
  crashes: PersistentMap(),
  quarantinedUntil: Number.NEGATIVE_INFINITY,
  completedAt: null,
};

type CrashStep = Step<CrashState, CrashEffect>;

/** A crash record with the instant of the crash on this node's clock. */
interface DatedCrashRecord {
  readonly fingerprint: string;
  readonly crashId: string;
  readonly crashedAt: Instant;
}

function filterLiveCrashes(
  record: FingerprintRecord,
  now: Instant,
): PersistentMap<string, Instant> {
  return record.crashes.filter((crashedAt) => now - crashedAt < RECORD_LIFETIME_MS);
}

function isNewRecord(state: CrashState, crash: DatedCrashRecord, now: Instant): boolean {
  const { crashes, completedAt } = state.records.get(crash.fingerprint) ?? EMPTY_RECORD;
  const isCleared = completedAt !== null && crash.crashedAt <= completedAt;
  return !crashes.has(crash.crashId) && !isCleared && now - crash.crashedAt < RECORD_LIFETIME_MS;
}

function addRecord(state: CrashState, crash: DatedCrashRecord, now: Instant): CrashStep {
  const { fingerprint, crashId, crashedAt } = crash;
  const record = state.records.get(fingerprint) ?? EMPTY_RECORD;
  const live = filterLiveCrashes(record, now);
  const crashes = live.size < CRASH_LIMIT ? live.set(crashId, crashedAt) : live;
  const isAlreadyQuarantined = now < record.quarantinedUntil;
  const isQuarantineDue = crashes.size >= QUARANTINE_CRASHES;
  const quarantinedUntil = isQuarantineDue ? now + QUARANTINE_MS : record.quarantinedUntil;
  // Deleting it first moves the fingerprint to the end of the order.
  const records = state.records
    .delete(fingerprint)
    .set(fingerprint, { ...record, crashes, quarantinedUntil });
  const bounded = records.size > FINGERPRINT_LIMIT ? records.takeLast(FINGERPRINTS_KEPT) : records;
  const isNewlyQuarantined = isQuarantineDue && !isAlreadyQuarantined;
  const effects: readonly CrashEffect[] = isNewlyQuarantined
    ? [{ kind: 'quarantined', fingerprint }]
    : [];
  return step({ ...state, records: bounded }, ...effects);
}

function addRecords(
  state: CrashState,
  crashes: readonly DatedCrashRecord[],
  now: Instant,
): CrashStep {
  let next = state;
  const effects: CrashEffect[] = [];
  const newRecords: CrashRecord[] = [];
  for (const crash of crashes) {
    if (!isNewRecord(next, crash, now)) continue;
    const { fingerprint, crashId, crashedAt } = crash;
    const added = addRecord(next, crash, now);
    next = added.state;
    effects.push(...added.effects);
    newRecords.push({ fingerprint, crashId, ageMs: now - crashedAt });
  }
  // Only new records are forwarded, so a record crosses each link at most once in each direction.
  return newRecords.length === 0
    ? step(next)
    : step(next, ...effects, { kind: 'gossip-records', marks: newRecords });
}

function clearCrashes(state: CrashState, fingerprint: string, now: Instant): CrashState {
  // Most fingerprints have no record, and a completion without one has nothing to clear.
  if (!state.records.has(fingerprint)) return state;
  const record = { ...EMPTY_RECORD, completedAt: now };
  return { ...state, records: state.records.set(fingerprint, record) };
}

function dropExpired(state: CrashState, now: Instant): CrashState {
  if (now - state.lastExpiryAt < EXPIRY_INTERVAL_MS) return state;
  const records = state.records.filter((record) => {
    const isCompletionFresh =
      record.completedAt !== null && now - record.completedAt < RECORD_LIFETIME_MS;
    return (
      isCompletionFresh ||
      now < record.quarantinedUntil ||
      !filterLiveCrashes(record, now).isEmpty()
    );
  });
  return { records, lastExpiryAt: now };
}

/**
 * Decides which crashes are recorded and which fingerprints are quarantined.
 *
 * @param state - state of the tracker
 * @param message - the message
 * @param now - the current instant
 * @returns the next state and the effects
 */
export const decideCrashes: Decision<CrashState, CrashMessage, CrashEffect> = (
  state,
  message,
  now,
) => {
  switch (message.kind) {
    case 'crashed': {
      const { crashId, fingerprints } = message;
      const crashes = fingerprints.map((fingerprint) => ({ fingerprint, crashId, crashedAt: now }));
      return addRecords(state, crashes, now);
    }
    case 'completed':
      return step(clearCrashes(state, message.fingerprint, now));
    case 'records-received':
      return addRecords(
        state,
        message.marks.map(({ fingerprint, crashId, ageMs }) => ({
          fingerprint,
          crashId,
          crashedAt: now - Math.max(0, ageMs),
        })),
        now,
      );
    case 'tick':
      return step(dropExpired(state, now));
  }
};

/**
 * Lists the recent crash records, for a peer that has none of them after its start.
 *
 * @param state - state of the tracker
 * @param now - the current instant
 * @returns the records with their age
 */
export function listCrashRecords(state: CrashState, now: Instant): readonly CrashRecord[] {
  return [...state.records].flatMap(([fingerprint, record]) =>
    [...filterLiveCrashes(record, now)].map(([crashId, crashedAt]) => ({
      fingerprint,
      crashId,
      ageMs: now - crashedAt,
    })),
  );
}

/**
 * Checks whether calls with a fingerprint are refused.
 *
 * @param state - state of the tracker
 * @param fingerprint - the fingerprint
 * @param now - the current instant
 * @returns true for 60 s after the latest new crash record, once two crashes are known
 */
export function isQuarantined(state: CrashState, fingerprint: string, now: Instant): boolean {
  return now < (state.records.get(fingerprint)?.quarantinedUntil ?? Number.NEGATIVE_INFINITY);
}

/**
 * Checks whether a request with the fingerprint was running at a recent crash, and none has
 * completed since.
 *
 * @param state - state of the tracker
 * @param fingerprint - the fingerprint
 * @param now - the current instant
 * @returns true for 60 s after the crash, unless a run completes
 */
export function hasCrashRecord(state: CrashState, fingerprint: string, now: Instant): boolean {
  const record = state.records.get(fingerprint);
  return record !== undefined && !filterLiveCrashes(record, now).isEmpty();
}
