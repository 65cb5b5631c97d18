import type { RouteName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import {
  hasDownstreamOverload,
  initialRouteLoad,
  recordReport,
  type RouteLoad,
  type RouteLoads,
  type RouteReport,
} from './route-load.js';
import { currentPressure } from './smoothed-pressure.js';

/** What the replies to the requests of one node reported about a route since its last report. */
export interface NodeRouteReport extends RouteReport {
  readonly route: RouteName;
}

/** Load of a route over all nodes, as the node knows it that adds up their reports. */
export interface SharedRouteLoad {
  readonly route: RouteName;
  readonly pressure: number;
  /** Time since a request last failed for an overload further down; null when that is long ago. */
  readonly overloadAgeMs: Milliseconds | null;
}

/** Interval of the exchange; requests are admitted for this long before others know their fate. */
export const EXCHANGE_INTERVAL_MS: Milliseconds = 250;

/** Routes below this pressure are not listed; nodes take a route that is missing as calm. */
const MIN_SHARED_PRESSURE = 0.01;

/** Pressure from which all nodes are told, also those that have not reported lately. */
const BROADCAST_PRESSURE = 0.05;

/** Limits of a message of another node. */
const MAX_ROUTES = 2000;
const MAX_ROUTE_CHARACTERS = 200;

function isCalm(load: RouteLoad, now: Instant): boolean {
  const pressure = currentPressure(load.pressure, now);
  return pressure < MIN_SHARED_PRESSURE && !hasDownstreamOverload(load, now);
}

/**
 * Adds the reports of a node to the loads over all nodes. Calm routes are forgotten: they have the
 * same load as new ones, and names that other nodes send must not accumulate.
 *
 * @param loads - the loads so far
 * @param reports - the reports
 * @param now - the current instant
 * @returns the next loads
 */
export function addNodeReports(
  loads: RouteLoads,
  reports: readonly NodeRouteReport[],
  now: Instant,
): RouteLoads {
  const next = new Map([...loads].filter(([, load]) => !isCalm(load, now)));
  reports.forEach((report) => {
    const before = next.get(report.route) ?? initialRouteLoad;
    next.set(report.route, recordReport(before, report, now));
  });
  return next;
}

/**
 * Lists the loads over all nodes.
 *
 * @param loads - the loads
 * @param now - the current instant
 * @returns the routes under pressure
 */
export function listSharedLoads(loads: RouteLoads, now: Instant): readonly SharedRouteLoad[] {
  return [...loads]
    .filter(([, load]) => !isCalm(load, now))
    .map(([route, load]) => ({
      route,
      pressure: currentPressure(load.pressure, now),
      overloadAgeMs: hasDownstreamOverload(load, now) ? now - load.downstreamOverloadAt : null,
    }));
}

/**
 * Checks whether all nodes have to be told of the loads.
 *
 * @param shared - the loads
 * @returns whether the pressure on a route is so high that requests may have to be refused
 */
export function isWorthBroadcasting(shared: readonly SharedRouteLoad[]): boolean {
  return shared.some(({ pressure }) => pressure >= BROADCAST_PRESSURE);
}

/**
 * Replaces the load of a route by the load over all nodes. Own replies that follow are added to it,
 * and without further news it decays as any other. A node of a large fleet sends a few requests a
 * second, which show an overload late and by chance.
 *
 * @param own - load so far
 * @param shared - load over all nodes, or undefined when the route is calm
 * @param now - the current instant
 * @returns the load
 */
export function applySharedLoad(
  own: RouteLoad,
  shared: SharedRouteLoad | undefined,
  now: Instant,
): RouteLoad {
  const overloadAgeMs = shared?.overloadAgeMs ?? Number.POSITIVE_INFINITY;
  return {
    pressure: { value: shared?.pressure ?? 0, at: now },
    downstreamOverloadAt: Math.max(own.downstreamOverloadAt, now - overloadAgeMs),
  };
}

function isShare(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= 1;
}

function isRoute(value: unknown): value is RouteName {
  return typeof value === 'string' && value.length <= MAX_ROUTE_CHARACTERS;
}

function itemsOf(value: unknown): readonly Readonly<Record<string, unknown>>[] {
  if (!Array.isArray(value) || value.length > MAX_ROUTES) return [];
  return value.filter(
    (item): item is Readonly<Record<string, unknown>> => typeof item === 'object' && item !== null,
  );
}

/**
 * Reads the reports in a message of another node, which may run another version.
 *
 * @param value - the decoded message
 * @returns the reports that are well formed
 */
export function readNodeReports(value: unknown): readonly NodeRouteReport[] {
  return itemsOf(value).flatMap(({ route, pressure, fullPressure, hasLostCalls }) =>
    isRoute(route) &&
    isShare(pressure) &&
    isShare(fullPressure) &&
    typeof hasLostCalls === 'boolean'
      ? [{ route, pressure, fullPressure, hasLostCalls }]
      : [],
  );
}

/**
 * Reads the shared loads in a message of another node, which may run another version.
 *
 * @param value - the decoded message
 * @returns the loads that are well formed
 */
export function readSharedLoads(value: unknown): readonly SharedRouteLoad[] {
  return itemsOf(value).flatMap(({ route, pressure, overloadAgeMs }) => {
    const isAge =
      overloadAgeMs === null || (typeof overloadAgeMs === 'number' && overloadAgeMs >= 0);
    return isRoute(route) && isShare(pressure) && isAge ? [{ route, pressure, overloadAgeMs }] : [];
  });
}
