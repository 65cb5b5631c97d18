import {
  costSince,
  findExcess,
  noCost,
  readingTimeUs,
  type AnswerCost,
  type AnswerExcess,
} from '../core/reading/answer-cost.js';
import { GRANT_US } from '../core/reading/read-pacing.js';

const LINE_FEED = 0x0a;

function countLines(bytes: Buffer): number {
  let count = 0;
  for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1))
    count += 1;
  return count;
}

/** Counts what reading the present answer of a connection costs. */
export class ReadMeter {
  /** Limit of the body of an answer. */
  readonly maxBodyBytes: number;

  #wireBytes = 0;

  #bodyBytes = 0;

  #chunks = 0;

  #interimAnswers = 0;

  #headLines = 0;

  #isReading = false;

  /** Cost when the present share of the processor began. */
  #atShare: AnswerCost = noCost;

  /** Cost when the parser got the present portion. */
  #atPortion: AnswerCost = noCost;

  /**
   * @param maxBodyBytes - limit of the body of an answer
   */
  constructor(maxBodyBytes: number) {
    this.maxBodyBytes = maxBodyBytes;
  }

  /** @returns whether an answer is expected or being read */
  get isReading(): boolean {
    return this.#isReading;
  }

  /** @returns cost of the present answer, or of the last one */
  get cost(): AnswerCost {
    return {
      wireBytes: this.#wireBytes,
      bodyBytes: this.#bodyBytes,
      chunks: this.#chunks,
      interimAnswers: this.#interimAnswers,
      headLines: this.#headLines,
    };
  }

  /** @returns cost of the portion that the parser got last */
  get lastPortion(): AnswerCost {
    return costSince(this.cost, this.#atPortion);
  }

  /** @returns why the answer is not to be read further; null while it is within its bounds */
  get excess(): AnswerExcess | null {
    return findExcess(this.cost, this.maxBodyBytes);
  }

  /** @returns whether the body is over its limit */
  get isBodyTooLarge(): boolean {
    return this.#bodyBytes > this.maxBodyBytes;
  }

  /** @returns whether the present share of the processor is used up */
  get isShareSpent(): boolean {
    return readingTimeUs(costSince(this.cost, this.#atShare)) >= GRANT_US;
  }

  /** Begins a new answer, with a share of its own. */
  begin(): void {
    this.#wireBytes = 0;
    this.#bodyBytes = 0;
    this.#chunks = 0;
    this.#interimAnswers = 0;
    this.#headLines = 0;
    this.#atShare = noCost;
    this.#atPortion = noCost;
    this.#isReading = true;
  }

  /** Ends the answer; further bytes belong to none. */
  end(): void {
    this.#isReading = false;
  }

  /** Begins a new share of the processor. */
  renewShare(): void {
    this.#atShare = this.cost;
  }

  /**
   * Counts a portion of bytes that is handed to the parser.
   *
   * @param portion - the bytes
   */
  addPortion(portion: Buffer): void {
    this.#atPortion = this.cost;
    this.#wireBytes += portion.length;
    // Lines of a body that begins in this portion count too, which a head leaves room for.
    if (this.#chunks === 0) this.#headLines += countLines(portion);
  }

  /**
   * Counts trailers, which follow the body and are known when the answer ends.
   *
   * @param count - their number
   */
  addTrailers(count: number): void {
    this.#headLines += count;
  }

  /**
   * Counts a piece of the body.
   *
   * @param bytes - its length
   */
  addChunk(bytes: number): void {
    this.#bodyBytes += bytes;
    this.#chunks += 1;
  }

  /** Counts an interim answer. */
  addInterimAnswer(): void {
    this.#interimAnswers += 1;
  }
}
