import { err, ok, type Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import { describeValue, faultAt, isTable, type Place } from '../toml/read-table.js';
import { parseToml } from '../toml/toml-text.js';
import { SECTIONS, type Section, type SourceEntry, type SourceSet } from './source-set.js';

const EMPTY: SourceSet = { revisions: [], seats: [], entries: [], isComplete: true };
const UNREADABLE: SourceSet = { ...EMPTY, isComplete: false };

interface Collected {
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

function readItem(key: string, value: unknown, source: string): Collected {
  const item = { place: { source, path: key }, value };
  const section = SECTIONS.find((name) => name === key);
  if (section !== undefined) {
    return readSection(section, value, source).match<Collected>(
      (entries) => ({ set: { ...EMPTY, entries }, faults: [] }),
      (fault) => ({ set: UNREADABLE, faults: [fault] }),
    );
  }
  if (key === 'revision') {
    return { set: { ...EMPTY, revisions: [item] }, faults: [] };
  }
  if (key === 'seats') {
    return { set: { ...EMPTY, seats: [item] }, faults: [] };
  }
  const expected = ['revision', 'seats', ...SECTIONS].join(', ');
  return { set: EMPTY, faults: [faultAt('fieldUnknown', item.place, { expected })] };
}

function readFile([source, text]: readonly [string, string]): readonly Collected[] {
  return parseToml(text, source).match<readonly Collected[]>(
    (root) => Object.entries(root).map(([key, value]) => readItem(key, value, source)),
    (faults) => [{ set: UNREADABLE, faults }],
  );
}

/**
 * Parses the files of a set and joins them.
 *
 * @param files - TOML text by file name
 * @returns the joined set, and the faults of files and sections that had to be left out
 */
export function parseFiles(files: ReadonlyMap<string, string>): Collected {
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
