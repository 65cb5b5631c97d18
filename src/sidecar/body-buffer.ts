/**
 * Memory for a whole body is reserved once this share of it has arrived. A caller that declares a
 * large body and sends little of it would otherwise take memory that nobody counts.
 */
const RESERVE_SHARE = 1 / 8;

/**
 * Collects the chunks of a body. A body of known length is copied to its place as it arrives: joining
 * the chunks at the end would hold each large body twice.
 */
export class BodyBuffer {
  readonly #declaredBytes: number | null;

  /** Memory of the declared length; null while little has arrived and without a declared length. */
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
    if (this.#whole === null) this.#chunks.push(chunk);
    else chunk.copy(this.#whole, this.#length);
    this.#length += chunk.length;
    this.#reserve();
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

  /** Moves the chunks to the memory of the whole body once enough of it has arrived. */
  #reserve(): void {
    const declaredBytes = this.#declaredBytes;
    if (this.#whole !== null || declaredBytes === null || this.#length === declaredBytes) return;
    if (this.#length < declaredBytes * RESERVE_SHARE) return;
    // Memory of its own, which is returned to the system when the body is dropped.
    const whole = Buffer.allocUnsafeSlow(declaredBytes);
    this.#chunks.reduce((offset, chunk) => offset + chunk.copy(whole, offset), 0);
    this.#chunks.length = 0;
    this.#whole = whole;
  }

  /** Drops what was received. */
  clear(): void {
    this.#whole = null;
    this.#chunks.length = 0;
  }
}
