import { err, ok, type Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import type { Account, BackendServer, Route, Service, Zone } from '../model/configuration.js';
import type { Field } from '../toml/field.js';
import { faultAt, placeIn, readTable, type Place } from '../toml/read-table.js';
import {
  accountFields,
  backendServerFields,
  nameField,
  revisionField,
  routeFields,
  seatsField,
  serviceFields,
  zoneFields,
} from './entry-fields.js';
import type { SourceEntry, SourceSet, SourceValue } from './source-set.js';

/** A checked value and where it came from. */
export interface Placed<T> {
  readonly value: T;
  readonly place: Place;
}

/** Entries whose own fields are in order; the parts have not been compared yet. */
export interface Entries {
  readonly revision: Placed<number> | null;
  readonly seats: Placed<readonly string[]> | null;
  readonly zones: readonly Placed<Zone>[];
  readonly services: readonly Placed<Service>[];
  readonly backendServers: readonly Placed<BackendServer>[];
  readonly accounts: readonly Placed<Account>[];
  readonly routes: readonly Placed<Route>[];
}

interface Read<T> {
  readonly values: readonly Placed<T>[];
  readonly faults: readonly Fault[];
}

type Reader<T> = (entry: SourceEntry) => Result<T, readonly Fault[]>;

const readZone: Reader<Zone> = ({ name, value, place }) =>
  readTable(zoneFields, value, place).map((fields) => ({ name, ...fields }));

const readService: Reader<Service> = ({ name, value, place }) =>
  readTable(serviceFields, value, place).map(() => ({ name }));

const readBackendServer: Reader<BackendServer> = ({ name, value, place }) =>
  readTable(backendServerFields, value, place).map(({ cold_capacity: coldCapacity, ...rest }) => ({
    name,
    ...rest,
    coldCapacity,
  }));

const readAccount: Reader<Account> = ({ name, value, place }) =>
  readTable(accountFields, value, place).map((fields) => ({
    name,
    keyHashes: fields.key_hashes,
    ratePerSecond: fields.rate_per_second,
    burst: fields.burst,
    weight: fields.weight,
    services: fields.services,
  }));

const readRoute: Reader<Route> = ({ name, value, place }) =>
  readTable(routeFields, value, place).andThen<Route, readonly Fault[]>(
    ({ deadline_ms: deadlineMs, idempotent, ...rest }) => {
      // GET and HEAD are safe by RFC 9110; of other methods only the operators know.
      const isSafe = rest.method === 'GET' || rest.method === 'HEAD';
      if (idempotent === null && !isSafe) {
        const expected = `true or false, since ${rest.method} requests may do harm when run twice`;
        return err([faultAt('fieldMissing', placeIn(place, 'idempotent'), { expected })]);
      }
      return ok({ name, ...rest, idempotent: idempotent ?? true, deadlineMs });
    },
  );

function nameFaults({ name, place }: SourceEntry): readonly Fault[] {
  return nameField.decode(name).caseOf<readonly Fault[]>({
    Left: () => [faultAt('valueInvalid', place, { found: name, expected: nameField.expected })],
    Right: () => [],
  });
}

/**
 * An entry never changes, so one that stands in several versions of a document is read once. At
 * 17,000 entries this is most of the work of a check.
 */
function remembered<T>(reader: Reader<T>): (entry: SourceEntry) => Read<T> {
  const known = new WeakMap<SourceEntry, Read<T>>();
  return (entry) => {
    const read =
      known.get(entry) ??
      reader(entry).match<Read<T>>(
        (value) => ({ values: [{ value, place: entry.place }], faults: nameFaults(entry) }),
        (faults) => ({ values: [], faults: [...nameFaults(entry), ...faults] }),
      );
    known.set(entry, read);
    return read;
  };
}

const readers = {
  zones: remembered(readZone),
  services: remembered(readService),
  backendServers: remembered(readBackendServer),
  accounts: remembered(readAccount),
  routes: remembered(readRoute),
};

function readAll<T>(
  entries: readonly SourceEntry[],
  reader: (entry: SourceEntry) => Read<T>,
): Read<T> {
  const results = entries.map(reader);
  return {
    values: results.flatMap(({ values }) => values),
    faults: results.flatMap(({ faults }) => faults),
  };
}

function readSingle<T>(
  name: string,
  field: Field<T>,
  found: readonly SourceValue[],
  isComplete: boolean,
): Read<T> {
  const [first, ...others] = found;
  if (first === undefined && !isComplete) {
    return { values: [], faults: [] };
  }
  const root = { source: 'set', path: '' };
  const table = first === undefined ? {} : { [name]: first.value };
  const duplicates = others.map(({ place }) => faultAt('nameDuplicate', place, { found: name }));
  const place = first?.place ?? placeIn(root, name);
  return readTable({ [name]: field }, table, { source: place.source, path: '' }).match<Read<T>>(
    // The table has exactly this field.
    (values) => ({ values: [{ value: values[name] as T, place }], faults: duplicates }),
    (faults) => ({ values: [], faults: [...faults, ...duplicates] }),
  );
}

function duplicateFaults(entries: readonly SourceEntry[]): readonly Fault[] {
  const seen = new Map<string, SourceEntry>();
  return entries.flatMap((entry) => {
    const key = `${entry.section}/${entry.name}`;
    const earlier = seen.get(key);
    seen.set(key, earlier ?? entry);
    return earlier === undefined
      ? []
      : [
          faultAt('nameDuplicate', entry.place, {
            found: `${key} (also in ${earlier.place.source})`,
          }),
        ];
  });
}

/**
 * Checks every entry of a set by itself.
 *
 * @param set - the joined set
 * @returns the entries that are in order, and all faults of the others
 */
export function readEntries(set: SourceSet): {
  readonly entries: Entries;
  readonly faults: readonly Fault[];
} {
  const inSection = (section: SourceEntry['section']) =>
    set.entries.filter((entry) => entry.section === section);
  const revision = readSingle('revision', revisionField, set.revisions, set.isComplete);
  const seats = readSingle('seats', seatsField, set.seats, set.isComplete);
  const zones = readAll(inSection('zones'), readers.zones);
  const services = readAll(inSection('services'), readers.services);
  const backendServers = readAll(inSection('backend_servers'), readers.backendServers);
  const accounts = readAll(inSection('accounts'), readers.accounts);
  const routes = readAll(inSection('routes'), readers.routes);
  return {
    entries: {
      revision: revision.values[0] ?? null,
      seats: seats.values[0] ?? null,
      zones: zones.values,
      services: services.values,
      backendServers: backendServers.values,
      accounts: accounts.values,
      routes: routes.values,
    },
    faults: [
      ...[revision, seats, zones, services, backendServers, accounts, routes].flatMap(
        ({ faults }) => faults,
      ),
      ...duplicateFaults(set.entries),
    ],
  };
}
