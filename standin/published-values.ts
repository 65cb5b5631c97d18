import { createHash } from 'node:crypto';
import { Map } from 'immutable';
import { step } from '../src/core/task/decision.js';
import type { Step } from '../src/core/task/decision.js';
import type { Instant, Milliseconds } from '../src/core/model/time.js';

/** Reads per second over all readers; each watch request counts as one read. */
export const READ_LIMIT_PER_S = 2000;
/** Maximum size of a published value. */
export const VALUE_LIMIT_BYTES = 1_000_000;

/** A published value and its entity tag. */
export interface Value {
  readonly text: string;
  readonly etag: string;
}

/** Body of a control request to `POST /control` of the control listener. */
export type ServiceControl =
  | { readonly kind: 'publish'; readonly name: string; readonly text: string }
  | { readonly kind: 'down'; readonly enabled: boolean }
  /** Serves the version before the current one until disabled. */
  | { readonly kind: 'stale'; readonly enabled: boolean }
  /** Delays the publication of host lists by this time. */
  | { readonly kind: 'lag-hosts'; readonly lagMs: Milliseconds };

/** Requests of readers, expired timers and control requests. */
export type ServiceMessage =
  | { readonly kind: 'read'; readonly id: number; readonly name: string }
  | {
      readonly kind: 'watch';
      readonly id: number;
      readonly name: string;
      readonly after: string;
      readonly waitMs: Milliseconds;
    }
  /** The wait time of the watch has passed, or its reader has disconnected. */
  | { readonly kind: 'watch-end'; readonly id: number }
  | { readonly kind: 'lag-end'; readonly name: string; readonly text: string }
  | { readonly kind: 'control'; readonly control: ServiceControl };

/** Answer to a read or a watch. */
export type ServiceAnswer =
  | { readonly kind: 'value'; readonly value: Value }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'too-many-reads' }
  /** The connection is closed without an answer. */
  | { readonly kind: 'down' };

/** Actions that the service performs after a decision. */
export type ServiceEffect =
  | { readonly kind: 'answer'; readonly id: number; readonly answer: ServiceAnswer }
  | { readonly kind: 'schedule'; readonly afterMs: Milliseconds; readonly message: ServiceMessage };

/** Published values, pending watches and read counters of the service. */
export interface PublishedValues {
  readonly values: Map<string, Value>;
  readonly previous: Map<string, Value>;
  readonly watches: Map<number, { readonly name: string; readonly after: string }>;
  readonly isDown: boolean;
  readonly isStale: boolean;
  readonly hostLagMs: Milliseconds;
  /** Reads since the start; `GET /counters` returns this and `refusedReads`. */
  readonly reads: number;
  readonly refusedReads: number;
  readonly windowStart: Instant;
  readonly windowReads: number;
}

type ServiceStep = Step<PublishedValues, ServiceEffect>;

/** Initial state, without any published value. */
export const NO_PUBLISHED_VALUES: PublishedValues = {
  values: Map(),
  previous: Map(),
  watches: Map(),
  isDown: false,
  isStale: false,
  hostLagMs: 0,
  reads: 0,
  refusedReads: 0,
  windowStart: 0,
  windowReads: 0,
};

function servedValue(state: PublishedValues, name: string): Value | undefined {
  const current = state.values.get(name);
  return state.isStale ? (state.previous.get(name) ?? current) : current;
}

function countRead(state: PublishedValues, now: Instant): PublishedValues {
  const isNewWindow = now - state.windowStart >= 1000;
  const windowReads = isNewWindow ? 1 : state.windowReads + 1;
  const windowStart = isNewWindow ? now : state.windowStart;
  const isRefused = windowReads > READ_LIMIT_PER_S;
  const refusedReads = state.refusedReads + (isRefused ? 1 : 0);
  return { ...state, windowReads, windowStart, refusedReads, reads: state.reads + 1 };
}

function answerEffect(id: number, answer: ServiceAnswer): ServiceEffect {
  return { kind: 'answer', id, answer };
}

/** Answers the watches whose value differs from the version that their reader has. */
function answerChangedWatches(state: PublishedValues): ServiceStep {
  const effects: ServiceEffect[] = [];
  const watches = state.watches.filterNot(({ name, after }, id) => {
    const value = servedValue(state, name);
    if (value === undefined || value.etag === after) return false;
    effects.push(answerEffect(id, { kind: 'value', value }));
    return true;
  });
  return step({ ...state, watches }, ...effects);
}

function publishValue(state: PublishedValues, name: string, text: string): ServiceStep {
  const etag = createHash('sha256').update(text).digest('hex').slice(0, 32);
  const replaced = state.values.get(name);
  const previous = replaced === undefined ? state.previous : state.previous.set(name, replaced);
  return answerChangedWatches({
    ...state,
    previous,
    values: state.values.set(name, { text, etag }),
  });
}

function applyControl(state: PublishedValues, request: ServiceControl): ServiceStep {
  switch (request.kind) {
    case 'publish': {
      const { name, text } = request;
      if (state.hostLagMs === 0 || !name.startsWith('hosts/'))
        return publishValue(state, name, text);
      const message = { kind: 'lag-end', name, text } as const;
      return step(state, { kind: 'schedule', afterMs: state.hostLagMs, message });
    }
    case 'down': {
      if (!request.enabled) return step({ ...state, isDown: false });
      const closedWatches = [...state.watches.keys()].map((id) =>
        answerEffect(id, { kind: 'down' }),
      );
      return step({ ...state, isDown: true, watches: Map() }, ...closedWatches);
    }
    case 'stale':
      return answerChangedWatches({ ...state, isStale: request.enabled });
    case 'lag-hosts':
      return step({ ...state, hostLagMs: request.lagMs });
  }
}

function startWatch(
  state: PublishedValues,
  message: ServiceMessage & { readonly kind: 'watch' },
): ServiceStep {
  const { id, name, after, waitMs } = message;
  const value = servedValue(state, name);
  if (value !== undefined && value.etag !== after)
    return step(state, answerEffect(id, { kind: 'value', value }));
  const watches = state.watches.set(id, { name, after });
  const watchEnd = { kind: 'watch-end', id } as const;
  return step({ ...state, watches }, { kind: 'schedule', afterMs: waitMs, message: watchEnd });
}

/** Refuses a read or a watch during an outage or above the read limit; null admits it. */
function readRefusal(state: PublishedValues): ServiceAnswer | null {
  if (state.isDown) return { kind: 'down' };
  return state.windowReads > READ_LIMIT_PER_S ? { kind: 'too-many-reads' } : null;
}

/**
 * Decides the answers to reads and watches.
 *
 * @param state - the published values and the pending watches
 * @param message - a request, an expired timer or a control request
 * @param now - the current instant
 * @returns the next state and the effects to perform
 */
export function decideService(
  state: PublishedValues,
  message: ServiceMessage,
  now: Instant,
): ServiceStep {
  switch (message.kind) {
    case 'read':
    case 'watch': {
      const counted = countRead(state, now);
      const refused = readRefusal(counted);
      if (refused !== null) return step(counted, answerEffect(message.id, refused));
      if (message.kind === 'watch') return startWatch(counted, message);
      const value = servedValue(counted, message.name);
      const found: ServiceAnswer =
        value === undefined ? { kind: 'absent' } : { kind: 'value', value };
      return step(counted, answerEffect(message.id, found));
    }
    case 'watch-end': {
      if (!state.watches.has(message.id)) return step(state);
      const watches = state.watches.remove(message.id);
      return step({ ...state, watches }, answerEffect(message.id, { kind: 'unchanged' }));
    }
    case 'lag-end':
      return publishValue(state, message.name, message.text);
    case 'control':
      return applyControl(state, message.control);
  }
}
