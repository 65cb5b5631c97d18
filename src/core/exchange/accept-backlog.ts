import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';

/** Connections that callers have opened and the node has not accepted, as far as it can tell. */
export type AcceptBacklog =
  /** The last poll of the listening socket found no connection. */
  | { readonly kind: 'empty' }
  /** Each poll has found a connection since some instant, so one that waits may be as old as that. */
  | { readonly kind: 'filled'; readonly since: Instant; readonly hasNew: boolean }
  /** New connections are closed unread until a poll finds none. */
  | {
      readonly kind: 'dropping';
      readonly since: Instant;
      readonly dropped: number;
      readonly hasNew: boolean;
    };

/** Events of a listening socket. */
export type AcceptMessage =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'dropped' }
  /** The socket has been polled since the last effect `poll`. */
  | { readonly kind: 'polled' };

/** What the owner of the listening socket has to do. */
export type AcceptEffect =
  /** Poll the sockets once, without waiting. */
  | { readonly kind: 'poll' }
  /** Close new connections as soon as they are accepted. */
  | { readonly kind: 'drop' }
  /** Take new connections again. */
  | { readonly kind: 'accept'; readonly dropped: number; readonly tookMs: Milliseconds };

/**
 * Longest time for which a connection may wait to be accepted. Callers of the platform give an
 * attempt up when a node has not read it after 1 s or a third of their time, and nested calls may
 * have 0.7 s in all.
 */
const MAX_WAIT_MS: Milliseconds = 500;

/** Longest time for which connections are dropped without a break, so that some are served. */
const MAX_DROP_MS: Milliseconds = 500;

/** Backlog of a node that has accepted no connection. */
export const emptyBacklog: AcceptBacklog = { kind: 'empty' };

const POLL: AcceptEffect = { kind: 'poll' };

function recordPoll(before: AcceptBacklog, now: Instant): Step<AcceptBacklog, AcceptEffect> {
  switch (before.kind) {
    case 'empty':
      return step(before);
    case 'filled': {
      if (!before.hasNew) return step(emptyBacklog);
      if (now - before.since < MAX_WAIT_MS) return step({ ...before, hasNew: false }, POLL);
      const dropping: AcceptBacklog = { kind: 'dropping', since: now, dropped: 0, hasNew: false };
      return step<AcceptBacklog, AcceptEffect>(dropping, { kind: 'drop' }, POLL);
    }
    case 'dropping': {
      const { since, dropped, hasNew } = before;
      const tookMs = now - since;
      const accept: AcceptEffect = { kind: 'accept', dropped, tookMs };
      if (!hasNew) return step(emptyBacklog, accept);
      return tookMs < MAX_DROP_MS
        ? step({ ...before, hasNew: false }, POLL)
        : step({ kind: 'filled', since: now, hasNew: false }, accept, POLL);
    }
  }
}

/**
 * Decides whether new connections are taken. The event loop accepts one connection in each turn, the
 * oldest first. A node whose processor is saturated falls behind until it only accepts connections
 * whose callers have left, and answers nobody. It closes those connections unread instead, which is
 * cheap and lets the callers try again at once, and goes on with new ones.
 *
 * @param before - what is known of the backlog
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
      return before.kind === 'empty'
        ? step<AcceptBacklog, AcceptEffect>({ kind: 'filled', since: now, hasNew: true }, POLL)
        : step<AcceptBacklog, AcceptEffect>({ ...before, hasNew: true });
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
