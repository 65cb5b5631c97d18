/** The connection of a caller that has answers to read. */
export interface AnswerReader {
  /** Closes the connection, whose caller takes too long to read. */
  readonly closeUnread: () => void;
}

/**
 * Counts the bytes of the answers that callers have not read yet. When there are too many, the
 * callers whose answers have waited longest lose their connections.
 */
export class UnreadAnswers {
  readonly #maxBytes: number;

  /** Bytes by connection, in the order in which the first unread answer of each was added. */
  readonly #unread = new Map<AnswerReader, number>();

  #unreadBytes = 0;

  /**
   * @param maxBytes - limit of the bytes of all answers; a single caller may exceed it
   */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** @returns the bytes of all answers together */
  get unreadBytes(): number {
    return this.#unreadBytes;
  }

  /**
   * Adds an answer.
   *
   * @param reader - the connection that the answer belongs to
   * @param bytes - size of the answer
   */
  add(reader: AnswerReader, bytes: number): void {
    if (bytes === 0) return;
    this.#unread.set(reader, (this.#unread.get(reader) ?? 0) + bytes);
    this.#unreadBytes += bytes;
    while (this.#unreadBytes > this.#maxBytes && this.#unread.size > 1) {
      const [oldest] = this.#unread.keys();
      if (oldest === undefined) return;
      this.removeAll(oldest);
      oldest.closeUnread();
    }
  }

  /**
   * Removes an answer that has been read.
   *
   * @param reader - its connection
   * @param bytes - size of the answer
   */
  remove(reader: AnswerReader, bytes: number): void {
    const before = this.#unread.get(reader);
    if (before === undefined) return;
    this.#unreadBytes -= bytes;
    if (before > bytes) this.#unread.set(reader, before - bytes);
    else this.#unread.delete(reader);
  }

  /**
   * Removes all answers of a connection that has ended.
   *
   * @param reader - the connection
   */
  removeAll(reader: AnswerReader): void {
    this.#unreadBytes -= this.#unread.get(reader) ?? 0;
    this.#unread.delete(reader);
  }
}
