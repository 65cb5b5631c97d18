import { err, ok, type Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import { fromEither } from '../errors/from-either.js';
import type { Field } from './field.js';

/** Place of a value: its source, such as a file, and the path of the field in it. */
export interface Place {
  readonly source: string;
  readonly path: string;
}

/** The fields of a table by name. */
export type Fields = Readonly<Record<string, Field<unknown>>>;

/** The values of a table without faults. */
export type Values<F extends Fields> = {
  readonly [K in keyof F]: F[K] extends Field<infer T> ? T : never;
};

/** Longer values are truncated in faults. */
const MAX_FOUND_CHARACTERS = 60;

/**
 * Checks whether a value is a table, not a list, a date or a plain value.
 *
 * @param value - a parsed value
 * @returns true for a table
 */
export function isTable(value: unknown): value is Readonly<Record<string, unknown>> {
  return (
    typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date)
  );
}

/**
 * Formats a value for a fault.
 *
 * @param value - the value found
 * @returns its JSON text, truncated when long
 */
export function describeValue(value: unknown): string {
  const text = JSON.stringify(value) ?? String(value);
  return text.length > MAX_FOUND_CHARACTERS ? `${text.slice(0, MAX_FOUND_CHARACTERS)}...` : text;
}

/**
 * Builds the path of a field inside a table.
 *
 * @param place - place of the table
 * @param name - name of the field
 * @returns place of the field
 */
export function placeIn(place: Place, name: string): Place {
  return { source: place.source, path: place.path === '' ? name : `${place.path}.${name}` };
}

/**
 * Builds a fault at a place.
 *
 * @param code - result code from the registry
 * @param place - place of the value
 * @param details - values for the message
 * @returns the fault
 */
export function faultAt(
  code: Fault['code'],
  { source, path }: Place,
  details: Fault['details'],
): Fault {
  return { code, details, source, place: path };
}

function readField<T>(field: Field<T>, value: unknown, place: Place): Result<T, Fault> {
  if (value === undefined) {
    return field.fallback === undefined
      ? err(faultAt('fieldMissing', place, { expected: field.expected }))
      : ok(field.fallback);
  }
  return fromEither(field.decode(value), () =>
    faultAt('valueInvalid', place, {
      found: field.isSecret === true ? 'a hidden value' : describeValue(value),
      expected: field.expected,
    }),
  );
}

/** The values of a table that could be read, and the faults of the others. */
export interface ReadOutcome<T> {
  readonly values: Draft<T>;
  readonly faults: readonly Fault[];
}

/** An object that lacks the fields that could not be read. */
export type Draft<T> = { readonly [K in keyof T]?: T[K] | undefined };

/**
 * Reads each field of a table separately, so that all faults of the table are reported at once.
 *
 * @param fields - the fields that the table may have
 * @param table - the parsed value
 * @param place - place of the table
 * @returns the valid values, with defaults filled in, and all faults
 */
export function readFields<F extends Fields>(
  fields: F,
  table: unknown,
  place: Place,
): ReadOutcome<Values<F>> {
  if (!isTable(table)) {
    const found = describeValue(table);
    return { values: {}, faults: [faultAt('valueInvalid', place, { found, expected: 'a table' })] };
  }
  const names = Object.keys(fields);
  const expected = names.join(', ') || 'no fields';
  const unknownFields = Object.keys(table)
    .filter((name) => !names.includes(name))
    .map((name) => faultAt('fieldUnknown', placeIn(place, name), { expected }));
  const read = Object.entries(fields).map(
    ([name, field]) => [name, readField(field, table[name], placeIn(place, name))] as const,
  );
  const values = read.flatMap(([name, result]) => (result.isOk() ? [[name, result.value]] : []));
  return {
    // Each value has the type that the codec of its field returns, as Values states.
    values: Object.fromEntries(values) as Draft<Values<F>>,
    faults: [
      ...unknownFields,
      ...read.flatMap(([, result]) => (result.isErr() ? [result.error] : [])),
    ],
  };
}

/**
 * Checks a table against its fields and reports every fault in it.
 *
 * @param fields - the fields that the table may have
 * @param table - the parsed value
 * @param place - place of the table
 * @returns the values with defaults filled in, or all faults
 */
export function readTable<F extends Fields>(
  fields: F,
  table: unknown,
  place: Place,
): Result<Values<F>, readonly Fault[]> {
  const { values, faults } = readFields(fields, table, place);
  // A table without faults has all its values.
  return faults.length > 0 ? err(faults) : ok(values as Values<F>);
}
