import type { Instant, Milliseconds } from '../model/time.js';

/**
 * Lower bound of the own clock minus the clock of a peer. Both clocks are monotonic and may stand
 * still for a time, such as while a host is suspended, or drift apart.
 */
export interface PeerClock {
  readonly differenceMs: Milliseconds;
}

/** An instant of the own clock, and a later one that the peer read from its own clock. */
export interface RoundTrip {
  /** When this node sent what the peer responded to. */
  readonly sentAt: Instant;
  readonly peerInstant: Instant;
}

/** A frame with the instant at which the peer sent it, on the clock of the peer. */
export interface ReceivedFrame {
  readonly sentAt: Instant;
  readonly receivedAt: Instant;
}

/** Result of a frame: the updated clock and the time that the frame spent on its way. */
export interface FrameDelay {
  readonly clock: PeerClock;
  readonly delayMs: Milliseconds;
}

/**
 * Updates the clock of a peer with a round trip. The peer read its clock after `sentAt`, so the
 * difference is at least `sentAt - peerInstant`.
 *
 * @param before - the clock, or null before the first round trip
 * @param roundTrip - both instants
 * @returns the clock with the higher of both bounds
 */
export function recordRoundTrip(
  before: PeerClock | null,
  { sentAt, peerInstant }: RoundTrip,
): PeerClock {
  const differenceMs = sentAt - peerInstant;
  return before === null || before.differenceMs < differenceMs ? { differenceMs } : before;
}

/**
 * Computes how long a frame was on its way: in buffers of the sender, on the link and unread at the
 * receiver. The result is too long by at most the last round trip, and by the time for which the
 * clock of the peer stood still since then.
 *
 * @param before - the clock of the sender
 * @param frame - when it was sent and received
 * @returns the delay, 0 or longer
 */
export function measureDelay(before: PeerClock, { sentAt, receivedAt }: ReceivedFrame): FrameDelay {
  // A frame that seems to arrive before it was sent shows that the own clock stood still.
  const differenceMs = Math.min(before.differenceMs, receivedAt - sentAt);
  return { clock: { differenceMs }, delayMs: receivedAt - sentAt - differenceMs };
}
