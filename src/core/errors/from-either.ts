import { err, ok, type Result } from 'neverthrow';
import type { Either } from 'purify-ts';

/**
 * Converts the result of a purify-ts codec to a neverthrow result. No other code combines the two
 * libraries.
 *
 * @param either - result of the codec
 * @param toError - builds the error from the codec's error text
 * @returns the value or the error
 */
export function fromEither<T, E>(
  either: Either<string, T>,
  toError: (text: string) => E,
): Result<T, E> {
  return either.caseOf<Result<T, E>>({
    Left: (text) => err(toError(text)),
    Right: (value) => ok(value),
  });
}
