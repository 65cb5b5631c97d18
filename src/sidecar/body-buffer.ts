/**
 * Collects the chunks of a body. A body of known length is copied to its place as it arrives: joining
 * the chunks at the end would hold each large body twice.
 */
export class BodyBuffer {
  readonly #declaredBytes: number | null;

  /** Memory of the declared length; null before the first chunk and without a declared length. */
  #whole: Buffer | null = null;

  readonly #chunks: Buffer[] = [];

  #length = 0;

  /**
   * @param declaredBytes - length that the request declares, or null when it declares none
   */
  constructor(declaredBytes: number | null) {
    this.#declaredBytes = declaredBytes;
  }

  /** @returns the number of bytes received so far */
  get length(): number {
    return this.#length;
  }

  /**
   * Adds a chunk. The HTTP parser ensures that a body is no longer than its declared length.
   *
   * @param chunk - the chunk
   */
  add(chunk: Buffer): void {
    if (chunk.length === 0) return;
    const declaredBytes = this.#declaredBytes;
    if (declaredBytes === null || chunk.length === declaredBytes) {
      this.#chunks.push(chunk);
    } else {
      // Memory of its own, which is returned to the system when the body is dropped.
      this.#whole ??= Buffer.allocUnsafeSlow(declaredBytes);
      chunk.copy(this.#whole, this.#length);
    }
    this.#length += chunk.length;
  }

  /**
   * Takes the body, which must have arrived completely.
   *
   * @returns the body
   */
  take(): Buffer {
    const [first] = this.#chunks;
    const isOneChunk = this.#chunks.length === 1 && first !== undefined;
    const body = this.#whole ?? (isOneChunk ? first : Buffer.concat(this.#chunks));
    this.clear();
    return body;
  }

  /** Drops what was received. */
  clear(): void {
    this.#whole = null;
    this.#chunks.length = 0;
  }
}
