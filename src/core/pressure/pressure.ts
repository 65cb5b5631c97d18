import { Map as PersistentMap, OrderedMap } from 'immutable';
import type { Caller, Feedback } from '../model/call.js';
import { callerKey } from '../model/caller-key.js';
import type { RouteName, ServiceName } from '../model/names.js';
import type { Instant } from '../model/time.js';

/** Without news, a fraction grows by the factor once in each interval. */
const GROWTH_INTERVAL_MS = 200;
const GROWTH_FACTOR = 1.1;

/**
 * Growth starts at least here. From 0 no growth would ever come, and from 0.05 a fraction reaches
 * 1 after 6.4 s even when no root is sent that could bring news.
 */
const PROBE_FRACTION = 0.05;

/** Pairs of route and caller that are remembered; the longest without news is dropped first. */
const PAIRS_MAX = 4_096;

/** Services remembered for one pair; answers carry at most as many. */
const SERVICES_MAX = 8;

/** What a service last said. */
interface ReportedFraction {
  readonly admitFraction: number;
  readonly reportedAt: Instant;
}

/** Admit fractions learned from answers; a pair without an entry is admitted in full. */
export interface Backpressure {
  /** News by pair of route and caller, the longest without news first. */
  readonly pairs: OrderedMap<string, PersistentMap<ServiceName, ReportedFraction>>;
}

/** Nothing is known, and everything is admitted. */
export const INITIAL_BACKPRESSURE: Backpressure = { pairs: OrderedMap() };

/** Feedback that came with an answer. */
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

/** Keeps the services that hold the caller back, the lowest fractions when there are too many. */
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
 * @param state - what is known
 * @param received - route, caller, feedback and instant
 * @returns the new state
 */
export function recordFeedback(
  state: Backpressure,
  { route, caller, feedback, now }: ReceivedFeedback,
): Backpressure {
  if (feedback.length === 0) return state;
  const key = pairKey(route, caller);
  const known = state.pairs.get(key);
  // The common case without overload changes nothing.
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
 * Reads the share of roots that the entry sends on.
 *
 * @param state - what is known
 * @param route - route of the root
 * @param caller - its caller
 * @param now - the current instant
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
 * Drops pairs whose fractions have all grown to 1.
 *
 * @param state - what is known
 * @param now - the current instant
 * @returns the smaller state
 */
export function pruneBackpressure(state: Backpressure, now: Instant): Backpressure {
  return {
    pairs: state.pairs
      .map((pairFractions) => restrictingFractions(pairFractions, now))
      .filter((n) => !n.isEmpty()),
  };
}
