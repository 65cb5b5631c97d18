import { Map as PersistentMap, OrderedMap } from 'immutable';
import type { Caller, Feedback } from '../model/call.js';
import { callerKey } from '../model/caller-key.js';
import type { RouteName, ServiceName } from '../model/names.js';
import type { Instant } from '../model/time.js';

/** Without feedback, a fraction grows by the factor once for each interval. */
const GROWTH_INTERVAL_MS = 200;
const GROWTH_FACTOR = 1.1;

/**
 * Smallest fraction from which growth starts. A fraction of 0 would never grow; from 0.05 it
 * reaches 1 after 6.4 s, even when no root is sent whose answer could carry feedback.
 */
const PROBE_FRACTION = 0.05;

/** Largest number of stored pairs of route and caller; the least recently updated is dropped. */
const PAIRS_MAX = 4_096;

/** Largest number of services stored for one pair; an answer carries at most as many. */
const SERVICES_MAX = 8;

/** Admit fraction that a service last reported. */
interface ReportedFraction {
  readonly admitFraction: number;
  readonly reportedAt: Instant;
}

/** Admit fractions received with answers; all roots of a pair without an entry are admitted. */
export interface Backpressure {
  /** Fractions by service for each pair of route and caller, least recently updated first. */
  readonly pairs: OrderedMap<string, PersistentMap<ServiceName, ReportedFraction>>;
}

/** State without feedback, in which all roots are admitted. */
export const INITIAL_BACKPRESSURE: Backpressure = { pairs: OrderedMap() };

/** Feedback that an answer carried. */
export interface ReceivedFeedback {
  readonly route: RouteName;
  readonly caller: Caller;
  readonly feedback: readonly Feedback[];
  readonly now: Instant;
}

function pairKey(route: RouteName, caller: Caller): string {
  return `${callerKey(caller)} ${route}`;
}

function currentFraction(
  { admitFraction, reportedAt: at }: ReportedFraction,
  now: Instant,
): number {
  const intervals = Math.floor(Math.max(0, now - at) / GROWTH_INTERVAL_MS);
  return intervals === 0
    ? admitFraction
    : Math.min(1, Math.max(admitFraction, PROBE_FRACTION) * GROWTH_FACTOR ** intervals);
}

/** Keeps the fractions below 1, and of these the lowest ones when there are too many. */
function restrictingFractions(
  candidates: PersistentMap<ServiceName, ReportedFraction>,
  now: Instant,
): PersistentMap<ServiceName, ReportedFraction> {
  const restricting = candidates.filter((item) => currentFraction(item, now) < 1);
  return restricting.size <= SERVICES_MAX
    ? restricting
    : restricting
        .sortBy((item) => currentFraction(item, now))
        .take(SERVICES_MAX)
        .toMap();
}

/**
 * Records the feedback of an answer or a refusal. An empty list changes nothing.
 *
 * @param state - current fractions
 * @param received - route, caller, feedback and instant
 * @returns the updated fractions
 */
export function recordFeedback(
  state: Backpressure,
  { route, caller, feedback, now }: ReceivedFeedback,
): Backpressure {
  if (feedback.length === 0) return state;
  const key = pairKey(route, caller);
  const known = state.pairs.get(key);
  // Without overload, which is the common case, nothing is stored.
  if (known === undefined && feedback.every(({ admitFraction }) => admitFraction >= 1)) {
    return state;
  }
  const merged = feedback.reduce(
    (updated, { service, admitFraction }) =>
      updated.set(service, {
        admitFraction: Math.min(1, Math.max(0, admitFraction)),
        reportedAt: now,
      }),
    known ?? PersistentMap<ServiceName, ReportedFraction>(),
  );
  const kept = restrictingFractions(merged, now);
  const others = state.pairs.delete(key);
  const pairs = kept.isEmpty() ? others : others.set(key, kept);
  return { pairs: pairs.size <= PAIRS_MAX ? pairs : pairs.delete(pairs.keySeq().first('')) };
}

/**
 * Returns the fraction of roots that an entry admits.
 *
 * @param state - current fractions
 * @param route - route of the root
 * @param caller - caller of the root
 * @param now - current instant
 * @returns fraction in [0, 1] of root hashes; the lowest over the services of the call tree
 */
export function admitFractionFor(
  state: Backpressure,
  route: RouteName,
  caller: Caller,
  now: Instant,
): number {
  const reports = state.pairs.get(pairKey(route, caller));
  return reports === undefined
    ? 1
    : reports.reduce((low, item) => Math.min(low, currentFraction(item, now)), 1);
}

/**
 * Drops fractions that have grown to 1, and pairs without other fractions.
 *
 * @param state - current fractions
 * @param now - current instant
 * @returns the remaining fractions
 */
export function pruneBackpressure(state: Backpressure, now: Instant): Backpressure {
  return {
    pairs: state.pairs
      .map((pairFractions) => restrictingFractions(pairFractions, now))
      .filter((n) => !n.isEmpty()),
  };
}
