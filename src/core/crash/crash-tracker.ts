import { Map as PersistentMap, OrderedMap } from 'immutable';
import type { CrashClearance, CrashRecord } from '../model/crash-record.js';
import type { Instant } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';
import type { CrashEffect, CrashMessage } from './crash-message.js';
import { extendQuarantine, startTrial, type Quarantine } from './quarantine.js';
import {
  addCompletion,
  listCompleted,
  noCompletions,
  type RecentCompletions,
} from './recent-completions.js';
import type { Suspicion } from './suspicion.js';

const RECORD_LIFETIME_MS = 60_000;

/** Number of crashes after which a fingerprint is quarantined. */
const QUARANTINE_CRASHES = 2;

/** Maximum number of fingerprints; those with the oldest crash records are evicted first. */
const FINGERPRINT_LIMIT = 10_000;

/** Fingerprints kept after eviction; evicting one per record would rebuild the order too often. */
const FINGERPRINTS_KEPT = 9_000;

/** Interval between removals of expired records; queries compare instants and ignore them. */
const EXPIRY_INTERVAL_MS = 5000;

/**
 * Maximum number of crashes stored per fingerprint; further ones are ignored. Two are enough for a
 * quarantine, and the others delay its trials.
 */
const CRASH_LIMIT = 64;

/** Crashes and quarantine of one fingerprint. */
interface FingerprintRecord {
  /** Instant of each crash by its identifier. */
  readonly crashes: PersistentMap<string, Instant>;
  readonly quarantine: Quarantine | null;
  /** Instant at which a completed run cleared earlier crashes. */
  readonly clearedAt: Instant | null;
}

/** Crash of the own backend server. */
interface OwnCrash {
  readonly crashId: string;
  /** Requests that the server had completed shortly before. */
  readonly completions: RecentCompletions;
}

/** State of the tracker; fingerprints are ordered by their latest crash record, oldest first. */
export interface CrashState {
  /** Name of the node, which gives it a time of its own for trials. */
  readonly node: string;
  readonly records: OrderedMap<string, FingerprintRecord>;
  readonly lastExpiryAt: Instant;
  /** Requests that the own backend server has completed since its latest crash. */
  readonly completions: RecentCompletions;
  readonly latestCrash: OwnCrash | null;
  /** Cleared fingerprints of which the peers are told at the next tick. */
  readonly unsentClearances: PersistentMap<string, Instant>;
}

const NO_CLEARANCES: PersistentMap<string, Instant> = PersistentMap();

/**
 * Creates the state of a tracker before the first crash.
 *
 * @param node - name of the node
 * @returns the initial state
 */
export function createCrashState(node: string): CrashState {
  return {
    node,
    records: OrderedMap(),
    lastExpiryAt: Number.NEGATIVE_INFINITY,
    completions: noCompletions,
    latestCrash: null,
    unsentClearances: NO_CLEARANCES,
  };
}

const EMPTY_RECORD: FingerprintRecord = {
  crashes: PersistentMap(),
  quarantine: null,
  clearedAt: null,
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

/**
 * Finds the quarantine of a fingerprint.
 *
 * @param state - state of the tracker
 * @param fingerprint - the fingerprint
 * @param now - the current instant
 * @returns the quarantine in force, or null
 */
export function findQuarantine(
  state: CrashState,
  fingerprint: string,
  now: Instant,
): Quarantine | null {
  const quarantine = state.records.get(fingerprint)?.quarantine ?? null;
  return quarantine !== null && now < quarantine.until ? quarantine : null;
}

/**
 * Checks whether calls with a fingerprint are refused, apart from trials.
 *
 * @param state - state of the tracker
 * @param fingerprint - the fingerprint
 * @param now - the current instant
 * @returns true for 60 s after the latest new crash record, once two crashes are known, and longer
 *   after trials that ended in a crash
 */
export function isQuarantined(state: CrashState, fingerprint: string, now: Instant): boolean {
  return findQuarantine(state, fingerprint, now) !== null;
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

function isNewRecord(state: CrashState, crash: DatedCrashRecord, now: Instant): boolean {
  const record = state.records.get(crash.fingerprint) ?? EMPTY_RECORD;
  const isKnown = record.crashes.has(crash.crashId);
  const isCleared = record.clearedAt !== null && crash.crashedAt <= record.clearedAt;
  if (isKnown || isCleared || now - crash.crashedAt >= RECORD_LIFETIME_MS) return false;
  // A record that is not stored would be new again each time that a peer sends it.
  return filterLiveCrashes(record, now).size < CRASH_LIMIT;
}

/** Stores a record, and evicts the oldest ones when there are too many. */
function setRecord(state: CrashState, fingerprint: string, record: FingerprintRecord): CrashState {
  const records = state.records.set(fingerprint, record);
  const bounded = records.size > FINGERPRINT_LIMIT ? records.takeLast(FINGERPRINTS_KEPT) : records;
  return { ...state, records: bounded };
}

function addRecord(state: CrashState, crash: DatedCrashRecord, now: Instant): CrashStep {
  const { fingerprint, crashId, crashedAt } = crash;
  const record = state.records.get(fingerprint) ?? EMPTY_RECORD;
  const crashes = filterLiveCrashes(record, now).set(crashId, crashedAt);
  const before = findQuarantine(state, fingerprint, now);
  const isQuarantineDue = before !== null || crashes.size >= QUARANTINE_CRASHES;
  const quarantine = isQuarantineDue
    ? extendQuarantine(before, { node: state.node, fingerprint, crashedAt }, now)
    : null;
  const isNewlyQuarantined = isQuarantineDue && before === null;
  const effects: readonly CrashEffect[] = isNewlyQuarantined
    ? [{ kind: 'quarantined', fingerprint }]
    : [];
  // Deleting it first moves the fingerprint to the end of the order.
  const others: CrashState = { ...state, records: state.records.delete(fingerprint) };
  return step(setRecord(others, fingerprint, { ...record, crashes, quarantine }), ...effects);
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

/** Adds the crash of the own backend server to the requests that it had not completed before. */
function addOwnCrash(
  state: CrashState,
  { crashId, fingerprints }: Extract<CrashMessage, { readonly kind: 'crashed' }>,
  now: Instant,
): CrashStep {
  const isKnown = state.latestCrash?.crashId === crashId;
  const latestCrash = isKnown ? state.latestCrash : { crashId, completions: state.completions };
  // What the former process completed says nothing about its successor.
  const completions = isKnown ? state.completions : noCompletions;
  const completed = listCompleted(latestCrash.completions, now);
  const suspects = fingerprints
    .filter((fingerprint) => !completed.has(fingerprint))
    .map((fingerprint) => ({ fingerprint, crashId, crashedAt: now }));
  return addRecords({ ...state, latestCrash, completions }, suspects, now);
}

function clearCrashes(
  state: CrashState,
  fingerprint: string,
  clearedAt: Instant,
  now: Instant,
): CrashState {
  const record = state.records.get(fingerprint) ?? EMPTY_RECORD;
  const crashes = filterLiveCrashes(record, now).filter((crashedAt) => crashedAt > clearedAt);
  const quarantine = crashes.size >= QUARANTINE_CRASHES ? record.quarantine : null;
  const latest = Math.max(clearedAt, record.clearedAt ?? Number.NEGATIVE_INFINITY);
  return setRecord(state, fingerprint, { crashes, quarantine, clearedAt: latest });
}

/** Clears a fingerprint after a completed run; the peers hear of the end of a quarantine at once. */
function clearCompleted(state: CrashState, fingerprint: string, now: Instant): CrashStep {
  const wasQuarantined = isQuarantined(state, fingerprint, now);
  // Most fingerprints have no crash, and a completion has nothing to clear then.
  if (!wasQuarantined && !hasCrashRecord(state, fingerprint, now)) return step(state);
  const cleared = clearCrashes(state, fingerprint, now, now);
  if (wasQuarantined) {
    const clearances = [{ fingerprint, ageMs: 0 }];
    return step(cleared, { kind: 'gossip-clearances', clearances });
  }
  const unsentClearances = state.unsentClearances.set(fingerprint, now);
  return step({ ...cleared, unsentClearances });
}

/** Adds the crash records of a peer, except for requests that were completed here recently. */
function addPeerRecords(state: CrashState, marks: readonly CrashRecord[], now: Instant): CrashStep {
  const crashes = marks
    .map((mark) => ({ ...mark, crashedAt: now - Math.max(0, mark.ageMs) }))
    .filter((crash) => isNewRecord(state, crash, now));
  if (crashes.length === 0) return step(state);
  const completed = listCompleted(state.completions, now);
  const isCompletedHere = ({ fingerprint }: CrashRecord) => completed.has(fingerprint);
  const clearances = crashes
    .filter(isCompletedHere)
    .map(({ fingerprint }) => ({ fingerprint, ageMs: 0 }));
  const cleared = clearances.reduce(
    (next, { fingerprint }) => clearCrashes(next, fingerprint, now, now),
    state,
  );
  const added = addRecords(
    cleared,
    crashes.filter((crash) => !isCompletedHere(crash)),
    now,
  );
  return clearances.length === 0
    ? added
    : step(added.state, ...added.effects, { kind: 'gossip-clearances', clearances });
}

/** Applies clearances of a peer. Those that end a quarantine are passed on. */
function addPeerClearances(
  state: CrashState,
  clearances: readonly CrashClearance[],
  now: Instant,
): CrashStep {
  const next = clearances.reduce(
    (cleared, { fingerprint, ageMs }) =>
      clearCrashes(cleared, fingerprint, now - Math.max(0, ageMs), now),
    state,
  );
  const released = clearances.filter(
    ({ fingerprint }) =>
      isQuarantined(state, fingerprint, now) && !isQuarantined(next, fingerprint, now),
  );
  return released.length === 0
    ? step(next)
    : step(next, { kind: 'gossip-clearances', clearances: released });
}

function sendClearances(state: CrashState, now: Instant): CrashStep {
  if (state.unsentClearances.isEmpty()) return step(state);
  const clearances = [...state.unsentClearances].map(([fingerprint, clearedAt]) => ({
    fingerprint,
    ageMs: now - clearedAt,
  }));
  const effect: CrashEffect = { kind: 'gossip-clearances', clearances };
  return step({ ...state, unsentClearances: NO_CLEARANCES }, effect);
}

function recordTrial(state: CrashState, fingerprint: string, now: Instant): CrashState {
  const record = state.records.get(fingerprint) ?? EMPTY_RECORD;
  if (record.quarantine === null) return state;
  const quarantine = startTrial(record.quarantine, now);
  return setRecord(state, fingerprint, { ...record, quarantine });
}

function dropExpired(state: CrashState, now: Instant): CrashState {
  if (now - state.lastExpiryAt < EXPIRY_INTERVAL_MS) return state;
  const records = state.records.filter((record, fingerprint) => {
    const isClearanceFresh =
      record.clearedAt !== null && now - record.clearedAt < RECORD_LIFETIME_MS;
    const isRefused = isQuarantined(state, fingerprint, now);
    return isClearanceFresh || isRefused || !filterLiveCrashes(record, now).isEmpty();
  });
  return { ...state, records, lastExpiryAt: now };
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
    case 'crashed':
      return addOwnCrash(state, message, now);
    case 'completed': {
      const { fingerprint } = message;
      const completions = addCompletion(state.completions, fingerprint, now);
      return clearCompleted({ ...state, completions }, fingerprint, now);
    }
    case 'completed-anywhere':
      return clearCompleted(state, message.fingerprint, now);
    case 'records-received': {
      const cleared = addPeerClearances(state, message.clearances ?? [], now);
      const added = addPeerRecords(cleared.state, message.marks, now);
      return step(added.state, ...cleared.effects, ...added.effects);
    }
    case 'trial-started':
      return step(recordTrial(state, message.fingerprint, now));
    case 'tick':
      return sendClearances(dropExpired(state, now), now);
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
 * Checks what is known against a request.
 *
 * @param state - state of the tracker
 * @param fingerprint - fingerprint of the request
 * @param now - the current instant
 * @returns the suspicion
 */
export function checkFingerprint(state: CrashState, fingerprint: string, now: Instant): Suspicion {
  const quarantine = findQuarantine(state, fingerprint, now);
  if (quarantine !== null) {
    return now < quarantine.ownTrialAt
      ? { kind: 'quarantined' }
      : { kind: 'trial-due', fingerprint };
  }
  return hasCrashRecord(state, fingerprint, now)
    ? { kind: 'suspected', fingerprint }
    : { kind: 'none' };
}
