import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';

/** Time without a received frame after which a ping is sent, with calls in flight and when idle. */
const HEARTBEAT_INTERVAL_MS = 150;
const IDLE_HEARTBEAT_INTERVAL_MS = 1000;

/** Time without a received frame after which a link counts as silent. */
const SILENCE_LIMIT_MS = 500;
const IDLE_SILENCE_LIMIT_MS = 3000;

/**
 * Longest interval between pings on a busy link. Pings carry the document heads and the age of the
 * last read of the configuration service, so the interval is below the 2 s after which a node
 * reads the service itself.
 */
const MAX_PING_INTERVAL_MS = 1500;

/**
 * Factor on the ping interval of the side that received the last ping. With equal intervals both
 * ends of an idle link ping in the same tick, which doubles the heartbeats of an idle mesh.
 */
const STAGGER_FACTOR = 1.4;

/** A longer gap between ticks is a pause of the own process, which is not silence of the peer. */
const PAUSE_THRESHOLD_MS = 250;

const TICK_INTERVAL_MS = 50;

/** Maximum drift between two monotonic clocks, as a fraction of the elapsed time. */
const MAX_DRIFT_RATIO = 0.0005;

/** Messages to the health check of one link. */
export type LinkHealthMessage =
  | { readonly kind: 'opened' }
  | { readonly kind: 'frame-received' }
  | { readonly kind: 'ping-received'; readonly sentAt: Instant }
  | {
      readonly kind: 'pong-received';
      readonly echoedSentAt: Instant;
      readonly receivedAt: Instant;
    }
  | { readonly kind: 'calls-outstanding'; readonly count: number }
  | { readonly kind: 'tick' };

/** Effects that the task of a link performs for its health check. */
export type LinkHealthEffect =
  | { readonly kind: 'send-ping'; readonly sentAt: Instant }
  | { readonly kind: 'send-pong'; readonly echoedSentAt: Instant; readonly receivedAt: Instant }
  /** The peer does not respond; the link has to be closed and replaced. */
  | { readonly kind: 'silent' };

/** Lower bound of the peer's clock minus the own clock, and the instant of its measurement. */
interface OffsetBound {
  readonly offset: Milliseconds;
  readonly at: Instant;
}

/** Health of one link; a new link starts with a new state. */
export interface LinkHealth {
  readonly lastReceivedAt: Instant;
  readonly lastPingSentAt: Instant;
  /** Instant of the last ping from the peer. */
  readonly lastPingReceivedAt: Instant;
  readonly lastTickAt: Instant;
  /** Number of calls in flight on the link. */
  readonly outstanding: number;
  /** Start of the wait for an answer without any received frame; null when no answer is awaited. */
  readonly unansweredSince: Instant | null;
  readonly isSilent: boolean;
  readonly offsetBound: OffsetBound | null;
}

/** Health of a link that is not open yet. */
export const initialLinkHealth: LinkHealth = {
  lastReceivedAt: 0,
  lastPingSentAt: 0,
  lastPingReceivedAt: 0,
  lastTickAt: 0,
  outstanding: 0,
  unansweredSince: null,
  isSilent: false,
  offsetBound: null,
};

function recordFrame(state: LinkHealth, now: Instant): LinkHealth {
  const unansweredSince = state.outstanding > 0 ? now : null;
  return { ...state, lastReceivedAt: now, unansweredSince };
}

function updateOffsetBound(state: LinkHealth, peerInstant: Instant, now: Instant): LinkHealth {
  const offset = peerInstant - now;
  const { offsetBound } = state;
  const isTighter =
    offsetBound === null || offset > offsetBound.offset - MAX_DRIFT_RATIO * (now - offsetBound.at);
  return isTighter ? { ...state, offsetBound: { offset, at: now } } : state;
}

/** Shifts the instants by the time in which the own process did not run. */
function compensatePause(state: LinkHealth, now: Instant): LinkHealth {
  const gapMs = now - state.lastTickAt;
  const pausedMs = gapMs > PAUSE_THRESHOLD_MS ? gapMs - TICK_INTERVAL_MS : 0;
  const { lastReceivedAt, unansweredSince } = state;
  return {
    ...state,
    lastTickAt: now,
    lastReceivedAt: Math.min(now, lastReceivedAt + pausedMs),
    unansweredSince: unansweredSince === null ? null : Math.min(now, unansweredSince + pausedMs),
  };
}

function checkLiveness(state: LinkHealth, now: Instant): Step<LinkHealth, LinkHealthEffect> {
  if (state.isSilent) return step(state);
  const { lastReceivedAt, lastPingSentAt, outstanding, unansweredSince } = state;
  const isUnanswered =
    outstanding > 0 && unansweredSince !== null && now - unansweredSince >= SILENCE_LIMIT_MS;
  if (isUnanswered || now - lastReceivedAt >= IDLE_SILENCE_LIMIT_MS) {
    return step({ ...state, isSilent: true }, { kind: 'silent' });
  }
  // After a cancelled call the short interval applies until a frame shows that the link works.
  const intervalMs = unansweredSince === null ? IDLE_HEARTBEAT_INTERVAL_MS : HEARTBEAT_INTERVAL_MS;
  const hasPeerPingedLast = state.lastPingReceivedAt > lastPingSentAt;
  const pingAfterMs = hasPeerPingedLast ? intervalMs * STAGGER_FACTOR : intervalMs;
  const isLinkIdle = now - lastReceivedAt >= pingAfterMs && now - lastPingSentAt >= pingAfterMs;
  if (!isLinkIdle && now - lastPingSentAt < MAX_PING_INTERVAL_MS) return step(state);
  return step({ ...state, lastPingSentAt: now }, { kind: 'send-ping', sentAt: now });
}

/**
 * Decides on the heartbeats of one link. Any received frame proves liveness. A ping is sent when
 * none was received for the heartbeat interval, and at least every 1.5 s on a busy link. `tick` is
 * expected every 50 ms.
 *
 * @param state - health of the link
 * @param message - the message
 * @param now - the current instant
 * @returns the step
 */
export const decideLinkHealth: Decision<LinkHealth, LinkHealthMessage, LinkHealthEffect> = (
  state,
  message,
  now,
) => {
  switch (message.kind) {
    case 'opened':
      return step(
        { ...initialLinkHealth, lastReceivedAt: now, lastPingSentAt: now, lastTickAt: now },
        { kind: 'send-ping', sentAt: now },
      );
    case 'frame-received':
      return step(recordFrame(state, now));
    case 'ping-received':
      return step(
        updateOffsetBound(
          { ...recordFrame(state, now), lastPingReceivedAt: now },
          message.sentAt,
          now,
        ),
        {
          kind: 'send-pong',
          echoedSentAt: message.sentAt,
          receivedAt: now,
        },
      );
    case 'pong-received':
      return step(updateOffsetBound(recordFrame(state, now), message.receivedAt, now));
    case 'calls-outstanding': {
      const isFirst = message.count > 0 && state.unansweredSince === null;
      const unansweredSince = isFirst ? now : state.unansweredSince;
      return step({ ...state, outstanding: message.count, unansweredSince });
    }
    case 'tick':
      return checkLiveness(compensatePause(state, now), now);
  }
};

/**
 * Converts a deadline on the own clock to the peer's clock. A peer that acts only before the
 * converted instant never acts after the deadline. An instant p of the peer's clock that this node
 * receives at its own instant t was read at or before t, so the offset (peer - own) is at least
 * p - t under any delay; deadline + (p - t), less the drift since then, is never too late.
 *
 * @param state - health of the link
 * @param instant - the deadline on the own clock
 * @returns the deadline on the peer's clock, or null while no instant of that clock is known
 */
export function toPeerClock(state: LinkHealth, instant: Instant): Instant | null {
  if (state.offsetBound === null) return null;
  const { offset, at } = state.offsetBound;
  return instant + offset - MAX_DRIFT_RATIO * Math.max(0, instant - at);
}
