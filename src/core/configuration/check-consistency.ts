import type { Fault } from '../errors/fault.js';
import type { Account, BackendServer, Route } from '../model/configuration.js';
import { faultAt, placeIn, type Place } from '../toml/read-table.js';
import type { Entries, DraftEntry } from './read-entries.js';
import { countLiterals, hasOverlap, pathSegments } from './route-path.js';
import type { SourceSet } from './source-set.js';

/** Paths below /almondhoist/ are reserved for the nodes, so no service may have this name. */
const RESERVED_SERVICE = 'almondhoist';

function inconsistencyFault(place: Place, reason: string): Fault {
  return faultAt('setInconsistent', place, { reason });
}

function findDuplicates(names: readonly string[]): readonly string[] {
  return [...new Set(names.filter((name, index) => names.indexOf(name) < index))];
}

function checkZones({ zones }: Entries, set: SourceSet): readonly Fault[] {
  const [first] = zones.drafts;
  if (!set.isComplete) {
    return [];
  }
  if (first === undefined) {
    const reason = 'the set defines no availability zone; expected at least one';
    return [inconsistencyFault({ source: 'set', path: 'zones' }, reason)];
  }
  const reason = 'every availability zone has state out; expected at least one with state in';
  return zones.drafts.every(({ draft }) => draft.state === 'out')
    ? [inconsistencyFault(placeIn(first.place, 'state'), reason)]
    : [];
}

function checkBackendServer({ draft, place }: DraftEntry<BackendServer>): readonly Fault[] {
  const { slots, connections, coldCapacity } = draft;
  const faults: (Fault | null)[] = [
    slots !== undefined && coldCapacity !== undefined && coldCapacity > slots
      ? inconsistencyFault(
          placeIn(place, 'cold_capacity'),
          `cold_capacity ${coldCapacity} exceeds slots ${slots}; expected at most the number of slots`,
        )
      : null,
    // Each call in progress occupies one HTTP/1.1 connection.
    slots !== undefined && connections !== undefined && connections < slots
      ? inconsistencyFault(
          placeIn(place, 'connections'),
          `connections ${connections} is less than slots ${slots}; expected at least the number of slots`,
        )
      : null,
  ];
  return faults.filter((fault) => fault !== null);
}

function checkAccounts(accounts: readonly DraftEntry<Account>[]): readonly Fault[] {
  const accountByHash = new Map<string, string>();
  return accounts.flatMap(({ name, draft, place }) => [
    ...findDuplicates(draft.services ?? []).map((found) =>
      faultAt('nameDuplicate', placeIn(place, 'services'), { found }),
    ),
    ...(draft.keyHashes ?? []).flatMap((hash) => {
      const firstAccount = accountByHash.get(hash);
      accountByHash.set(hash, firstAccount ?? name);
      return firstAccount === undefined
        ? []
        : [
            inconsistencyFault(
              placeIn(place, 'key_hashes'),
              `the key hash ${hash.slice(0, 12)}... is already listed for account ${firstAccount}; expected each key in one account`,
            ),
          ];
    }),
  ]);
}

interface RoutePattern {
  readonly name: string;
  readonly path: string;
  readonly segments: readonly string[];
}

function checkRouteAmbiguity(routes: readonly DraftEntry<Route>[]): readonly Fault[] {
  // Routes are ambiguous only when they have the same number of literal segments; otherwise the
  // one with more of them takes precedence.
  const groups = new Map<string, RoutePattern[]>();
  return routes.flatMap(({ name, draft, place }) => {
    const { service, method, path } = draft;
    if (service === undefined || method === undefined || path === undefined) {
      return [];
    }
    const segments = pathSegments(path);
    const key = `${service} ${method} ${segments.length} ${countLiterals(segments)}`;
    const group = groups.get(key) ?? [];
    const ambiguous = group.filter(
      (other) => other.name !== name && hasOverlap(other.segments, segments),
    );
    group.push({ name, path, segments });
    groups.set(key, group);
    return ambiguous.map((other) =>
      inconsistencyFault(
        placeIn(place, 'path'),
        `${path} and ${other.path} of route ${other.name} match the same ${method} requests of ${service} with equal precedence; expected one of them to have more literal segments`,
      ),
    );
  });
}

function checkRoutes(entries: Entries, set: SourceSet): readonly Fault[] {
  const services = new Set(entries.services.drafts.map(({ name }) => name));
  const offeredServices = new Set(entries.backendServers.drafts.map(({ draft }) => draft.service));
  // A backend server whose field `service` could not be read may offer any service.
  const isOfferedComplete = set.isComplete && !offeredServices.has(undefined);
  return entries.routes.drafts.flatMap(({ draft, place }) =>
    isOfferedComplete &&
    draft.service !== undefined &&
    services.has(draft.service) &&
    !offeredServices.has(draft.service)
      ? [
          inconsistencyFault(
            placeIn(place, 'service'),
            `service ${draft.service} has no backend servers; expected at least one for the route`,
          ),
        ]
      : [],
  );
}

function checkSeats({ seats }: Entries, set: SourceSet): readonly Fault[] {
  const place = { source: set.seats[0]?.place.source ?? '', path: 'seats' };
  return findDuplicates(seats ?? []).map((found) => faultAt('nameDuplicate', place, { found }));
}

/**
 * Finds contradictions within and between the entries of a set, such as a key in two accounts.
 *
 * @param set - the set as parsed
 * @param entries - the entries read from the set
 * @returns the faults found
 */
export function checkConsistency(set: SourceSet, entries: Entries): readonly Fault[] {
  const { services, backendServers, accounts, routes } = entries;
  const reason = `the path /${RESERVED_SERVICE}/ is reserved for the nodes; expected another name`;
  return [
    ...checkSeats(entries, set),
    ...checkZones(entries, set),
    ...services.drafts
      .filter(({ name }) => name === RESERVED_SERVICE)
      .map(({ place }) => inconsistencyFault(place, reason)),
    ...backendServers.drafts.flatMap(checkBackendServer),
    ...checkAccounts(accounts.drafts),
    ...checkRouteAmbiguity(routes.drafts),
    ...checkRoutes(entries, set),
  ];
}
