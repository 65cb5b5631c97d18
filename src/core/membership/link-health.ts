import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';

/** Time without any frame after which a ping is sent: while answers are awaited, and idle. */
const HEARTBEAT_INTERVAL_MS = 150;
const IDLE_HEARTBEAT_INTERVAL_MS = 1000;

/** Time without any frame after which a link counts as silent. */
const SILENCE_LIMIT_MS = 500;
const IDLE_SILENCE_LIMIT_MS = 3000;

/**
 * A busy link still carries pings at this interval, since they bring the heads and the age of the
 * last read of the configuration service. It is below the 2 s after which nodes read by themselves.
 */
const MAX_PING_INTERVAL_MS = 1500;

/**
 * The side that was pinged last waits longer, or both ends of an idle link would ping in the same
 * tick, which doubled the heartbeats of an idle mesh.
 */
const STAGGER_FACTOR = 1.4;

/** A tick later than this means that the own process was paused; the peer is not to blame. */
const PAUSE_THRESHOLD_MS = 250;

const TICK_INTERVAL_MS = 50;

/** Two monotonic clocks drift apart by at most this fraction. */
const MAX_DRIFT_RATIO = 0.0005;

/** Messages to the health of one link. */
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

/** What the health of a link asks its task to do. */
export type LinkHealthEffect =
  | { readonly kind: 'send-ping'; readonly sentAt: Instant }
  | { readonly kind: 'send-pong'; readonly echoedSentAt: Instant; readonly receivedAt: Instant }
  /** The link has to be closed and replaced. */
  | { readonly kind: 'silent' };

/** A lower bound of the peer's clock minus the own clock, and when it was learned. */
interface OffsetBound {
  readonly offset: Milliseconds;
  readonly at: Instant;
}

/** State of one link; a new link starts with a new state. */
export interface LinkHealth {
  readonly lastReceivedAt: Instant;
  readonly lastPingSentAt: Instant;
  /** Instant of the last ping of the peer. */
  readonly lastPingReceivedAt: Instant;
  readonly lastTickAt: Instant;
  readonly outstanding: number;
  /** Since when an answer has been awaited without any frame; null when none is. */
  readonly unansweredSince: Instant | null;
  readonly isSilent: boolean;
  readonly offsetBound: OffsetBound | null;
}

/** The state of a link that is not open yet. */
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

/** Moves the instants forward by the time in which the own process did not run. */
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
  // A call that was cancelled keeps the short interval until a frame has cleared the doubt.
  const intervalMs = unansweredSince === null ? IDLE_HEARTBEAT_INTERVAL_MS : HEARTBEAT_INTERVAL_MS;
  const hasPeerPingedLast = state.lastPingReceivedAt > lastPingSentAt;
  const pingAfterMs = hasPeerPingedLast ? intervalMs * STAGGER_FACTOR : intervalMs;
  const isLinkIdle = now - lastReceivedAt >= pingAfterMs && now - lastPingSentAt >= pingAfterMs;
  if (!isLinkIdle && now - lastPingSentAt < MAX_PING_INTERVAL_MS) return step(state);
  return step({ ...state, lastPingSentAt: now }, { kind: 'send-ping', sentAt: now });
}

/**
 * Decides on the heartbeats of one link. Any frame is a sign of life: a ping is sent when nothing
 * was received for the interval, and now and then on a busy link. `tick` comes every 50 ms.
 *
 * @param state - state of the link
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
 * Translates a deadline on the own clock to the peer's clock so that the peer, which acts only
 * before the translated instant, never acts after the deadline. A peer's instant p that has
 * reached this node by its own instant t was read at or before t, so offset = peer - own is at
 * least p - t under any delay; deadline + (p - t), less the drift since then, is never too late.
 *
 * @param state - state of the link
 * @param instant - the deadline on the own clock
 * @returns the deadline on the peer's clock, or null before the peer's clock has been seen
 */
export function toPeerClock(state: LinkHealth, instant: Instant): Instant | null {
  if (state.offsetBound === null) return null;
  const { offset, at } = state.offsetBound;
  return instant + offset - MAX_DRIFT_RATIO * Math.max(0, instant - at);
}
