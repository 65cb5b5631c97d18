import { err, ok, Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import { fromEither } from '../errors/from-either.js';
import type { Field } from './field.js';

/** Place of a value: the file and the path of the field in it. */
export interface Place {
  readonly source: string;
  readonly path: string;
}

/** The fields of a table by name. */
export type Fields = Readonly<Record<string, Field<unknown>>>;

/** The values of a table that passed its check. */
export type Values<F extends Fields> = {
  readonly [K in keyof F]: F[K] extends Field<infer T> ? T : never;
};

/** Longest value that a fault repeats; longer ones are cut. */
const FOUND_CHARACTERS = 60;

/**
 * Tells tables from lists and plain values.
 *
 * @param value - a parsed value
 * @returns whether it is a table
 */
export function isTable(value: unknown): value is Readonly<Record<string, unknown>> {
  return (
    typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date)
  );
}

/**
 * Describes a value for a fault.
 *
 * @param value - the value found
 * @returns its JSON text, cut when long
 */
export function describeValue(value: unknown): string {
  const text = JSON.stringify(value) ?? String(value);
  return text.length > FOUND_CHARACTERS ? `${text.slice(0, FOUND_CHARACTERS)}...` : text;
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
 * @param code - code from the registry
 * @param place - where the value stands
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
      found: field.secret === true ? 'a value that is not shown' : describeValue(value),
      expected: field.expected,
    }),
  );
}

/**
 * Checks a table against its fields and reports every fault in it.
 *
 * @param fields - the fields that the table may have
 * @param table - the parsed value
 * @param place - where the table stands
 * @returns the values with defaults filled in, or all faults
 */
export function readTable<F extends Fields>(
  fields: F,
  table: unknown,
  place: Place,
): Result<Values<F>, readonly Fault[]> {
  if (!isTable(table)) {
    return err([
      faultAt('valueInvalid', place, { found: describeValue(table), expected: 'a table' }),
    ]);
  }
  const names = Object.keys(fields);
  const unknown = Object.keys(table)
    .filter((name) => !names.includes(name))
    .map((name) =>
      faultAt('fieldUnknown', placeIn(place, name), { expected: names.join(', ') || 'no fields' }),
    );
  const read = Object.entries(fields).map(([name, field]) =>
    readField(field, table[name], placeIn(place, name)).map((value) => [name, value] as const),
  );
  const faults = [...unknown, ...read.flatMap((item) => (item.isErr() ? [item.error] : []))];
  // Every field has been decoded by its own codec, which the mapped type repeats.
  return faults.length > 0
    ? err(faults)
    : Result.combine(read)
        .map((entries) => Object.fromEntries(entries) as Values<F>)
        .mapErr((fault) => [fault]);
}
