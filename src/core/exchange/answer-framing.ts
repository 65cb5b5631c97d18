/** How an answer says where it ends, and what was received of it. */
export interface AnswerFraming {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  /** Stated length of the body, or null without one. */
  readonly contentLength: number | null;
  readonly isChunked: boolean;
  readonly receivedBytes: number;
}

/** Status codes of answers that have neither a length nor a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Checks whether an answer can have a body.
 *
 * @param method - method of the request
 * @param status - status of the answer
 * @returns false when a stated length is not that of a body
 */
export function canHaveBody(method: string, status: number): boolean {
  return method !== 'HEAD' && !BODILESS_STATUSES.has(status);
}

/**
 * Checks whether an answer that ended in order is complete. Without a length it ends when the
 * backend server closes the connection, and a truncated one can end with an orderly close too. The
 * two look the same, so an answer that needs a length and has none counts as truncated.
 *
 * @param framing - how the answer says where it ends
 * @returns whether all of it was received
 */
export function isAnswerComplete({
  method,
  status,
  contentLength,
  isChunked,
  receivedBytes,
}: AnswerFraming): boolean {
  const isLengthOptional = !canHaveBody(method, status) || isChunked;
  return isLengthOptional || contentLength === receivedBytes;
}
