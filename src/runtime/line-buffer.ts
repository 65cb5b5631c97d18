/** Destination of the lines, such as standard output. */
export interface LineOutput {
  /** Bytes that wait to be written. */
  readonly writableLength: number;
  readonly write: (text: string, onEnd: (error?: Error | null) => void) => void;
}

/** Longest time that lines are buffered. Batching saves a system call per line. */
const FLUSH_INTERVAL_MS = 200;
const FLUSH_BYTES = 65_536;

/**
 * Bytes that may wait for the reader of the output. A pipe that nobody reads would otherwise take
 * up memory until the process exceeds its limit.
 */
const MAX_UNREAD_BYTES = 1_048_576;

/** Buffer between the logger and its output, which may be slow, closed or full. */
export class LineBuffer {
  readonly #output: LineOutput;

  readonly #reportLost: (lostLines: number) => void;

  #text = '';

  #lines = 0;

  #lostLines = 0;

  #timer: NodeJS.Timeout | null = null;

  /**
   * @param output - destination of the lines
   * @param reportLost - called with the number of lost lines as soon as the output works again
   */
  constructor(output: LineOutput, reportLost: (lostLines: number) => void) {
    this.#output = output;
    this.#reportLost = reportLost;
  }

  /**
   * Adds a line.
   *
   * @param line - the line, without its end
   */
  add(line: string): void {
    this.#text += `${line}\n`;
    this.#lines += 1;
    if (this.#text.length >= FLUSH_BYTES) {
      this.flush();
      return;
    }
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Writes the buffered lines, or drops them while the output is not read. */
  flush(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    if (this.#text === '') return;
    const text = this.#text;
    const lines = this.#lines;
    this.#text = '';
    this.#lines = 0;
    if (this.#output.writableLength > MAX_UNREAD_BYTES) {
      this.#lostLines += lines;
      return;
    }
    this.#output.write(text, (error) => {
      if (error) this.#lostLines += lines;
      else this.#reportLostLines();
    });
  }

  #reportLostLines(): void {
    if (this.#lostLines === 0) return;
    const lostLines = this.#lostLines;
    this.#lostLines = 0;
    this.#reportLost(lostLines);
  }
}
