/**
 * Memory for a whole body is reserved once this share of it has arrived. A caller that declares a
 * large body and sends little of it would otherwise take memory that nobody counts.
 */
const RESERVE_SHARE = 1 / 8;

/** Size of the first block; each further one is as large as all before it, up to the largest. */
const FIRST_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 65_536;

/**
 * Collects the chunks of a body by copying them into blocks: a chunk that is kept takes a hundred
 * bytes or more beside its own, which a caller that sends a byte at a time would multiply. A body of
 * known length is copied to its place as it arrives, since joining the blocks at the end would hold
 * each large body twice.
 */
export class BodyBuffer {
  readonly #declaredBytes: number | null;

  /** Memory of the declared length; null while little has arrived and without a declared length. */
  #whole: Buffer | null = null;

  readonly #blocks: Buffer[] = [];

  /** Bytes of all blocks, of which the last one may not be full. */
  #blockBytes = 0;

  #length = 0;

  #chunks = 0;

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

  /** @returns the number of bytes in use, with the free part of the last block */
  get heldBytes(): number {
    return this.#whole === null ? this.#blockBytes : this.#length;
  }

  /** @returns the size of its buffers, of which some bytes may not have arrived */
  get bufferBytes(): number {
    return this.#whole?.length ?? this.#blockBytes;
  }

  /** @returns the number of chunks received so far */
  get chunks(): number {
    return this.#chunks;
  }

  /**
   * Adds a chunk. The HTTP parser ensures that a body is no longer than its declared length.
   *
   * @param chunk - the chunk
   */
  add(chunk: Buffer): void {
    if (this.#whole !== null) chunk.copy(this.#whole, this.#length);
    // Most bodies are one chunk.
    else if (this.#length === 0 && chunk.length === this.#declaredBytes) this.#addBlock(chunk);
    else this.#copy(chunk);
    this.#length += chunk.length;
    this.#chunks += 1;
    this.#reserve();
  }

  /**
   * Takes the body, which must have arrived completely.
   *
   * @returns the body
   */
  take(): Buffer {
    const [first] = this.#blocks;
    const isOneBlock = this.#blocks.length === 1 && first !== undefined;
    const joined = isOneBlock ? first : Buffer.concat(this.#blocks, this.#length);
    const body = this.#whole ?? joined.subarray(0, this.#length);
    this.clear();
    return body;
  }

  /** Drops what was received. */
  clear(): void {
    this.#whole = null;
    this.#blocks.length = 0;
    this.#blockBytes = 0;
  }

  #addBlock(block: Buffer): void {
    this.#blocks.push(block);
    this.#blockBytes += block.length;
  }

  #copy(chunk: Buffer): void {
    let copied = 0;
    let free = this.#blockBytes - this.#length;
    while (copied < chunk.length) {
      if (free === 0) {
        const size = Math.min(Math.max(FIRST_BLOCK_BYTES, this.#blockBytes), MAX_BLOCK_BYTES);
        this.#addBlock(Buffer.allocUnsafeSlow(size));
        free = size;
      }
      const block = this.#blocks.at(-1);
      if (block === undefined) return;
      const count = chunk.copy(block, block.length - free, copied);
      copied += count;
      free -= count;
    }
  }

  /** Moves the blocks to the memory of the whole body once enough of it has arrived. */
  #reserve(): void {
    const declaredBytes = this.#declaredBytes;
    if (this.#whole !== null || declaredBytes === null || this.#length === declaredBytes) return;
    if (this.#length < declaredBytes * RESERVE_SHARE) return;
    // Memory of its own, which is returned to the system when the body is dropped.
    const whole = Buffer.allocUnsafeSlow(declaredBytes);
    const free = this.#blockBytes - this.#length;
    this.#blocks.reduce((offset, block, at) => {
      const isLast = at === this.#blocks.length - 1;
      return offset + block.copy(whole, offset, 0, isLast ? block.length - free : block.length);
    }, 0);
    this.#blocks.length = 0;
    this.#blockBytes = 0;
    this.#whole = whole;
  }
}
