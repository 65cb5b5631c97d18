import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';

/** Whether new connections of callers are taken, and for how long they wait. */
export type AcceptBacklog =
  /** How long connections wait is not measured before an instant. */
  | { readonly kind: 'accepting'; readonly probeFrom: Instant }
  /** A connection of the node itself waits behind those of callers since some instant. */
  | { readonly kind: 'probing'; readonly since: Instant }
  /** New connections are closed unread until a poll finds none. */
  | {
      readonly kind: 'dropping';
      readonly since: Instant;
      readonly dropped: number;
      /** Whether a connection was found since the last poll. */
      readonly hasNew: boolean;
    };

/** Events of a listening socket. */
export type AcceptMessage =
  /** A connection was accepted; the processor may have had no time to spare lately. */
  | { readonly kind: 'accepted'; readonly isSaturated: boolean }
  /** The node accepted its own connection. */
  | { readonly kind: 'probe-accepted' }
  | { readonly kind: 'dropped' }
  /** The socket has been polled since the last effect `poll`. */
  | { readonly kind: 'polled' };

/** What the owner of the listening socket has to do. */
export type AcceptEffect =
  /** Open a connection to the listening socket. */
  | { readonly kind: 'probe' }
  | { readonly kind: 'close-probe' }
  /** Close new connections as soon as they are accepted. */
  | { readonly kind: 'drop' }
  /** Poll the sockets once, without waiting. */
  | { readonly kind: 'poll' }
  /** Take new connections again. */
  | { readonly kind: 'accept'; readonly dropped: number; readonly tookMs: Milliseconds };

/** Shortest time between two measurements of how long connections wait. */
const PROBE_INTERVAL_MS: Milliseconds = 100;

/**
 * Longest time for which a connection may wait to be accepted. Callers of the platform give an
 * attempt up when a node has not read it after 1 s or a third of their time, and nested calls may
 * have 0.7 s in all.
 */
const MAX_WAIT_MS: Milliseconds = 500;

/** Longest time for which connections are dropped without a break, so that some are served. */
const MAX_DROP_MS: Milliseconds = 500;

/** Backlog of a node that has accepted no connection. */
export const emptyBacklog: AcceptBacklog = {
  kind: 'accepting',
  probeFrom: Number.NEGATIVE_INFINITY,
};

type AcceptStep = Step<AcceptBacklog, AcceptEffect>;

function accepting(now: Instant): AcceptBacklog {
  return { kind: 'accepting', probeFrom: now + PROBE_INTERVAL_MS };
}

function recordAccept(before: AcceptBacklog, isSaturated: boolean, now: Instant): AcceptStep {
  switch (before.kind) {
    case 'accepting':
      return isSaturated && now >= before.probeFrom
        ? step<AcceptBacklog, AcceptEffect>({ kind: 'probing', since: now }, { kind: 'probe' })
        : step(before);
    case 'probing':
      // A probe that failed to connect is never accepted, however soon connections are.
      if (!isSaturated) {
        return step<AcceptBacklog, AcceptEffect>(accepting(now), { kind: 'close-probe' });
      }
      return now - before.since < MAX_WAIT_MS
        ? step(before)
        : step<AcceptBacklog, AcceptEffect>(
            { kind: 'dropping', since: now, dropped: 0, hasNew: true },
            { kind: 'close-probe' },
            { kind: 'drop' },
            { kind: 'poll' },
          );
    case 'dropping':
      return step({ ...before, hasNew: true });
  }
}

function recordPoll(before: AcceptBacklog, now: Instant): AcceptStep {
  switch (before.kind) {
    case 'accepting':
    case 'probing':
      return step(before);
    case 'dropping': {
      const { since, dropped, hasNew } = before;
      const tookMs = now - since;
      return hasNew && tookMs < MAX_DROP_MS
        ? step<AcceptBacklog, AcceptEffect>({ ...before, hasNew: false }, { kind: 'poll' })
        : step<AcceptBacklog, AcceptEffect>(accepting(now), { kind: 'accept', dropped, tookMs });
    }
  }
}

/**
 * Decides whether new connections are taken. The event loop accepts one connection in each turn, the
 * oldest first. A node whose processor is saturated falls behind until it only accepts connections
 * whose callers have left, and answers nobody. It measures how long connections wait by one of its
 * own, and closes those that have waited for too long unread. That is cheap, and lets their callers
 * try again at once.
 *
 * @param before - whether connections are taken
 * @param message - what happened
 * @param now - the current instant
 * @returns the next state, and what to do
 */
export const decideAccepts: Decision<AcceptBacklog, AcceptMessage, AcceptEffect> = (
  before,
  message,
  now,
) => {
  switch (message.kind) {
    case 'accepted':
      return recordAccept(before, message.isSaturated, now);
    case 'probe-accepted':
      return before.kind === 'probing'
        ? step<AcceptBacklog, AcceptEffect>(accepting(now), { kind: 'close-probe' })
        : step<AcceptBacklog, AcceptEffect>(before);
    case 'dropped':
      return before.kind === 'dropping'
        ? step<AcceptBacklog, AcceptEffect>({
            ...before,
            dropped: before.dropped + 1,
            hasNew: true,
          })
        : step<AcceptBacklog, AcceptEffect>(before);
    case 'polled':
      return recordPoll(before, now);
  }
};
