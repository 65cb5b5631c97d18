import type { Fault } from '../errors/fault.js';
import { fromEither } from '../errors/from-either.js';
import type { Account, BackendServer, Route, Service, Zone } from '../model/configuration.js';
import { booleanField, type Field } from '../toml/field.js';
import {
  faultAt,
  isTable,
  readFields,
  readTable,
  type Draft,
  type Place,
  type ReadOutcome,
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
export interface DraftEntry<T> {
  readonly name: string;
  readonly draft: Draft<T>;
  readonly place: Place;
}

/** Entries of one kind. */
export interface SectionEntries<T> {
  /** Entries that are in order by themselves. */
  readonly values: readonly T[];
  /** All entries, for the comparison of parts. */
  readonly drafts: readonly DraftEntry<T>[];
  readonly faults: readonly Fault[];
}

/** The entries of a set, each read by itself. */
export interface Entries {
  readonly revision: number | null;
  readonly seats: readonly string[] | null;
  readonly zones: SectionEntries<Zone>;
  readonly services: SectionEntries<Service>;
  readonly backendServers: SectionEntries<BackendServer>;
  readonly accounts: SectionEntries<Account>;
  readonly routes: SectionEntries<Route>;
}

type EntryReader<T> = (entry: SourceEntry) => ReadOutcome<T>;

const readZone: EntryReader<Zone> = ({ name, value, place }) => {
  const { values, faults } = readFields(zoneFields, value, place);
  return { values: { name, ...values }, faults };
};

const readService: EntryReader<Service> = ({ name, value, place }) => ({
  values: { name },
  faults: readFields(serviceFields, value, place).faults,
});

const readBackendServer: EntryReader<BackendServer> = ({ name, value, place }) => {
  const { values, faults } = readFields(backendServerFields, value, place);
  const { cold_capacity: coldCapacity, ...rest } = values;
  return { values: { name, ...rest, coldCapacity }, faults };
};

const readAccount: EntryReader<Account> = ({ name, value, place }) => {
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
    ...booleanField(),
    expected: 'true or false, since requests of this method may do harm when they run twice',
  },
};

const readRoute: EntryReader<Route> = ({ name, value, place }) => {
  const isUnsafe = isTable(value) && UNSAFE_METHODS.includes(value['method']);
  const fields = isUnsafe ? unsafeRouteFields : routeFields;
  const { values, faults } = readFields(fields, value, place);
  const { deadline_ms: deadlineMs, ...rest } = values;
  return { values: { name, ...rest, deadlineMs }, faults };
};

function checkName({ name, place }: SourceEntry): readonly Fault[] {
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
function memoizeReader<T>(reader: EntryReader<T>): EntryReader<T> {
  const cache = new WeakMap<SourceEntry, ReadOutcome<T>>();
  return (entry) => {
    const cached = cache.get(entry);
    if (cached !== undefined) {
      return cached;
    }
    const { values, faults } = reader(entry);
    const outcome = { values, faults: [...checkName(entry), ...faults] };
    cache.set(entry, outcome);
    return outcome;
  };
}

const readers = {
  zones: memoizeReader(readZone),
  services: memoizeReader(readService),
  backendServers: memoizeReader(readBackendServer),
  accounts: memoizeReader(readAccount),
  routes: memoizeReader(readRoute),
};

function readAll<T>(entries: readonly SourceEntry[], reader: EntryReader<T>): SectionEntries<T> {
  const outcomes = entries.map(reader);
  return {
    // Without faults no value is missing.
    values: outcomes.flatMap(({ values, faults }) => (faults.length === 0 ? [values as T] : [])),
    drafts: entries.map(({ name, place }, index) => ({
      name,
      place,
      draft: outcomes[index]?.values ?? {},
    })),
    faults: outcomes.flatMap(({ faults }) => faults),
  };
}

interface SingleValue<T> {
  readonly value: T | null;
  readonly faults: readonly Fault[];
}

function readSingle<T>(
  name: string,
  field: Field<T>,
  found: readonly SourceValue[],
  isComplete: boolean,
): SingleValue<T> {
  const [first, ...others] = found;
  if (first === undefined && !isComplete) {
    return { value: null, faults: [] };
  }
  const duplicates = others.map(({ place }) => faultAt('nameDuplicate', place, { found: name }));
  const table = first === undefined ? {} : { [name]: first.value };
  const root = { source: first?.place.source ?? 'set', path: '' };
  return readTable({ [name]: field }, table, root).match<SingleValue<T>>(
    // The table has exactly this field.
    (values) => ({ value: values[name] as T, faults: duplicates }),
    (faults) => ({ value: null, faults: [...faults, ...duplicates] }),
  );
}

function checkDuplicates(entries: readonly SourceEntry[]): readonly Fault[] {
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
      ...checkDuplicates(set.entries),
    ],
  };
}
