import type { Fault } from '../errors/fault.js';
import type { Account, BackendServer, Route } from '../model/configuration.js';
import { faultAt, placeIn, type Place } from '../toml/read-table.js';
import type { Entries, Placed } from './read-entries.js';
import { countLiterals, doOverlap, pathSegments } from './route-path.js';
import type { SourceSet } from './source-set.js';

/** Paths below /almondhoist/ belong to the nodes themselves. */
const RESERVED_SERVICE = 'almondhoist';

function inconsistent(place: Place, reason: string): Fault {
  return faultAt('setInconsistent', place, { reason });
}

function repeated(names: readonly string[]): readonly string[] {
  return [...new Set(names.filter((name, index) => names.indexOf(name) < index))];
}

function zoneFaults({ zones }: Entries, set: SourceSet): readonly Fault[] {
  const defined = set.entries.filter(({ section }) => section === 'zones');
  if (defined.length === 0 && set.isComplete) {
    return [
      inconsistent({ source: 'set', path: 'zones' }, 'no availability zone; expected at least one'),
    ];
  }
  const first = zones[0];
  const allOut =
    set.isComplete &&
    zones.length === defined.length &&
    zones.every(({ value }) => value.state === 'out');
  return first !== undefined && allOut
    ? [
        inconsistent(
          placeIn(first.place, 'state'),
          'all availability zones are out; expected at least one that is in',
        ),
      ]
    : [];
}

function backendServerFaults({ value, place }: Placed<BackendServer>): readonly Fault[] {
  const { slots, connections, coldCapacity } = value;
  return [
    ...(coldCapacity > slots
      ? [
          inconsistent(
            placeIn(place, 'cold_capacity'),
            `cold_capacity ${coldCapacity} is above slots ${slots}; expected at most the slots`,
          ),
        ]
      : []),
    // Each running call holds one connection of HTTP/1.1.
    ...(connections < slots
      ? [
          inconsistent(
            placeIn(place, 'connections'),
            `connections ${connections} are below slots ${slots}; expected at least the slots`,
          ),
        ]
      : []),
  ];
}

function accountFaults(accounts: readonly Placed<Account>[]): readonly Fault[] {
  const holders = new Map<string, string>();
  return accounts.flatMap(({ value, place }) => [
    ...repeated(value.services).map((found) =>
      faultAt('nameDuplicate', placeIn(place, 'services'), { found }),
    ),
    ...value.keyHashes.flatMap((hash) => {
      const holder = holders.get(hash);
      holders.set(hash, holder ?? value.name);
      return holder === undefined
        ? []
        : [
            inconsistent(
              placeIn(place, 'key_hashes'),
              `the key hash ${hash.slice(0, 12)}... belongs to ${holder} already; expected one holder of each key`,
            ),
          ];
    }),
  ]);
}

interface Pattern {
  readonly route: Route;
  readonly segments: readonly string[];
}

function ambiguityFaults(routes: readonly Placed<Route>[]): readonly Fault[] {
  // Of routes with unequal numbers of literal segments, one is more specific.
  const groups = new Map<string, Pattern[]>();
  return routes.flatMap(({ value: route, place }) => {
    const segments = pathSegments(route.path);
    const key = `${route.service} ${route.method} ${segments.length} ${countLiterals(segments)}`;
    const group = groups.get(key) ?? [];
    const rivals = group.filter(
      (other) => other.route.name !== route.name && doOverlap(other.segments, segments),
    );
    group.push({ route, segments });
    groups.set(key, group);
    return rivals.map((other) =>
      inconsistent(
        placeIn(place, 'path'),
        `${route.path} and ${other.route.path} of route ${other.route.name} match the same ${route.method} requests of ${route.service} equally; expected one with more literal segments`,
      ),
    );
  });
}

function routeFaults({ routes, backendServers }: Entries, set: SourceSet): readonly Fault[] {
  const services = new Set(
    set.entries.filter(({ section }) => section === 'services').map(({ name }) => name),
  );
  const offered = new Set(backendServers.map(({ value }) => value.service));
  // A backend server with faults of its own may offer any service.
  const areAllRead =
    set.isComplete &&
    backendServers.length ===
      set.entries.filter(({ section }) => section === 'backend_servers').length;
  return routes
    .filter(({ value }) => areAllRead && services.has(value.service) && !offered.has(value.service))
    .map(({ value, place }) =>
      inconsistent(
        placeIn(place, 'service'),
        `service ${value.service} has no backend servers; expected at least one for the route`,
      ),
    );
}

/**
 * Finds parts of a set that disagree with each other.
 *
 * @param set - the joined set
 * @param entries - the entries that are in order
 * @returns the faults
 */
export function consistencyFaults(set: SourceSet, entries: Entries): readonly Fault[] {
  const { seats, services, backendServers, accounts, routes } = entries;
  return [
    ...(seats === null
      ? []
      : repeated(seats.value).map((found) => faultAt('nameDuplicate', seats.place, { found }))),
    ...zoneFaults(entries, set),
    ...services
      .filter(({ value }) => value.name === RESERVED_SERVICE)
      .map(({ place }) =>
        inconsistent(
          place,
          `the path /${RESERVED_SERVICE}/ belongs to the nodes; expected another name`,
        ),
      ),
    ...backendServers.flatMap(backendServerFaults),
    ...accountFaults(accounts),
    ...ambiguityFaults(routes),
    ...routeFaults(entries, set),
  ];
}
