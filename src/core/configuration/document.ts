import type { Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import type { Configuration } from '../model/configuration.js';
import { documentDigest } from '../model/document-digest.js';
import type { Document } from '../model/document.js';
import { faultAt } from '../toml/read-table.js';
import { canonicalJson, parseJson } from './canonical-json.js';
import { checkSet } from './check-set.js';
import { SECTIONS, type SourceEntry, type SourceSet } from './source-set.js';

/** Source name of the published document in faults. */
const SOURCE = 'document';
const SEATS_KEY = 'seats';

type KeyedEntry = readonly [key: string, fields: Readonly<Record<string, unknown>>];

// Entries have the field names of the files, so that the same checks apply to both.
function toKeyedEntries(configuration: Configuration): readonly KeyedEntry[] {
  return [
    ...configuration.zones.map(({ name, ...fields }): KeyedEntry => [`zones/${name}`, fields]),
    ...configuration.services.map(({ name }): KeyedEntry => [`services/${name}`, {}]),
    ...configuration.backendServers.map(({ name, coldCapacity, ...fields }): KeyedEntry => [
      `backend_servers/${name}`,
      { ...fields, cold_capacity: coldCapacity },
    ]),
    ...configuration.accounts.map(({ name, keyHashes, ratePerSecond, ...fields }): KeyedEntry => [
      `accounts/${name}`,
      { ...fields, key_hashes: keyHashes, rate_per_second: ratePerSecond },
    ]),
    ...configuration.routes.map(({ name, deadlineMs, ...fields }): KeyedEntry => [
      `routes/${name}`,
      { ...fields, deadline_ms: deadlineMs },
    ]),
  ];
}

/**
 * Converts a configuration to the document that is distributed to the nodes. The revision becomes
 * the version and is not an entry, so that documents with equal content have equal digests.
 *
 * @param configuration - a checked configuration
 * @returns the document, with one entry for the seats and one per named object
 */
export function toDocument(configuration: Configuration): Document {
  const entries = new Map([
    [SEATS_KEY, canonicalJson(configuration.seats)],
    ...toKeyedEntries(configuration).map(([key, fields]) => [key, canonicalJson(fields)] as const),
  ]);
  return {
    topic: 'configuration',
    version: configuration.revision,
    digest: documentDigest(entries),
    entries,
  };
}

interface ParsedEntry {
  readonly text: string;
  readonly entries: readonly SourceEntry[];
  readonly faults: readonly Fault[];
}

function parseEntry(key: string, text: string): ParsedEntry {
  const [first = '', ...rest] = key.split('/');
  const name = rest.join('/');
  const section = SECTIONS.find((candidate) => candidate === first);
  const place = { source: SOURCE, path: key };
  if (section === undefined || name === '') {
    const expected = [SEATS_KEY, ...SECTIONS.map((item) => `${item}/NAME`)].join(', ');
    return { text, entries: [], faults: [faultAt('fieldUnknown', place, { expected })] };
  }
  return { text, entries: [{ section, name, place, value: parseJson(text) }], faults: [] };
}

function checkHead(document: Document): readonly Fault[] {
  const digest = documentDigest(document.entries);
  const fault = (path: string, found: string, expected: string) =>
    faultAt('valueInvalid', { source: SOURCE, path }, { found, expected });
  return [
    ...(document.topic === 'configuration'
      ? []
      : [fault('topic', document.topic, 'configuration')]),
    ...(digest === document.digest
      ? []
      : [fault('digest', document.digest, `${digest}, the digest of the entries`)]),
  ];
}

/**
 * Reads successive versions of the configuration document. Every version is checked as a whole;
 * entries that are unchanged since the previous version are not parsed again.
 */
export class DocumentReader {
  #parsedEntries: ReadonlyMap<string, ParsedEntry> = new Map();

  /**
   * Checks a document as strictly as a file set and converts it to a configuration.
   *
   * @param document - a document from the configuration service or a peer
   * @returns the configuration, or all faults found
   */
  read(document: Document): Result<Configuration, readonly Fault[]> {
    const seats = document.entries.get(SEATS_KEY);
    const parsedEntries = new Map<string, ParsedEntry>();
    document.entries.forEach((text, key) => {
      if (key !== SEATS_KEY) {
        const previous = this.#parsedEntries.get(key);
        parsedEntries.set(key, previous?.text === text ? previous : parseEntry(key, text));
      }
    });
    this.#parsedEntries = parsedEntries;
    const currentEntries = [...parsedEntries.values()];
    const set: SourceSet = {
      revisions: [{ place: { source: SOURCE, path: 'revision' }, value: document.version }],
      seats:
        seats === undefined
          ? []
          : [{ place: { source: SOURCE, path: SEATS_KEY }, value: parseJson(seats) }],
      entries: currentEntries.flatMap(({ entries }) => entries),
      isComplete: true,
    };
    return checkSet(set, [
      ...currentEntries.flatMap(({ faults }) => faults),
      ...checkHead(document),
    ]);
  }
}

/**
 * Checks one document as strictly as a file set and converts it to a configuration.
 *
 * @param document - a document from the configuration service or a peer
 * @returns the configuration, or all faults found
 */
export function fromDocument(document: Document): Result<Configuration, readonly Fault[]> {
  return new DocumentReader().read(document);
}
