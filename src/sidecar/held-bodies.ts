import {
  createHeldFrames,
  decideHeldFrames,
  type FrameContent,
  type FrameNumber,
  type HeldEffect,
  type HeldFrames,
  type HeldMessage,
} from '../core/memory/held-frames.js';
import { answerMemoryBytes, heldLimits } from '../core/memory/resource-shares.js';
import type { Clock } from '../core/model/time.js';
import { Task } from '../core/task/task.js';

/** Options of the bodies that a node holds. */
export interface HeldBodiesOptions {
  /** Memory limit of the process. */
  readonly memoryBytes: number;
  readonly clock: Clock;
  /** @returns bytes of the bodies of callers */
  readonly requestBytes: () => number;
  /** @returns bytes of answers of the backend server that are being received */
  readonly receivedBytes: () => number;
  /** @returns bytes of answers that callers have not read */
  readonly unreadBytes: () => number;
}

/** Bytes of bodies in memory by their holder. */
export interface HeldBytes {
  /** Answers of the backend server that are being received. */
  readonly answers: number;
  /** Answers that callers have not read. */
  readonly unreadAnswers: number;
  /** Bodies of callers. */
  readonly requests: number;
  /** Bodies in frames of other nodes, and of answers that are sent to them. */
  readonly frames: number;
}

/** A body in use. */
interface UsedBody {
  readonly uses: number;
  readonly release: () => void;
}

/**
 * Counts the bodies that a node holds for others. A body counts until its last user has let it go:
 * a request may be answered or given up while a link or the gate still sends its body.
 */
export class HeldBodies {
  readonly #options: HeldBodiesOptions;

  readonly #task: Task<HeldFrames, HeldMessage, HeldEffect>;

  /** Frames that were refused in the current message. */
  readonly #refused = new Set<FrameNumber>();

  readonly #used = new Map<Uint8Array, UsedBody>();

  #nextNumber: FrameNumber = 1;

  /**
   * @param options - limits, clock and the other bytes that the node holds
   */
  constructor(options: HeldBodiesOptions) {
    this.#options = options;
    const { memoryBytes, clock } = options;
    this.#task = new Task({
      initial: createHeldFrames(heldLimits(memoryBytes)),
      decide: decideHeldFrames,
      perform: ({ number }) => this.#refused.add(number),
      clock,
    });
  }

  /** @returns bytes by their holder */
  get held(): HeldBytes {
    const { requestBytes, receivedBytes, unreadBytes } = this.#options;
    return {
      answers: receivedBytes(),
      unreadAnswers: unreadBytes(),
      requests: requestBytes(),
      frames: this.#task.state.heldBytes,
    };
  }

  /** @returns bytes that the node holds beside the bodies of callers */
  get bytesBesideRequests(): number {
    const { answers, unreadAnswers, frames } = this.held;
    return answers + unreadAnswers + frames;
  }

  /** @returns limit of the bytes of answers that are being received */
  get maxReceivedBytes(): number {
    const { unreadAnswers, requests, frames } = this.held;
    return answerMemoryBytes(this.#options.memoryBytes, unreadAnswers, requests + frames);
  }

  /** @returns limit of the bytes of answers that callers have not read */
  get maxUnreadBytes(): number {
    const { answers, requests, frames } = this.held;
    return answerMemoryBytes(this.#options.memoryBytes, answers, requests + frames);
  }

  /**
   * Takes over a frame, if there is room for it.
   *
   * @param content - what its body belongs to
   * @param bytes - its length
   * @returns the function that releases the frame, or null when it is refused
   */
  takeFrame(content: FrameContent, bytes: number): (() => void) | null {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    const { answers, unreadAnswers, requests } = this.held;
    const otherBytes = answers + unreadAnswers + requests;
    this.#task.send({ kind: 'offered', number, content, bytes, otherBytes });
    if (this.#refused.delete(number)) return null;
    return () => this.#task.send({ kind: 'released', number });
  }

  /**
   * Starts to count the uses of a body, with its owner as the first user.
   *
   * @param body - the body
   * @param release - called once, when its last user has let it go
   */
  own(body: Uint8Array, release: () => void): void {
    this.#used.set(body, { uses: 1, release });
  }

  /**
   * Adds a user of a body. A body that nobody owns is not counted.
   *
   * @param body - the body
   */
  retain(body: Uint8Array): void {
    const used = this.#used.get(body);
    if (used !== undefined) this.#used.set(body, { ...used, uses: used.uses + 1 });
  }

  /**
   * Removes a user of a body.
   *
   * @param body - the body
   */
  release(body: Uint8Array): void {
    const used = this.#used.get(body);
    if (used === undefined) return;
    if (used.uses > 1) {
      this.#used.set(body, { ...used, uses: used.uses - 1 });
      return;
    }
    this.#used.delete(body);
    used.release();
  }
}
