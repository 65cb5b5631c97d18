import assert from 'node:assert/strict';
import type { Result } from 'neverthrow';

/**
 * Unwraps a result that is expected to be a success and fails the test otherwise.
 *
 * @param result - result to unwrap
 * @returns value of the result
 */
export function valueOf<T, E>(result: Result<T, E>): T {
  return result.match(
    (value) => value,
    (error) => assert.fail(JSON.stringify(error)),
  );
}

/**
 * Unwraps the error of a result that is expected to be a failure and fails the test otherwise.
 *
 * @param result - result to unwrap
 * @returns error of the result
 */
export function errorOf<T, E>(result: Result<T, E>): E {
  return result.match(
    (value) => assert.fail(JSON.stringify(value)),
    (error) => error,
  );
}
