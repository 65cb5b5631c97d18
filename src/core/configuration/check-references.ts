import type { Fault } from '../errors/fault.js';
import { faultAt, placeIn, type Place } from '../toml/read-table.js';
import type { Entries } from './read-entries.js';
import type { Section, SourceSet } from './source-set.js';

type NamesBySection = Readonly<Record<Section, ReadonlySet<string>>>;

const EXPECTED_REFERENCES: Readonly<Record<Section, string>> = {
  zones: 'an availability zone',
  services: 'a service',
  backend_servers: 'a backend server',
  accounts: 'a client account',
  routes: 'a route',
};

function collectNames({ entries }: SourceSet): NamesBySection {
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
 * Finds references to names that the set does not define. An entry with faults of its own counts
 * as defined, so that its faults are not reported again at each reference.
 *
 * @param set - the set as parsed
 * @param entries - the entries read from the set
 * @returns the faults found
 */
export function checkReferences(set: SourceSet, entries: Entries): readonly Fault[] {
  const defined = collectNames(set);
  const findUnknown = (
    section: Section,
    names: readonly (string | undefined)[],
    place: Place,
    field: string,
  ): readonly Fault[] =>
    names
      .filter((name) => name !== undefined)
      .filter((name) => !defined[section].has(name))
      .map((found) =>
        faultAt('referenceUnknown', placeIn(place, field), {
          found,
          expected: EXPECTED_REFERENCES[section],
        }),
      );
  const { seats, backendServers, accounts, routes } = entries;
  const root = { source: set.seats[0]?.place.source ?? '', path: '' };
  return [
    ...findUnknown('backend_servers', seats ?? [], root, 'seats'),
    ...backendServers.drafts.flatMap(({ draft, place }) => [
      ...findUnknown('zones', [draft.zone], place, 'zone'),
      ...findUnknown('services', [draft.service], place, 'service'),
    ]),
    ...accounts.drafts.flatMap(({ draft, place }) =>
      findUnknown('services', draft.services ?? [], place, 'services'),
    ),
    ...routes.drafts.flatMap(({ draft, place }) =>
      findUnknown('services', [draft.service], place, 'service'),
    ),
  ];
}
