import type { IncomingMessage } from 'node:http';
import {
  createBodyMemory,
  decideBodyAdmission,
  type BodyEffect,
  type BodyLimits,
  type BodyMemory,
  type BodyMessage,
  type BodyNumber,
} from '../core/exchange/body-admission.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import { Task } from '../core/task/task.js';
import { BodyBuffer } from '../runtime/body-buffer.js';
import type { HeldBodies } from './held-bodies.js';

/** Result of reading a body. */
export type BodyResult =
  | {
      readonly kind: 'complete';
      readonly body: Uint8Array;
      /** Called once, when the request no longer needs the body. */
      readonly release: () => void;
    }
  | { readonly kind: 'too-large' }
  /** The body did not become whole in time; `isHeldBack` tells whether this node was not reading. */
  | { readonly kind: 'late'; readonly isHeldBack: boolean };

/** Limits of one body. */
export interface BodyReadOptions {
  readonly maxBytes: number;
  /** @returns time until the body has to be whole; null for any time */
  readonly timeLimit: () => Milliseconds | null;
}

/**
 * Mean size of the chunks from which a body can be held back. Node.js reads ahead up to 64 KiB of a
 * body that is paused, and keeps a buffer of a hundred bytes or more for each of its chunks; from
 * this size on these take less than the bytes themselves.
 */
const MIN_PAUSED_CHUNK_BYTES = 256;

/** A body of fewer chunks is held back in any case; it may just be a small one. */
const MIN_REFUSED_CHUNKS = 16;

/** How often the memory that others have released is granted to bodies that wait for it. */
const RESUME_INTERVAL_MS: Milliseconds = 50;

/** A body that is being read. */
interface BodyReading {
  readonly request: IncomingMessage;
  readonly buffer: BodyBuffer;
  /** Refuses the request. */
  readonly refuse: () => void;
}

function hasSmallChunks({ length, chunks }: BodyBuffer): boolean {
  return chunks >= MIN_REFUSED_CHUNKS && length < chunks * MIN_PAUSED_CHUNK_BYTES;
}

/** Reads the bodies of requests into memory, of which they share a limited part. */
export class RequestBodies {
  readonly #admission: Task<BodyMemory, BodyMessage, BodyEffect>;

  readonly #reading = new Map<BodyNumber, BodyReading>();

  readonly #bodies: HeldBodies;

  #nextNumber: BodyNumber = 1;

  #resumeTimer: NodeJS.Timeout | null = null;

  /**
   * @param limits - limits of the bodies, in bytes
   * @param bodies - counts all bodies that the node holds
   * @param clock - the clock
   */
  constructor(limits: BodyLimits, bodies: HeldBodies, clock: Clock) {
    this.#bodies = bodies;
    this.#admission = new Task({
      initial: createBodyMemory(limits),
      decide: decideBodyAdmission,
      perform: (effect) => this.#perform(effect),
      clock,
    });
  }

  /** @returns bytes that the bodies hold, or may hold after their next read */
  get heldBytes(): number {
    const { smallBytes, waitingBytes, grantedBytes } = this.#admission.state;
    return smallBytes + waitingBytes + grantedBytes;
  }

  /**
   * Changes the limit of one body.
   *
   * @param bodyBytes - the limit, in bytes
   */
  limitBody(bodyBytes: number): void {
    this.#admission.send({ kind: 'limited', bodyBytes });
  }

  /**
   * Checks whether a request has a body.
   *
   * @param request - the request
   * @returns whether a body follows the head of the request
   */
  static hasBody({ headers }: IncomingMessage): boolean {
    return 'content-length' in headers || 'transfer-encoding' in headers;
  }

  /**
   * Reads the body of a request that has one.
   *
   * @param request - the request
   * @param options - limits of its body
   * @param onResult - called at most once; never when the connection ends before the body
   */
  read(
    request: IncomingMessage,
    options: BodyReadOptions,
    onResult: (result: BodyResult) => void,
  ): void {
    if (Number(request.headers['content-length'] ?? 0) > options.maxBytes) {
      request.resume();
      onResult({ kind: 'too-large' });
    } else this.#readChunks(request, options, onResult);
  }

  #readChunks(
    request: IncomingMessage,
    { maxBytes, timeLimit }: BodyReadOptions,
    onResult: (result: BodyResult) => void,
  ): void {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    const declaredLength = request.headers['content-length'];
    const declaredBytes = declaredLength === undefined ? null : Number(declaredLength);
    const buffer = new BodyBuffer(declaredBytes);
    let countedBytes = 0;
    let timer: NodeJS.Timeout | null = null;
    const release = (): void => this.#admission.send({ kind: 'released', number });
    /** Ends the reading once, and tells whether it was still going on. */
    const endReading = (): boolean => {
      if (timer !== null) clearTimeout(timer);
      return this.#reading.delete(number);
    };
    const giveUp = (result: BodyResult): void => {
      if (!endReading()) return;
      buffer.clear();
      release();
      // The rest is read and dropped, or the caller could not read the answer.
      request.resume();
      onResult(result);
    };
    this.#reading.set(number, {
      request,
      buffer,
      refuse: () => giveUp({ kind: 'late', isHeldBack: true }),
    });
    const timeoutMs = timeLimit();
    if (timeoutMs !== null) {
      timer = setTimeout(() => {
        const isHeldBack = this.#admission.state.paused.has(number);
        giveUp({ kind: 'late', isHeldBack });
      }, timeoutMs);
    }
    request.on('data', (chunk: Buffer) => {
      if (!this.#reading.has(number)) return;
      buffer.add(chunk);
      if (buffer.length > maxBytes) {
        giveUp({ kind: 'too-large' });
        return;
      }
      const bytes = buffer.heldBytes - countedBytes;
      if (bytes <= 0) return;
      countedBytes += bytes;
      this.#updateShared();
      this.#admission.send({ kind: 'received', number, bytes, declaredBytes });
    });
    request.on('end', () => {
      if (!endReading()) return;
      const body = buffer.take();
      this.#bodies.own(body, release);
      onResult({ kind: 'complete', body, release: () => this.#bodies.release(body) });
    });
    request.on('close', () => {
      // A body that is held back may have arrived completely without ever being read to its end.
      if (endReading()) release();
    });
    // The close event that follows handles an incomplete request.
    request.on('error', () => {});
  }

  #updateShared(): void {
    const sharedBytes = this.#bodies.bytesBesideRequests;
    if (sharedBytes !== this.#admission.state.sharedBytes) {
      this.#admission.send({ kind: 'shared', sharedBytes });
    }
  }

  #resumeLater(): void {
    this.#resumeTimer ??= setTimeout(() => {
      this.#resumeTimer = null;
      this.#updateShared();
      if (this.#admission.state.paused.size > 0) this.#resumeLater();
    }, RESUME_INTERVAL_MS);
  }

  #perform({ kind, number }: BodyEffect): void {
    const reading = this.#reading.get(number);
    if (reading === undefined) return;
    switch (kind) {
      case 'pause':
        if (hasSmallChunks(reading.buffer)) reading.refuse();
        else reading.request.pause();
        this.#resumeLater();
        break;
      case 'refuse':
        reading.refuse();
        break;
      case 'resume':
        reading.request.resume();
        break;
    }
  }
}
