import type { Fault } from '../errors/fault.js';
import { faultAt, placeIn, type Place } from '../toml/read-table.js';
import type { Entries } from './read-entries.js';
import type { Section, SourceSet } from './source-set.js';

interface Reference {
  readonly section: Section;
  readonly name: string;
  readonly place: Place;
}

const EXPECTED: Readonly<Record<Section, string>> = {
  zones: 'an availability zone',
  services: 'a service',
  backend_servers: 'a backend server',
  accounts: 'a client account',
  routes: 'a route',
};

function references(entries: Entries): readonly Reference[] {
  const { seats, backendServers, accounts, routes } = entries;
  return [
    ...(seats?.value ?? []).map((name) => ({
      section: 'backend_servers' as const,
      name,
      place: seats?.place ?? { source: 'set', path: 'seats' },
    })),
    ...backendServers.flatMap(({ value, place }) => [
      { section: 'zones' as const, name: value.zone, place: placeIn(place, 'zone') },
      { section: 'services' as const, name: value.service, place: placeIn(place, 'service') },
    ]),
    ...accounts.flatMap(({ value, place }) =>
      value.services.map((name) => ({
        section: 'services' as const,
        name,
        place: placeIn(place, 'services'),
      })),
    ),
    ...routes.map(({ value, place }) => ({
      section: 'services' as const,
      name: value.service,
      place: placeIn(place, 'service'),
    })),
  ];
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
  const defined = new Set(set.entries.map(({ section, name }) => `${section}/${name}`));
  return references(entries)
    .filter(({ section, name }) => !defined.has(`${section}/${name}`))
    .map(({ section, name, place }) =>
      faultAt('referenceUnknown', place, { found: name, expected: EXPECTED[section] }),
    );
}
