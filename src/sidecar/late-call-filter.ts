import { afterDelay } from '../core/exchange/mesh-call.js';
import type { CallNumber, MeshFrame } from '../core/exchange/mesh-frame.js';
import { measureDelay, recordRoundTrip, type PeerClock } from '../core/exchange/peer-clock.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

type CallFrame = Extract<MeshFrame, { readonly kind: 'call' }>;
type PongFrame = Extract<MeshFrame, { readonly kind: 'pong' }>;

/** Calls that arrived late together. */
export interface LateCalls {
  readonly calls: number;
  /** How many of them were cancelled before they were passed on. */
  readonly cancelled: number;
  /** Longest delay of one of them. */
  readonly delayMs: Milliseconds;
}

/** Dependencies of the filter. */
export interface LateCallFilterOptions {
  readonly clock: Clock;
  /** Passes a call on, with its times counted from now. */
  readonly deliver: (frame: CallFrame) => void;
  /** Sends a ping, which the peer echoes behind everything that it sent before. */
  readonly sendPing: (sentAt: Instant) => void;
  /** Called when the calls of a late link have been cancelled or passed on. */
  readonly onLateCalls: (calls: LateCalls) => void;
}

/**
 * A call with a longer delay waits until the peer confirms it. A shorter one is started at once: its
 * cancellation is at most as late, well within the half second in which a departure has to count.
 */
const LATE_CALL_MS: Milliseconds = 100;

/**
 * Filter of the calls of one link. It takes the time that a call was on its way off its deadline,
 * and holds a late call until its peer has echoed a ping. The echo follows the cancellations of
 * callers that left meanwhile, and never comes when the peer has given the link up.
 */
export class LateCallFilter {
  readonly #options: LateCallFilterOptions;

  /** The first instant of the peer's clock is later than the opening of the link. */
  readonly #openedAt: Instant;

  readonly #held = new Map<CallNumber, CallFrame>();

  #peerClock: PeerClock | null = null;

  #pingSentAt: Instant | null = null;

  #late: LateCalls = { calls: 0, cancelled: 0, delayMs: 0 };

  /**
   * @param options - clock and what to do with calls
   */
  constructor(options: LateCallFilterOptions) {
    this.#options = options;
    this.#openedAt = options.clock.now();
  }

  /** @returns whether the filter waits for the echo of a ping */
  get isWaiting(): boolean {
    return this.#pingSentAt !== null;
  }

  /**
   * Records the instant of the first frame of the peer.
   *
   * @param peerInstant - when the peer sent it, unless its version does not say so
   */
  recordHello(peerInstant: Instant | undefined): void {
    if (peerInstant === undefined) return;
    this.#peerClock = recordRoundTrip(this.#peerClock, { sentAt: this.#openedAt, peerInstant });
  }

  /**
   * Passes a call on, or holds it when it is late.
   *
   * @param frame - the call
   */
  receiveCall(frame: CallFrame): void {
    const delayMs = this.#measureDelay(frame);
    if (delayMs <= LATE_CALL_MS) {
      this.#deliver(frame, delayMs);
      return;
    }
    this.#held.set(frame.number, frame);
    this.#late = {
      ...this.#late,
      calls: this.#late.calls + 1,
      delayMs: Math.max(this.#late.delayMs, delayMs),
    };
    if (this.#pingSentAt !== null) return;
    this.#pingSentAt = this.#options.clock.now();
    this.#options.sendPing(this.#pingSentAt);
  }

  /**
   * Removes a held call.
   *
   * @param number - number of the call
   * @returns whether the call was held, and has not been passed on
   */
  cancel(number: CallNumber): boolean {
    const isHeld = this.#held.delete(number);
    if (isHeld) this.#late = { ...this.#late, cancelled: this.#late.cancelled + 1 };
    return isHeld;
  }

  /**
   * Passes the held calls on when the echo of their ping arrives.
   *
   * @param pong - the echo of a ping
   */
  receivePong({ pingSentAt, sentAt: peerInstant }: PongFrame): void {
    if (pingSentAt === undefined || peerInstant === undefined) return;
    this.#peerClock = recordRoundTrip(this.#peerClock, { sentAt: pingSentAt, peerInstant });
    if (this.#pingSentAt === null || pingSentAt < this.#pingSentAt) return;
    const confirmed = [...this.#held.values()];
    this.#finish();
    confirmed.forEach((frame) => this.#deliver(frame, this.#measureDelay(frame)));
  }

  /** Drops the held calls of a closed link: the peer takes them as lost. */
  close(): void {
    this.#late = { ...this.#late, cancelled: this.#late.cancelled + this.#held.size };
    if (this.#pingSentAt !== null) this.#finish();
  }

  #finish(): void {
    this.#options.onLateCalls(this.#late);
    this.#held.clear();
    this.#pingSentAt = null;
    this.#late = { calls: 0, cancelled: 0, delayMs: 0 };
  }

  /** Time for which a call was on its way; 0 from a node of an earlier version. */
  #measureDelay({ sentAt }: CallFrame): Milliseconds {
    if (sentAt === undefined) return 0;
    const receivedAt = this.#options.clock.now();
    const before =
      this.#peerClock ?? recordRoundTrip(null, { sentAt: this.#openedAt, peerInstant: sentAt });
    const { clock, delayMs } = measureDelay(before, { sentAt, receivedAt });
    this.#peerClock = clock;
    return delayMs;
  }

  #deliver({ kind, number, call, sentAt }: CallFrame, delayMs: Milliseconds): void {
    this.#options.deliver({ kind, number, call: afterDelay(call, delayMs), sentAt });
  }
}
