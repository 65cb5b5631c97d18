import { compareRanks, type GateLoad, type MeshOutcome, type Rank } from '../exchange/mesh-call.js';
import type { RouteName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import {
  addPressureSample,
  noPressure,
  currentPressure,
  type SmoothedPressure,
} from './smoothed-pressure.js';
import type { RootAdmission } from './root-admission.js';

/**
 * What new requests of one route meet. The load that this answers: a service further down is full,
 * so that some requests lose one of their calls after others have run for them.
 */
export interface RouteLoad {
  readonly pressure: SmoothedPressure;
  /** When a request last lost one of its calls for lack of room. */
  readonly downstreamOverloadAt: Instant;
}

/** What all routes meet, by route. */
export type RouteLoads = ReadonlyMap<RouteName, RouteLoad>;

/** Admission of the requests of one route and rank. */
export interface RankedAdmission extends RootAdmission {
  readonly route: RouteName;
  readonly rank: Rank;
}

/** A route of which nothing has been told. */
export const initialRouteLoad: RouteLoad = {
  pressure: noPressure,
  downstreamOverloadAt: Number.NEGATIVE_INFINITY,
};

/**
 * Pressure at or behind a gate from which on a failed run, or a request that the backend server
 * shed, counts as a sign of overload. Without it the backend server is at fault, not the load.
 */
const OVERLOAD_PRESSURE = 0.2;

const SERVER_ERROR_STATUS = 500;

/** A route counts as one whose calls meet overload for this time after one of them did. */
const DOWNSTREAM_OVERLOAD_MS: Milliseconds = 3000;

/** Requests of higher ranks are spared while more than this fraction of lower ones is let in. */
const PROTECTION_MIN_FRACTION = 0.15;

/** Requests of a kind that has not come for this time leave no room to take back. */
const RECENT_ADMISSION_MS: Milliseconds = 1000;

/**
 * Tells whether a call came to nothing for lack of room, at its own gate or at one further down.
 * Other failures are faults of one backend server, which placement answers.
 *
 * @param outcome - what became of the call
 * @param load - load that the gate told with it
 * @returns whether it is a sign of overload
 */
export function isOverload(
  outcome: MeshOutcome,
  { pressure, downstreamPressure }: GateLoad,
): boolean {
  switch (outcome.kind) {
    case 'refused':
      return (
        outcome.code === 'overloaded' ||
        (outcome.code === 'serverShed' && pressure >= OVERLOAD_PRESSURE)
      );
    case 'answered':
      return outcome.status >= SERVER_ERROR_STATUS && downstreamPressure >= OVERLOAD_PRESSURE;
    case 'failed':
      return false;
  }
}

function hasDownstreamOverload({ downstreamOverloadAt }: RouteLoad, now: Instant): boolean {
  return now - downstreamOverloadAt < DOWNSTREAM_OVERLOAD_MS;
}

/**
 * Learns what became of a new request.
 *
 * @param before - what its route met before
 * @param load - load that the gate told
 * @param outcome - what became of the request
 * @param now - the current instant
 * @returns what the route meets now
 */
export function recordOutcome(
  before: RouteLoad,
  load: GateLoad,
  outcome: MeshOutcome,
  now: Instant,
): RouteLoad {
  const isOverloaded = isOverload(outcome, load);
  const downstreamOverloadAt =
    isOverloaded && outcome.kind === 'answered' ? now : before.downstreamOverloadAt;
  // Waits further down concern only routes whose requests get there.
  const reported = hasDownstreamOverload({ ...before, downstreamOverloadAt }, now)
    ? Math.max(load.pressure, load.downstreamPressure)
    : load.pressure;
  return {
    pressure: addPressureSample(before.pressure, isOverloaded ? 1 : reported, now),
    downstreamOverloadAt,
  };
}

/**
 * Reads the pressure to which the requests of a route give way. Routes whose calls meet overload
 * share the highest pressure among them: they share a service further down.
 *
 * @param loads - what all routes meet
 * @param route - the route
 * @param now - the current instant
 * @returns the pressure from 0 to 1
 */
export function routePressure(loads: RouteLoads, route: RouteName, now: Instant): number {
  const own = loads.get(route) ?? initialRouteLoad;
  const pressure = currentPressure(own.pressure, now);
  if (!hasDownstreamOverload(own, now)) return pressure;
  return [...loads.values()].reduce(
    (highest, other) =>
      hasDownstreamOverload(other, now)
        ? Math.max(highest, currentPressure(other.pressure, now))
        : highest,
    pressure,
  );
}

/**
 * Tells whether requests of a rank are spared, since less important ones whose calls meet overload
 * as well are still let in.
 *
 * @param loads - what all routes meet
 * @param admissions - the admissions of all routes and ranks
 * @param route - route of the requests
 * @param rank - rank of the requests
 * @param now - the current instant
 * @returns whether others have to make room first
 */
export function isProtected(
  loads: RouteLoads,
  admissions: Iterable<RankedAdmission>,
  route: RouteName,
  rank: Rank,
  now: Instant,
): boolean {
  if (!hasDownstreamOverload(loads.get(route) ?? initialRouteLoad, now)) return false;
  return [...admissions].some(
    (other) =>
      compareRanks(rank, other.rank) < 0 &&
      other.fraction > PROTECTION_MIN_FRACTION &&
      now - other.adjustedAt < RECENT_ADMISSION_MS &&
      hasDownstreamOverload(loads.get(other.route) ?? initialRouteLoad, now),
  );
}
