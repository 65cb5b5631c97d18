import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Something that one end of a connection sent: bytes, or the end of the connection. */
export type Segment = { readonly kind: 'bytes'; readonly bytes: Buffer } | { readonly kind: 'end' };

/** One direction of a connection, whose segments can be held up. */
export class HeldDirection {
  readonly #target: Socket;

  readonly #segments: Segment[] = [];

  #isHeld = false;

  #isDelivering = false;

  #gapMs = 0;

  /**
   * @param target - the end that receives
   */
  constructor(target: Socket) {
    this.#target = target;
  }

  /** Holds up what follows. */
  hold(): void {
    this.#isHeld = true;
  }

  /**
   * Delivers what was held up, in order.
   *
   * @param gapMs - time between two segments
   */
  release(gapMs: number): void {
    this.#isHeld = false;
    this.#gapMs = gapMs;
    void this.#deliver();
  }

  /**
   * Adds a segment, which is delivered at once unless segments are held up.
   *
   * @param segment - what the other end sent
   */
  add(segment: Segment): void {
    this.#segments.push(segment);
    void this.#deliver();
  }

  async #deliver(): Promise<void> {
    if (this.#isDelivering) return;
    this.#isDelivering = true;
    for (;;) {
      const segment = this.#isHeld ? undefined : this.#segments.shift();
      if (segment === undefined) break;
      if (segment.kind === 'end') this.#target.destroy();
      else this.#target.write(segment.bytes);
      // A backlog arrives in order, one segment after the other.
      if (this.#segments.length > 0) await sleep(this.#gapMs);
    }
    this.#isDelivering = false;
    this.#gapMs = 0;
  }
}
