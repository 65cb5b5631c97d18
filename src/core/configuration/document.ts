import type { Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import type { Configuration } from '../model/configuration.js';
import { documentDigest } from '../model/document-digest.js';
import type { Document } from '../model/document.js';
import { faultAt } from '../toml/read-table.js';
import { canonicalJson, parseJson } from './canonical-json.js';
import { checkSet } from './check-set.js';
import { SECTIONS, type SourceEntry, type SourceSet } from './source-set.js';

/** Name of the published document in faults. */
const SOURCE = 'document';
const SEATS_KEY = 'seats';

type NamedEntry = readonly [key: string, fields: Readonly<Record<string, unknown>>];

// Entries carry the field names of the files, so that one check serves both.
function namedEntries(configuration: Configuration): readonly NamedEntry[] {
  return [
    ...configuration.zones.map(({ name, ...fields }): NamedEntry => [`zones/${name}`, fields]),
    ...configuration.services.map(({ name }): NamedEntry => [`services/${name}`, {}]),
    ...configuration.backendServers.map(({ name, coldCapacity, ...fields }): NamedEntry => [
      `backend_servers/${name}`,
      { ...fields, cold_capacity: coldCapacity },
    ]),
    ...configuration.accounts.map(({ name, keyHashes, ratePerSecond, ...fields }): NamedEntry => [
      `accounts/${name}`,
      { ...fields, key_hashes: keyHashes, rate_per_second: ratePerSecond },
    ]),
    ...configuration.routes.map(({ name, deadlineMs, ...fields }): NamedEntry => [
      `routes/${name}`,
      { ...fields, deadline_ms: deadlineMs },
    ]),
  ];
}

/**
 * Turns a configuration into the document that nodes spread. The revision becomes the version and
 * is no entry, so that documents with equal content have equal digests.
 *
 * @param configuration - a checked configuration
 * @returns the document with one entry an object
 */
export function toDocument(configuration: Configuration): Document {
  const entries = new Map([
    [SEATS_KEY, canonicalJson(configuration.seats)],
    ...namedEntries(configuration).map(([key, fields]) => [key, canonicalJson(fields)] as const),
  ]);
  return {
    topic: 'configuration',
    version: configuration.revision,
    digest: documentDigest(entries),
    entries,
  };
}

interface Opened {
  readonly entries: readonly SourceEntry[];
  readonly faults: readonly Fault[];
}

function openEntry([key, text]: readonly [string, string]): Opened {
  const [first = '', ...rest] = key.split('/');
  const name = rest.join('/');
  const section = SECTIONS.find((candidate) => candidate === first);
  const place = { source: SOURCE, path: key };
  if (section === undefined || name === '') {
    const expected = [SEATS_KEY, ...SECTIONS.map((item) => `${item}/NAME`)].join(', ');
    return { entries: [], faults: [faultAt('fieldUnknown', place, { expected })] };
  }
  return { entries: [{ section, name, place, value: parseJson(text) }], faults: [] };
}

/**
 * Checks a document as strictly as a file set and turns it into a configuration.
 *
 * @param document - a document from the service or a peer
 * @returns the configuration, or all faults at once
 */
export function fromDocument(document: Document): Result<Configuration, readonly Fault[]> {
  const seats = document.entries.get(SEATS_KEY);
  const opened = [...document.entries].filter(([key]) => key !== SEATS_KEY).map(openEntry);
  const set: SourceSet = {
    revisions: [{ place: { source: SOURCE, path: 'revision' }, value: document.version }],
    seats:
      seats === undefined
        ? []
        : [{ place: { source: SOURCE, path: SEATS_KEY }, value: parseJson(seats) }],
    entries: opened.flatMap(({ entries }) => entries),
    isComplete: true,
  };
  const digest = documentDigest(document.entries);
  return checkSet(set, [
    ...opened.flatMap(({ faults }) => faults),
    ...(document.topic === 'configuration'
      ? []
      : [
          faultAt(
            'valueInvalid',
            { source: SOURCE, path: 'topic' },
            { found: document.topic, expected: 'configuration' },
          ),
        ]),
    ...(digest === document.digest
      ? []
      : [
          faultAt(
            'valueInvalid',
            { source: SOURCE, path: 'digest' },
            { found: document.digest, expected: `${digest}, the digest of the entries` },
          ),
        ]),
  ]);
}
