/** An answer whose bytes are held in memory until it is whole. */
export interface AnswerHold {
  /** Gives up the answer because all answers together hold too many bytes. */
  readonly evict: () => void;
}

/**
 * Counts the bytes of the answers that are being received. A faulty backend server may send bytes
 * without end, so the answer that holds the most is given up when there are too many.
 */
export class AnswerBuffer {
  readonly #maxBytes: () => number;

  readonly #held = new Map<AnswerHold, number>();

  #heldBytes = 0;

  /**
   * @param maxBytes - returns the limit of the bytes of all answers together
   */
  constructor(maxBytes: () => number) {
    this.#maxBytes = maxBytes;
  }

  /** @returns the bytes of all answers together */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Counts received bytes of an answer.
   *
   * @param hold - the answer
   * @param bytes - number of bytes received
   */
  add(hold: AnswerHold, bytes: number): void {
    this.#held.set(hold, (this.#held.get(hold) ?? 0) + bytes);
    this.#heldBytes += bytes;
    if (this.#heldBytes <= this.#maxBytes()) return;
    const [largest] = [...this.#held].reduce((most, next) => (next[1] > most[1] ? next : most));
    this.release(largest);
    largest.evict();
  }

  /**
   * Releases the bytes of an answer that has ended.
   *
   * @param hold - the answer
   */
  release(hold: AnswerHold): void {
    this.#heldBytes -= this.#held.get(hold) ?? 0;
    this.#held.delete(hold);
  }
}
