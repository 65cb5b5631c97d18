/** Holder of answers whose bytes are in memory, such as an exchange or a connection. */
export interface AnswerHold {
  /** Gives up its answers because all answers together hold too many bytes. */
  readonly evict: () => void;
}

/** Holder that gives up its answers first. */
export type EvictionOrder =
  /** The one with the most bytes: a faulty backend server may send bytes without end. */
  | 'largest'
  /** The one that has held answers for longest, unless it is the only one. */
  | 'oldest';

/** Options of a buffer. */
export interface AnswerBufferOptions {
  /** @returns limit of the bytes of all answers together */
  readonly maxBytes: () => number;
  readonly evicts: EvictionOrder;
}

/** Counts the bytes of answers in memory, and has some given up when there are too many. */
export class AnswerBuffer {
  readonly #options: AnswerBufferOptions;

  /** Bytes by holder, in the order in which each began to hold answers. */
  readonly #held = new Map<AnswerHold, number>();

  #heldBytes = 0;

  /**
   * @param options - the limit, and who gives up answers beyond it
   */
  constructor(options: AnswerBufferOptions) {
    this.#options = options;
  }

  /** @returns the bytes of all answers together */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Counts bytes of an answer.
   *
   * @param hold - holder of the answer
   * @param bytes - number of bytes
   */
  add(hold: AnswerHold, bytes: number): void {
    if (bytes === 0) return;
    this.#held.set(hold, (this.#held.get(hold) ?? 0) + bytes);
    this.#heldBytes += bytes;
    while (this.#heldBytes > this.#options.maxBytes()) {
      const victim = this.#chooseVictim();
      if (victim === undefined) return;
      this.release(victim);
      victim.evict();
    }
  }

  /**
   * Removes bytes of a holder that keeps others.
   *
   * @param hold - the holder
   * @param bytes - number of bytes
   */
  remove(hold: AnswerHold, bytes: number): void {
    const before = this.#held.get(hold);
    if (before === undefined) return;
    if (before <= bytes) {
      this.release(hold);
      return;
    }
    this.#held.set(hold, before - bytes);
    this.#heldBytes -= bytes;
  }

  /**
   * Releases all bytes of a holder.
   *
   * @param hold - the holder
   */
  release(hold: AnswerHold): void {
    this.#heldBytes -= this.#held.get(hold) ?? 0;
    this.#held.delete(hold);
  }

  #chooseVictim(): AnswerHold | undefined {
    switch (this.#options.evicts) {
      case 'largest':
        // Of equal ones the latest, which is the furthest from its end.
        return [...this.#held].reduce((most, next) => (next[1] >= most[1] ? next : most))[0];
      case 'oldest':
        return this.#held.size > 1 ? this.#held.keys().next().value : undefined;
    }
  }
}
