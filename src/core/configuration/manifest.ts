import { ok, Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import type { Topic } from '../model/document.js';
import { integerField, textField, uncheckedListField, type Field } from '../toml/field.js';
import { placeIn, readTable, type Place } from '../toml/read-table.js';
import { parseJson } from './canonical-json.js';
import { revisionField } from './entry-fields.js';

/** Size limit of a value in the configuration service: 1 MB. */
export const MAX_PART_BYTES = 1_000_000;

/** Digest and size of a published part. */
export interface PartHead {
  readonly digest: string;
  readonly bytes: number;
}

/** The published value that lists the parts of a document. */
export interface Manifest {
  readonly topic: Topic;
  readonly version: number;
  /** Digest of the document. */
  readonly digest: string;
  readonly parts: readonly PartHead[];
}

const digestField = textField('64 hexadecimal digits', (text) => /^[0-9a-f]{64}$/.test(text));

const topicTextField = textField('configuration or hosts/ZONE', (text) =>
  /^(configuration|hosts\/.+)$/.test(text),
);

const topicField: Field<Topic> = {
  expected: topicTextField.expected,
  // The pattern accepts exactly the values of Topic.
  decode: (input) => topicTextField.decode(input).map((text) => text as Topic),
};

const partFields = { digest: digestField, bytes: integerField(1, MAX_PART_BYTES, 'bytes') };

const manifestFields = {
  topic: topicField,
  version: revisionField,
  digest: digestField,
  parts: uncheckedListField('a list of parts'),
};

function readParts(
  parts: readonly unknown[],
  place: Place,
): Result<readonly PartHead[], readonly Fault[]> {
  const read = parts.map((part, index) => readTable(partFields, part, placeIn(place, `${index}`)));
  return Result.combineWithAllErrors(read).mapErr((faults) => faults.flat());
}

/**
 * Parses and checks a manifest.
 *
 * @param text - the published manifest
 * @param source - source name for faults
 * @returns the manifest, or all faults found
 */
export function readManifest(text: string, source: string): Result<Manifest, readonly Fault[]> {
  const place = { source, path: '' };
  return readTable(manifestFields, parseJson(text), place).andThen(({ parts, ...head }) =>
    readParts(parts, placeIn(place, 'parts')).andThen((heads) =>
      ok<Manifest, readonly Fault[]>({ ...head, parts: heads }),
    ),
  );
}
