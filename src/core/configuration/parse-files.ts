import { err, ok, type Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import { describeValue, faultAt, isTable, type Place } from '../toml/read-table.js';
import { parseToml } from '../toml/parse-toml.js';
import { SECTIONS, type Section, type SourceEntry, type SourceSet } from './source-set.js';

const EMPTY_SET: SourceSet = { revisions: [], seats: [], entries: [], isComplete: true };
const INCOMPLETE_SET: SourceSet = { ...EMPTY_SET, isComplete: false };

interface ParsedSet {
  readonly set: SourceSet;
  readonly faults: readonly Fault[];
}

function readSection(
  section: Section,
  value: unknown,
  source: string,
): Result<readonly SourceEntry[], Fault> {
  const place: Place = { source, path: section };
  return isTable(value)
    ? ok(
        Object.entries(value).map(([name, entry]) => ({
          section,
          name,
          place: { source, path: `${section}.${name}` },
          value: entry,
        })),
      )
    : err(
        faultAt('valueInvalid', place, {
          found: describeValue(value),
          expected: `tables such as [${section}.NAME]`,
        }),
      );
}

function readRootField(key: string, value: unknown, source: string): ParsedSet {
  const item = { place: { source, path: key }, value };
  const section = SECTIONS.find((name) => name === key);
  if (section !== undefined) {
    return readSection(section, value, source).match<ParsedSet>(
      (entries) => ({ set: { ...EMPTY_SET, entries }, faults: [] }),
      (fault) => ({ set: INCOMPLETE_SET, faults: [fault] }),
    );
  }
  if (key === 'revision') {
    return { set: { ...EMPTY_SET, revisions: [item] }, faults: [] };
  }
  if (key === 'seats') {
    return { set: { ...EMPTY_SET, seats: [item] }, faults: [] };
  }
  const expected = ['revision', 'seats', ...SECTIONS].join(', ');
  return { set: EMPTY_SET, faults: [faultAt('fieldUnknown', item.place, { expected })] };
}

function readFile([source, text]: readonly [string, string]): readonly ParsedSet[] {
  return parseToml(text, source).match<readonly ParsedSet[]>(
    (root) => Object.entries(root).map(([key, value]) => readRootField(key, value, source)),
    (faults) => [{ set: INCOMPLETE_SET, faults }],
  );
}

/**
 * Parses the files of a set and merges them.
 *
 * @param files - TOML text by file name
 * @returns the merged set, and the faults of files, sections and fields that are left out of it
 */
export function parseFiles(files: ReadonlyMap<string, string>): ParsedSet {
  const parts = [...files]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .flatMap((file) => readFile(file));
  return {
    set: {
      revisions: parts.flatMap(({ set }) => set.revisions),
      seats: parts.flatMap(({ set }) => set.seats),
      entries: parts.flatMap(({ set }) => set.entries),
      isComplete: parts.every(({ set }) => set.isComplete),
    },
    faults: parts.flatMap(({ faults }) => faults),
  };
}
