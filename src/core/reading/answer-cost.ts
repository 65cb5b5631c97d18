/** What reading an answer from a connection has cost so far. */
export interface AnswerCost {
  /** Bytes from the connection that were parsed. */
  readonly wireBytes: number;
  /** Bytes of the body among them. */
  readonly bodyBytes: number;
  /** Pieces in which the parser delivered the body. */
  readonly chunks: number;
  /** Answers with a status below 200. */
  readonly interimAnswers: number;
  /** Lines of heads and trailers, about one for each header. */
  readonly headLines: number;
}

/** Cost before the first byte. */
export const noCost: AnswerCost = {
  wireBytes: 0,
  bodyBytes: 0,
  chunks: 0,
  interimAnswers: 0,
  headLines: 0,
};

/**
 * Computes what an answer has cost since an earlier measurement.
 *
 * @param cost - cost so far
 * @param earlier - cost at the earlier measurement
 * @returns the difference
 */
export function costSince(cost: AnswerCost, earlier: AnswerCost): AnswerCost {
  return {
    wireBytes: cost.wireBytes - earlier.wireBytes,
    bodyBytes: cost.bodyBytes - earlier.bodyBytes,
    chunks: cost.chunks - earlier.chunks,
    interimAnswers: cost.interimAnswers - earlier.interimAnswers,
    headLines: cost.headLines - earlier.headLines,
  };
}

/** Processor time to parse and to keep a piece of a body, or an interim answer, in microseconds. */
const PIECE_US = 2;

/** Processor time to parse a header, for whose name and value the parser makes a buffer each. */
const HEAD_LINE_US = 4;

/** Processor time to receive, to parse and to copy a kilobyte, in microseconds. */
const KILOBYTE_US = 1;

const BYTES_PER_KILOBYTE = 1024;

/**
 * Estimates the processor time that reading has taken. The estimate depends on what was received and
 * not on the speed of the machine, so that pacing does not follow its own delays.
 *
 * @param cost - what was received
 * @returns time in microseconds
 */
export function readingTimeUs({
  wireBytes,
  chunks,
  interimAnswers,
  headLines,
}: AnswerCost): number {
  const pieces = (chunks + interimAnswers) * PIECE_US + headLines * HEAD_LINE_US;
  return pieces + (wireBytes / BYTES_PER_KILOBYTE) * KILOBYTE_US;
}

/** Bytes that the parser gets at once, until it is known how many pieces they hold. */
const SMALL_PORTION_BYTES = 1024;

/** Bytes that the parser gets at once while pieces are large; what Node.js buffers by default. */
const LARGE_PORTION_BYTES = 16_384;

/** Mean size of a piece from which the parser gets large portions. */
const LARGE_PIECE_BYTES = 256;

/** Share of the body in a portion below which it is mostly a head, framing or trailers. */
const MIN_BODY_SHARE = 0.5;

/**
 * Chooses how many bytes the parser gets at once. All pieces in them are handled in one turn of the
 * event loop, and 64 KiB hold 10,900 chunks of one byte, or 6,500 short headers.
 *
 * @param last - cost of the last portion
 * @returns the number of bytes
 */
export function portionBytes({ wireBytes, bodyBytes, chunks, interimAnswers }: AnswerCost): number {
  const hasLargePieces =
    wireBytes > 0 &&
    bodyBytes >= wireBytes * MIN_BODY_SHARE &&
    wireBytes >= (chunks + interimAnswers) * LARGE_PIECE_BYTES;
  return hasLargePieces ? LARGE_PORTION_BYTES : SMALL_PORTION_BYTES;
}

/** Why an answer is not read further. */
export type AnswerExcess =
  /** The body is longer than its reader takes. */
  | 'too-large'
  /** Reading costs far more than the body is worth. */
  | 'overhead';

/**
 * Bytes beside those of the body: head, interim answers, sizes and extensions of chunks, trailers.
 * Beyond this fixed part they may be as many as those of the body, which leaves chunks from five
 * bytes on unbounded.
 */
const MAX_FRAMING_BYTES = 262_144;

/** Pieces of any size; a server that sends 64 KiB byte by byte stays below. */
const MAX_SMALL_PIECES = 65_536;

/**
 * Mean size of a piece from which their number is not bounded. Servers write a line or an event at a
 * time; pieces of this size cost less than 4 s of processor time up to the limit of a body.
 */
const BOUNDED_PIECE_BYTES = 32;

/** Interim answers; a server that sends one a second stays below until any deadline. */
const MAX_INTERIM_ANSWERS = 64;

/**
 * Lines of all heads and trailers of an answer, as many as the headers that Node.js keeps of a
 * message. The limit of undici for the length of a head leaves room for 8,000.
 */
const MAX_HEAD_LINES = 2000;

/**
 * Checks whether an answer has cost too much. Each bound is far beyond what a correct server sends
 * within a deadline, and is reached soon by one that sends without end.
 *
 * @param cost - what was received
 * @param maxBodyBytes - limit of the body
 * @returns the excess, or null while the answer is within its bounds
 */
export function findExcess(cost: AnswerCost, maxBodyBytes: number): AnswerExcess | null {
  const { wireBytes, bodyBytes, chunks, interimAnswers, headLines } = cost;
  if (bodyBytes > maxBodyBytes) return 'too-large';
  const hasExcessiveFraming = wireBytes - bodyBytes > MAX_FRAMING_BYTES + bodyBytes;
  const hasExcessivePieces = chunks > MAX_SMALL_PIECES + bodyBytes / BOUNDED_PIECE_BYTES;
  const hasExcessiveHeads = interimAnswers > MAX_INTERIM_ANSWERS || headLines > MAX_HEAD_LINES;
  return hasExcessiveFraming || hasExcessivePieces || hasExcessiveHeads ? 'overhead' : null;
}

/** Small pieces from which an answer that did not end in time counts as one without end. */
const MANY_SMALL_PIECES = 2048;

/** Mean size of a piece from which pieces are not small. */
const SMALL_PIECE_BYTES = 512;

/**
 * Checks whether an answer that was broken off was mostly framing. Within a deadline, a correct
 * server that sends small pieces slowly does not come near.
 *
 * @param cost - what was received
 * @returns whether the pieces were many and small
 */
export function hasManySmallPieces({ bodyBytes, chunks }: AnswerCost): boolean {
  return chunks > MANY_SMALL_PIECES + bodyBytes / SMALL_PIECE_BYTES;
}
