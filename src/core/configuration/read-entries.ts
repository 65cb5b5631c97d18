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

/** The fields of an entry that could be read, and the place of the entry. */
export interface DraftEntry<T> {
  readonly name: string;
  readonly draft: Draft<T>;
  readonly place: Place;
}

/** Entries of one section. */
export interface SectionEntries<T> {
  /** Entries without faults of their own. */
  readonly values: readonly T[];
  /** All entries, also partly readable ones, for the checks of entries against each other. */
  readonly drafts: readonly DraftEntry<T>[];
  readonly faults: readonly Fault[];
}

/** The entries of a set, each read independently of the others. */
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

/** GET and HEAD are safe by RFC 9110; operators state the idempotence of other methods. */
const UNSAFE_METHODS: readonly unknown[] = METHODS.filter(
  (method) => method !== 'GET' && method !== 'HEAD',
);

const unsafeRouteFields = {
  ...routeFields,
  idempotent: {
    ...booleanField(),
    expected: 'true or false, because requests of this method may be unsafe to run twice',
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
 * Caches the outcome for each entry. Entries are immutable, so one that is part of several versions
 * of a document is read once; at 17,000 entries, reading is most of the work of a check.
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
    // An entry without faults has all its values.
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
 * Reads and checks each entry of a set independently of the others.
 *
 * @param set - the set as parsed
 * @returns the entries and all faults found in them
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
