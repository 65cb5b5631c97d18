import type { Fault } from '../errors/fault.js';
import { fromEither } from '../errors/from-either.js';
import type { Account, BackendServer, Route, Service, Zone } from '../model/configuration.js';
import { flagField, type Field } from '../toml/field.js';
import {
  faultAt,
  isTable,
  readFields,
  readTable,
  type Draft,
  type Place,
  type Reading,
} from '../toml/read-table.js';
import {
  accountFields,
  backendServerFields,
  METHODS,
  nameField,
  revisionField,
  routeFields,
  seatsField,
  serviceFields,
  zoneFields,
} from './entry-fields.js';
import type { SourceEntry, SourceSet, SourceValue } from './source-set.js';

/** An entry as far as it could be read, and where it came from. */
export interface Placed<T> {
  readonly name: string;
  readonly draft: Draft<T>;
  readonly place: Place;
}

/** Entries of one kind. */
export interface Read<T> {
  /** Entries that are in order by themselves. */
  readonly values: readonly T[];
  /** All entries, for the comparison of parts. */
  readonly drafts: readonly Placed<T>[];
  readonly faults: readonly Fault[];
}

/** The entries of a set, each read by itself. */
export interface Entries {
  readonly revision: number | null;
  readonly seats: readonly string[] | null;
  readonly zones: Read<Zone>;
  readonly services: Read<Service>;
  readonly backendServers: Read<BackendServer>;
  readonly accounts: Read<Account>;
  readonly routes: Read<Route>;
}

type Reader<T> = (entry: SourceEntry) => Reading<T>;

const readZone: Reader<Zone> = ({ name, value, place }) => {
  const { values, faults } = readFields(zoneFields, value, place);
  return { values: { name, ...values }, faults };
};

const readService: Reader<Service> = ({ name, value, place }) => ({
  values: { name },
  faults: readFields(serviceFields, value, place).faults,
});

const readBackendServer: Reader<BackendServer> = ({ name, value, place }) => {
  const { values, faults } = readFields(backendServerFields, value, place);
  const { cold_capacity: coldCapacity, ...rest } = values;
  return { values: { name, ...rest, coldCapacity }, faults };
};

const readAccount: Reader<Account> = ({ name, value, place }) => {
  const { values, faults } = readFields(accountFields, value, place);
  const { key_hashes: keyHashes, rate_per_second: ratePerSecond, ...rest } = values;
  return { values: { name, ...rest, keyHashes, ratePerSecond }, faults };
};

/** GET and HEAD are safe by RFC 9110; of the other methods only the operators know. */
const UNSAFE_METHODS: readonly unknown[] = METHODS.filter(
  (method) => method !== 'GET' && method !== 'HEAD',
);

const unsafeRouteFields = {
  ...routeFields,
  idempotent: {
    ...flagField(),
    expected: 'true or false, since requests of this method may do harm when they run twice',
  },
};

const readRoute: Reader<Route> = ({ name, value, place }) => {
  const isUnsafe = isTable(value) && UNSAFE_METHODS.includes(value['method']);
  const fields = isUnsafe ? unsafeRouteFields : routeFields;
  const { values, faults } = readFields(fields, value, place);
  const { deadline_ms: deadlineMs, ...rest } = values;
  return { values: { name, ...rest, deadlineMs }, faults };
};

function nameFaults({ name, place }: SourceEntry): readonly Fault[] {
  return fromEither(nameField.decode(name), (expected) =>
    faultAt('valueInvalid', place, { found: name, expected }),
  ).match<readonly Fault[]>(
    () => [],
    (fault) => [fault],
  );
}

/**
 * An entry never changes, so one that stands in several versions of a document is read once. At
 * 17,000 entries this is most of the work of a check.
 */
function remembered<T>(reader: Reader<T>): Reader<T> {
  const known = new WeakMap<SourceEntry, Reading<T>>();
  return (entry) => {
    const earlier = known.get(entry);
    if (earlier !== undefined) {
      return earlier;
    }
    const { values, faults } = reader(entry);
    const reading = { values, faults: [...nameFaults(entry), ...faults] };
    known.set(entry, reading);
    return reading;
  };
}

const readers = {
  zones: remembered(readZone),
  services: remembered(readService),
  backendServers: remembered(readBackendServer),
  accounts: remembered(readAccount),
  routes: remembered(readRoute),
};

function readAll<T>(entries: readonly SourceEntry[], reader: Reader<T>): Read<T> {
  const readings = entries.map(reader);
  return {
    // Without faults no value is missing.
    values: readings.flatMap(({ values, faults }) => (faults.length === 0 ? [values as T] : [])),
    drafts: entries.map(({ name, place }, index) => ({
      name,
      place,
      draft: readings[index]?.values ?? {},
    })),
    faults: readings.flatMap(({ faults }) => faults),
  };
}

interface Single<T> {
  readonly value: T | null;
  readonly faults: readonly Fault[];
}

function readSingle<T>(
  name: string,
  field: Field<T>,
  found: readonly SourceValue[],
  isComplete: boolean,
): Single<T> {
  const [first, ...others] = found;
  if (first === undefined && !isComplete) {
    return { value: null, faults: [] };
  }
  const duplicates = others.map(({ place }) => faultAt('nameDuplicate', place, { found: name }));
  const table = first === undefined ? {} : { [name]: first.value };
  const root = { source: first?.place.source ?? 'set', path: '' };
  return readTable({ [name]: field }, table, root).match<Single<T>>(
    // The table has exactly this field.
    (values) => ({ value: values[name] as T, faults: duplicates }),
    (faults) => ({ value: null, faults: [...faults, ...duplicates] }),
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
 * @returns the entries and all their faults
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
      revision: revision.value,
      seats: seats.value,
      zones,
      services,
      backendServers,
      accounts,
      routes,
    },
    faults: [
      ...[revision, seats, zones, services, backendServers, accounts, routes].flatMap(
        ({ faults }) => faults,
      ),
      ...duplicateFaults(set.entries),
    ],
  };
}
