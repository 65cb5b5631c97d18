import type { MeshFrame } from '../core/exchange/mesh-frame.js';
import { measureDelay, recordRoundTrip, type PeerClock } from '../core/exchange/peer-clock.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

type CallFrame = Extract<MeshFrame, { readonly kind: 'call' }>;
type PongFrame = Extract<MeshFrame, { readonly kind: 'pong' }>;

/** Calls that arrived late together. */
export interface LateCalls {
  readonly calls: number;
  /** Longest delay of one of them. */
  readonly delayMs: Milliseconds;
}

/** Dependencies of the filter. */
export interface LateCallFilterOptions {
  readonly clock: Clock;
  readonly deliver: (frame: CallFrame) => void;
  readonly onLateCalls: (calls: LateCalls) => void;
}

/** A call with a longer delay is reported. */
const LATE_CALL_MS: Milliseconds = 100;

/** Filter of the calls of one link. It measures how long each one was on its way. */
export class LateCallFilter {
  readonly #options: LateCallFilterOptions;

  /** The first instant of the peer's clock is later than the opening of the link. */
  readonly #openedAt: Instant;

  #peerClock: PeerClock | null = null;

  /**
   * @param options - clock and what to do with calls
   */
  constructor(options: LateCallFilterOptions) {
    this.#options = options;
    this.#openedAt = options.clock.now();
  }

  /**
   * Records the instant of the first frame of the peer.
   *
   * @param peerInstant - when the peer sent it
   */
  recordHello(peerInstant: Instant): void {
    this.#peerClock = recordRoundTrip(this.#peerClock, { sentAt: this.#openedAt, peerInstant });
  }

  /**
   * Passes a call on, and reports it when it is late.
   *
   * @param frame - the call
   */
  receiveCall(frame: CallFrame): void {
    const delayMs = this.#measureDelay(frame);
    if (delayMs > LATE_CALL_MS) this.#options.onLateCalls({ calls: 1, delayMs });
    this.#options.deliver(frame);
  }

  /**
   * Records the echo of a ping.
   *
   * @param pong - the echo
   */
  receivePong({ pingSentAt, sentAt: peerInstant }: PongFrame): void {
    this.#peerClock = recordRoundTrip(this.#peerClock, { sentAt: pingSentAt, peerInstant });
  }

  #measureDelay({ sentAt }: CallFrame): Milliseconds {
    const receivedAt = this.#options.clock.now();
    const before =
      this.#peerClock ?? recordRoundTrip(null, { sentAt: this.#openedAt, peerInstant: sentAt });
    const { clock, delayMs } = measureDelay(before, { sentAt, receivedAt });
    this.#peerClock = clock;
    return delayMs;
  }
}
