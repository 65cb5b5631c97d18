import { array, boolean, Codec, Left, Right, unknown, type Either } from 'purify-ts';

/** A field of a table: how its value is checked, and its default. */
export interface Field<T> {
  readonly decode: (input: unknown) => Either<string, T>;
  /** Description of the accepted values with their unit, for faults. */
  readonly expected: string;
  /** Default of an omitted field; without it the field is required. */
  readonly fallback?: T;
  /** Set for keys and secrets, whose values never appear in faults. */
  readonly isSecret?: true;
}

function guardedField<T>(expected: string, isValid: (input: unknown) => input is T): Field<T> {
  const { decode } = Codec.custom<T>({
    decode: (input) => (isValid(input) ? Right(input) : Left(expected)),
    encode: (value) => value,
  });
  return { decode, expected };
}

/**
 * Describes a whole number in a range.
 *
 * @param min - lowest allowed value
 * @param max - highest allowed value
 * @param unit - what the number counts
 * @returns the field
 */
export function integerField(min: number, max: number, unit: string): Field<number> {
  return guardedField(
    `a whole number of ${unit} from ${min} to ${max}`,
    (input): input is number =>
      typeof input === 'number' && Number.isSafeInteger(input) && input >= min && input <= max,
  );
}

/**
 * Describes a positive number with or without a fraction.
 *
 * @param min - lowest allowed value
 * @param max - highest allowed value
 * @param unit - what the number counts
 * @returns the field
 */
export function numberField(min: number, max: number, unit: string): Field<number> {
  return guardedField(
    `a number of ${unit} from ${min} to ${max}`,
    (input): input is number => typeof input === 'number' && input >= min && input <= max,
  );
}

/**
 * Describes a string that a predicate accepts.
 *
 * @param expected - description of the accepted strings
 * @param isValid - the predicate
 * @returns the field
 */
export function textField(expected: string, isValid: (text: string) => boolean): Field<string> {
  return guardedField(
    expected,
    (input): input is string => typeof input === 'string' && isValid(input),
  );
}

/**
 * Describes a choice among fixed strings.
 *
 * @param choices - the allowed strings
 * @returns the field
 */
export function choiceField<T extends string>(choices: readonly T[]): Field<T> {
  return guardedField(`one of: ${choices.join(', ')}`, (input): input is T =>
    choices.some((choice) => choice === input),
  );
}

/**
 * Describes a boolean.
 *
 * @returns the field
 */
export function booleanField(): Field<boolean> {
  return { decode: boolean.decode, expected: 'true or false' };
}

/**
 * Describes a list whose items are all checked in the same way.
 *
 * @param item - field that checks each item
 * @param minItems - lowest allowed number of items
 * @returns the field
 */
export function listField<T>(item: Field<T>, minItems = 0): Field<readonly T[]> {
  const expected = `a list of ${minItems === 0 ? '' : `at least ${minItems} of `}items, each ${item.expected}`;
  const items = array(Codec.custom<T>({ decode: item.decode, encode: (value) => value }));
  return {
    decode: (input) =>
      items
        .decode(input)
        .mapLeft(() => expected)
        .chain((list) => (list.length >= minItems ? Right(list) : Left(expected))),
    expected,
  };
}

/**
 * Describes a list whose items the caller checks.
 *
 * @param expected - description of the list
 * @returns the field
 */
export function uncheckedListField(expected: string): Field<readonly unknown[]> {
  return { decode: array(unknown).decode, expected };
}

/**
 * Makes a field optional.
 *
 * @param field - the field
 * @param fallback - value of an omitted field
 * @returns the optional field
 */
export function withDefault<T, const D>(field: Field<T>, fallback: D): Field<T | D> {
  return { ...field, fallback };
}

/**
 * Keeps the value of a field out of faults.
 *
 * @param field - the field
 * @returns the field with a hidden value
 */
export function secretField<T>(field: Field<T>): Field<T> {
  return { ...field, isSecret: true };
}
