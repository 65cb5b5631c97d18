import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import { documentDigest } from '../model/document-digest.js';
import type { Document } from '../model/document.js';
import { describeValue, faultAt, isTable, type Place } from '../toml/read-table.js';
import { canonicalJson, parseJson } from './canonical-json.js';
import { MAX_PART_BYTES, readManifest, type Manifest, type PartHead } from './manifest.js';
import { textDigest } from './text-digest.js';

/**
 * Mean number of entries between part boundaries. A boundary depends on the hash of the key alone, so
 * that a changed entry changes one part and the others keep their digests.
 */
const MEAN_ENTRIES_PER_PART = 2048;

const PART_START = '{"entries":{';
const PART_END = '}}';
const PART_FRAME_BYTES = PART_START.length + PART_END.length;

/** Source name of the published document in faults. */
const SOURCE = 'bundle';

/** A document split into the values that the configuration service stores. */
export interface Bundle {
  readonly manifest: Manifest;
  readonly manifestText: string;
  /** Text of each part, keyed by its digest. */
  readonly parts: ReadonlyMap<string, string>;
}

function bundlePlace(path: string): Place {
  return { source: SOURCE, path };
}

function isPartBoundary(key: string): boolean {
  return createHash('sha256').update(key).digest().readUInt32BE(0) % MEAN_ENTRIES_PER_PART === 0;
}

function formatMember([key, text]: readonly [string, string]): string {
  return `${JSON.stringify(key)}:${text}`;
}

function packParts(entries: readonly (readonly [string, string])[]): readonly string[] {
  const groups: string[][] = [[]];
  let bytes = PART_FRAME_BYTES;
  entries.forEach((entry) => {
    const member = formatMember(entry);
    // The extra byte is the comma between members.
    const memberBytes = Buffer.byteLength(member) + 1;
    if (bytes + memberBytes > MAX_PART_BYTES) {
      groups.push([]);
      bytes = PART_FRAME_BYTES;
    }
    groups.at(-1)?.push(member);
    bytes += memberBytes;
    if (isPartBoundary(entry[0])) {
      groups.push([]);
      bytes = PART_FRAME_BYTES;
    }
  });
  return groups
    .filter((members) => members.length > 0)
    .map((members) => `${PART_START}${members.join(',')}${PART_END}`);
}

function checkEntry(entry: readonly [string, string]): readonly Fault[] {
  const [key, text] = entry;
  const bytes = Buffer.byteLength(formatMember(entry)) + 1 + PART_FRAME_BYTES;
  return [
    ...(bytes > MAX_PART_BYTES
      ? [faultAt('valueTooLarge', bundlePlace(key), { found: bytes, expected: MAX_PART_BYTES })]
      : []),
    ...(canonicalJson(parseJson(text)) === text
      ? []
      : [
          faultAt('valueInvalid', bundlePlace(key), {
            found: 'text in another form',
            expected: 'JSON with sorted keys and without spaces',
          }),
        ]),
  ];
}

/**
 * Splits a document into a manifest and parts within the size limit of the configuration service.
 *
 * @param document - the document
 * @returns the manifest and the parts, or all faults found
 */
export function bundleDocument(document: Document): Result<Bundle, readonly Fault[]> {
  const { topic, version, digest } = document;
  const entries = [...document.entries].sort(([left], [right]) => (left < right ? -1 : 1));
  const faults = entries.flatMap(checkEntry);
  if (faults.length > 0) {
    return err(faults);
  }
  const parts = new Map(packParts(entries).map((text) => [textDigest(text), text] as const));
  const heads = [...parts].map(([partDigest, text]): PartHead => ({
    digest: partDigest,
    bytes: Buffer.byteLength(text),
  }));
  const manifest: Manifest = { topic, version, digest, parts: heads };
  const manifestText = canonicalJson(manifest);
  const bytes = Buffer.byteLength(manifestText);
  return bytes > MAX_PART_BYTES
    ? err([
        faultAt('valueTooLarge', bundlePlace('manifest'), {
          found: bytes,
          expected: MAX_PART_BYTES,
        }),
      ])
    : ok({ manifest, manifestText, parts });
}

type Members = readonly (readonly [string, unknown])[];

function readPart(head: PartHead, text: string | undefined): Result<Members, Fault> {
  const place = bundlePlace(`parts/${head.digest}`);
  if (text === undefined) {
    return err(faultAt('fieldMissing', place, { expected: `a part of ${head.bytes} bytes` }));
  }
  const found = textDigest(text);
  if (found !== head.digest || Buffer.byteLength(text) !== head.bytes) {
    const reason = `the part has digest ${found} and ${Buffer.byteLength(text)} bytes; expected digest ${head.digest} and ${head.bytes} bytes`;
    return err(faultAt('setInconsistent', place, { reason }));
  }
  const content = parseJson(text);
  return isTable(content) && isTable(content['entries'])
    ? ok(Object.entries(content['entries']))
    : err(
        faultAt('valueInvalid', place, {
          found: describeValue(content),
          expected: 'an object with entries',
        }),
      );
}

function joinParts(
  manifest: Manifest,
  parts: ReadonlyMap<string, string>,
): Result<Document, readonly Fault[]> {
  const partResults = manifest.parts.map((head) => readPart(head, parts.get(head.digest)));
  const members = partResults.flatMap((part) => part.unwrapOr([]));
  const entries = new Map(members.map(([key, value]) => [key, canonicalJson(value)] as const));
  const digest = documentDigest(entries);
  const partFaults = partResults.flatMap((part) => (part.isErr() ? [part.error] : []));
  if (partFaults.length > 0) {
    return err(partFaults);
  }
  if (entries.size !== members.length) {
    const reason = 'two parts contain the same entry; expected each entry once';
    return err([faultAt('setInconsistent', bundlePlace('parts'), { reason })]);
  }
  if (digest !== manifest.digest) {
    const reason = `the entries have digest ${digest}; expected ${manifest.digest}`;
    return err([faultAt('setInconsistent', bundlePlace('digest'), { reason })]);
  }
  return ok({ topic: manifest.topic, version: manifest.version, digest, entries });
}

/**
 * Joins the parts of a published document and verifies the digest of each part and of the document.
 *
 * @param manifestText - the published manifest
 * @param parts - texts of published parts by digest; parts outside the manifest are ignored
 * @returns the document, or all faults found
 */
export function readBundle(
  manifestText: string,
  parts: ReadonlyMap<string, string>,
): Result<Document, readonly Fault[]> {
  return readManifest(manifestText, SOURCE).andThen((manifest) => joinParts(manifest, parts));
}
