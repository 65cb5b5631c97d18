import { err, ok, type Result } from 'neverthrow';
import type { Either } from 'purify-ts';

/**
 * Converts the result of a purify-ts codec. This is the only place where the two libraries meet.
 *
 * @param either - what the codec returned
 * @param toError - builds the error from the codec's text
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
