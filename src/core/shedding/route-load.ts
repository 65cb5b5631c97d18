import { compareRanks, type GateLoad, type MeshOutcome, type Rank } from '../exchange/mesh-call.js';
import type { RouteName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import {
  addPressureSample,
  noPressure,
  currentPressure,
  type SmoothedPressure,
} from './smoothed-pressure.js';
import type { OverloadDuty, RootAdmission } from './root-admission.js';

/**
 * Load that root requests of one route encounter. It covers the case of an overloaded service
 * further down the call graph, where requests lose one of their calls after others have run.
 */
export interface RouteLoad {
  readonly pressure: SmoothedPressure;
  /** When a request last failed because one of its calls met an overloaded service. */
  readonly downstreamOverloadAt: Instant;
}

/** Loads by route. */
export type RouteLoads = ReadonlyMap<RouteName, RouteLoad>;

/** Admission with the route and the rank that it applies to. */
export interface RankedAdmission extends RootAdmission {
  readonly route: RouteName;
  readonly rank: Rank;
}

/** Load of a route before the first reply. */
export const initialRouteLoad: RouteLoad = {
  pressure: noPressure,
  downstreamOverloadAt: Number.NEGATIVE_INFINITY,
};

/**
 * Pressure at a gate, or downstream of it, from which a server error or a request shed by the
 * backend server counts as overload. Below it, the cause is a fault of the backend server.
 */
const OVERLOAD_PRESSURE = 0.2;

const SERVER_ERROR_STATUS = 500;

/** Time for which a route counts as affected by a downstream overload after the last failure. */
const DOWNSTREAM_OVERLOAD_MS: Milliseconds = 3000;

/**
 * Share of its requests that each rank keeps while others that meet the same overload have more.
 * Without it, an overload that serves half of the requests serves next to none of the lowest rank.
 * `docs/decisions/platform-path.md` compares values.
 */
export const LEAST_SHARE = 0.2;

/** Ranks without requests for this time are ignored, since shedding them frees no capacity. */
const RECENT_ADMISSION_MS: Milliseconds = 3000;

/**
 * Checks whether a call failed because of overload, at its own gate or at one further down. Other
 * failures are faults of a single backend server and are handled by placement.
 *
 * @param outcome - outcome of the call
 * @param load - load that the gate reported with it
 * @returns whether the outcome indicates overload
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

/** What replies to requests of a route reported. */
export interface RouteReport {
  /** Mean pressure at the gates of the route itself, from 0 to 1. */
  readonly pressure: number;
  /** The same with the pressure on the calls that the requests make. */
  readonly fullPressure: number;
  /** Whether a request failed because one of its calls met an overloaded service. */
  readonly hasLostCalls: boolean;
}

/**
 * Checks whether requests of a route failed lately for an overload further down.
 *
 * @param load - load of the route
 * @param now - the current instant
 * @returns whether the last one is less than 3 s ago
 */
export function hasDownstreamOverload({ downstreamOverloadAt }: RouteLoad, now: Instant): boolean {
  return now - downstreamOverloadAt < DOWNSTREAM_OVERLOAD_MS;
}

/**
 * Builds the report of one reply.
 *
 * @param load - load that the gate reported with the outcome
 * @param outcome - outcome of the request
 * @returns the report
 */
export function describeReply(load: GateLoad, outcome: MeshOutcome): RouteReport {
  const isOverloaded = isOverload(outcome, load);
  return {
    pressure: isOverloaded ? 1 : load.pressure,
    fullPressure: isOverloaded ? 1 : Math.max(load.pressure, load.downstreamPressure),
    hasLostCalls: isOverloaded && outcome.kind === 'answered',
  };
}

/**
 * Updates the load of a route with a report.
 *
 * @param before - load of the route before the report
 * @param report - the report
 * @param now - the current instant
 * @returns the next load of the route
 */
export function recordReport(
  before: RouteLoad,
  { pressure, fullPressure, hasLostCalls }: RouteReport,
  now: Instant,
): RouteLoad {
  const downstreamOverloadAt = hasLostCalls ? now : before.downstreamOverloadAt;
  // Downstream pressure matters only to routes whose requests reach the overloaded service.
  const isAffected = hasDownstreamOverload({ ...before, downstreamOverloadAt }, now);
  return {
    pressure: addPressureSample(before.pressure, isAffected ? fullPressure : pressure, now),
    downstreamOverloadAt,
  };
}

/**
 * Updates the load of a route with the outcome of a root request.
 *
 * @param before - load of the route before the outcome
 * @param load - load that the gate reported with the outcome
 * @param outcome - outcome of the request
 * @param now - the current instant
 * @returns the next load of the route
 */
export function recordOutcome(
  before: RouteLoad,
  load: GateLoad,
  outcome: MeshOutcome,
  now: Instant,
): RouteLoad {
  return recordReport(before, describeReply(load, outcome), now);
}

/**
 * Computes the pressure that applies to the requests of a route. Routes affected by a downstream
 * overload use the highest pressure among them, since they share a service further down.
 *
 * @param loads - loads of all routes
 * @param route - name of the route
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
 * Decides how requests of a rank give way in a downstream overload. The lowest rank gives way until
 * its least share is left. Then the ranks above it do, at the same pressure, until they are down to
 * their least shares too, and only after that do all fall further.
 *
 * @param loads - loads of all routes
 * @param admissions - admissions of all routes and ranks
 * @param own - route, rank and admitted share of the requests
 * @param now - the current instant
 * @returns the duty; ranks do not matter to routes without a downstream overload
 */
export function overloadDuty(
  loads: RouteLoads,
  admissions: Iterable<RankedAdmission>,
  own: Pick<RankedAdmission, 'route' | 'rank' | 'fraction'>,
  now: Instant,
): OverloadDuty {
  const isAffected = (route: RouteName): boolean =>
    hasDownstreamOverload(loads.get(route) ?? initialRouteLoad, now);
  if (!isAffected(own.route)) {
    return { thresholdRank: own.rank, isSpared: false, isDownstream: false };
  }
  let lowest = own.rank;
  let isLowerOpen = false;
  let isHigherOpen = false;
  for (const { route, rank, fraction, adjustedAt } of admissions) {
    const order = compareRanks(own.rank, rank);
    if (order !== 0 && now - adjustedAt < RECENT_ADMISSION_MS && isAffected(route)) {
      const isOpen = fraction > LEAST_SHARE;
      if (order < 0) isLowerOpen ||= isOpen;
      else isHigherOpen ||= isOpen;
      if (compareRanks(lowest, rank) < 0) lowest = rank;
    }
  }
  const isAtLeastShare = own.fraction <= LEAST_SHARE;
  return {
    thresholdRank: isLowerOpen ? own.rank : lowest,
    isSpared: isLowerOpen || (isAtLeastShare && isHigherOpen),
    isDownstream: true,
  };
}
