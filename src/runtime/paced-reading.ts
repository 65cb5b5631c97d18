import type { Socket } from 'node:net';
import { portionBytes } from '../core/reading/answer-cost.js';
import type { ReaderNumber } from '../core/reading/read-pacing.js';
import { ExcessiveAnswer } from './excessive-answer.js';
import type { ReadMeter } from './read-meter.js';
import type { ReadPacer } from './read-pacer.js';

/**
 * Hands the received bytes of a connection out in portions, and none while its reader has used up
 * its share of the processor. Bytes that are not taken stay unread in the system beyond a buffer of
 * the stream, which holds the sender back.
 */
class PacedReading {
  readonly #socket: Socket;

  readonly #meter: ReadMeter;

  readonly #pacer: ReadPacer;

  /** Method of the stream itself. */
  readonly #take: (size?: number) => Buffer | null;

  /** Number at the pacer; null until the connection has to wait for the first time. */
  #reader: ReaderNumber | null = null;

  #isWaiting = false;

  constructor(socket: Socket, meter: ReadMeter, pacer: ReadPacer) {
    this.#socket = socket;
    this.#meter = meter;
    this.#pacer = pacer;
    this.#take = socket.read.bind(socket);
  }

  /**
   * Takes received bytes.
   *
   * @param size - number of bytes, as the stream itself asks for them; one portion by default
   * @returns the bytes, or null when there are none or the connection has to wait
   */
  read(size?: number): Buffer | null {
    const { readableLength, destroyed } = this.#socket;
    if (size !== undefined || readableLength === 0) return this.#take(size);
    // The parser reads on after it has destroyed the connection for an error.
    if (destroyed) return null;
    if (this.#isWaiting || this.#endExcess()) return null;
    if (this.#meter.isShareSpent) {
      this.#wait();
      return null;
    }
    const chunk = this.#take(Math.min(readableLength, portionBytes(this.#meter.lastPortion)));
    if (chunk !== null) this.#meter.addPortion(chunk);
    return chunk;
  }

  /** Closes the connection when its bytes are too many or belong to no answer. */
  #endExcess(): boolean {
    const { isReading, excess } = this.#meter;
    if (isReading && excess === null) return false;
    this.#socket.destroy(excess === null ? undefined : new ExcessiveAnswer(excess));
    return true;
  }

  #wait(): void {
    this.#isWaiting = true;
    this.#reader ??= this.#register();
    this.#pacer.request(this.#reader);
  }

  #register(): ReaderNumber {
    const reader = this.#pacer.add(() => this.#resume());
    this.#socket.once('close', () => this.#pacer.remove(reader));
    return reader;
  }

  #resume(): void {
    this.#isWaiting = false;
    this.#meter.renewShare();
    // The reader takes bytes when the stream says that there are some.
    this.#socket.emit('readable');
  }
}

/**
 * Paces the reading of a connection. Its reader must take bytes with `read`, since a flowing stream
 * passes them on without it.
 *
 * @param socket - connection of which nothing has been read, with or without TLS
 * @param meter - counts what is read
 * @param pacer - grants processor time
 */
export function paceReading(socket: Socket, meter: ReadMeter, pacer: ReadPacer): void {
  const reading = new PacedReading(socket, meter, pacer);
  Object.assign(socket, { read: (size?: number) => reading.read(size) });
}
