import type { CodeName } from '../core/errors/registry.js';
import type { AnswerExcess } from '../core/reading/answer-cost.js';

/** Error that ends an answer which is not read further. */
export class ExcessiveAnswer extends Error {
  readonly excess: AnswerExcess;

  /**
   * @param excess - why the answer is not read further
   */
  constructor(excess: AnswerExcess) {
    super(`the answer is not read further: ${excess}`);
    this.excess = excess;
  }
}

/** The head of the answer, or its trailers, exceed the limit of the parser. */
const HEAD_OVERFLOW_CODE = 'UND_ERR_HEADERS_OVERFLOW';

/** Why an answer was not read further, as the client reports it. */
export type ReadExcess =
  | AnswerExcess
  /** The head or the trailers exceed the limit of the parser. */
  | 'head-too-large';

/**
 * Finds why an answer was ended for what it cost.
 *
 * @param error - error that ended the answer
 * @returns the reason, or null when the answer ended for another one
 */
export function excessOf(error: Error): ReadExcess | null {
  if (error instanceof ExcessiveAnswer) return error.excess;
  return 'code' in error && error.code === HEAD_OVERFLOW_CODE ? 'head-too-large' : null;
}

/** Result code of an answer that was not read further. */
export type ExcessCode = Extract<CodeName, 'answerTooLarge' | 'answerOverhead'>;

const EXCESS_CODES: Readonly<Record<ReadExcess, ExcessCode>> = {
  'too-large': 'answerTooLarge',
  overhead: 'answerOverhead',
  'head-too-large': 'answerOverhead',
};

/**
 * Finds the result code of an answer that was ended for what it cost.
 *
 * @param error - error that ended the answer
 * @returns the code, or null when the answer ended for another reason
 */
export function excessCodeOf(error: Error): ExcessCode | null {
  const excess = excessOf(error);
  return excess === null ? null : EXCESS_CODES[excess];
}
