import type { Fault } from '../errors/fault.js';
import { faultAt, placeIn, type Place } from '../toml/read-table.js';
import type { Entries } from './read-entries.js';
import type { Section, SourceSet } from './source-set.js';

type Names = Readonly<Record<Section, ReadonlySet<string>>>;

const EXPECTED: Readonly<Record<Section, string>> = {
  zones: 'an availability zone',
  services: 'a service',
  backend_servers: 'a backend server',
  accounts: 'a client account',
  routes: 'a route',
};

function definedNames({ entries }: SourceSet): Names {
  const names = {
    zones: new Set<string>(),
    services: new Set<string>(),
    backend_servers: new Set<string>(),
    accounts: new Set<string>(),
    routes: new Set<string>(),
  };
  entries.forEach(({ section, name }) => names[section].add(name));
  return names;
}

/**
 * Finds references to names that the set does not define. A name whose entry has faults of its
 * own counts as defined, so that one fault is reported once.
 *
 * @param set - the joined set
 * @param entries - the entries that are in order
 * @returns the faults
 */
export function referenceFaults(set: SourceSet, entries: Entries): readonly Fault[] {
  const defined = definedNames(set);
  const unknown = (
    section: Section,
    names: readonly string[],
    place: Place,
    field: string,
  ): readonly Fault[] =>
    names
      .filter((name) => !defined[section].has(name))
      .map((found) =>
        faultAt('referenceUnknown', placeIn(place, field), { found, expected: EXPECTED[section] }),
      );
  const { seats, backendServers, accounts, routes } = entries;
  const root = { source: seats?.place.source ?? '', path: '' };
  return [
    ...unknown('backend_servers', seats?.value ?? [], root, 'seats'),
    ...backendServers.flatMap(({ value, place }) => [
      ...unknown('zones', [value.zone], place, 'zone'),
      ...unknown('services', [value.service], place, 'service'),
    ]),
    ...accounts.flatMap(({ value, place }) =>
      unknown('services', value.services, place, 'services'),
    ),
    ...routes.flatMap(({ value, place }) => unknown('services', [value.service], place, 'service')),
  ];
}
