import { Map as PersistentMap, OrderedSet } from 'immutable';
import { step, type Decision, type Step } from '../task/decision.js';

/** Number of a request body, unique within a node. */
export type BodyNumber = number;

/** Limits of the request bodies that a node holds in memory. */
export interface BodyLimits {
  /** Bytes of all bodies together. */
  readonly totalBytes: number;
  /** Bytes of one body. */
  readonly bodyBytes: number;
}

interface HeldBody {
  readonly heldBytes: number;
  /** Bytes that it may hold when it is whole: its declared length, or the limit of a body. */
  readonly wholeBytes: number;
  /** Whether the caller stated its length, for which memory is taken as a whole. */
  readonly hasLength: boolean;
  /**
   * Bytes granted to it outside of the reserve for small bodies: its length, if it has one, or else
   * those that it holds with those of its next read. 0 while it is small, or has not been granted any.
   */
  readonly grantedBytes: number;
}

/** Request bodies in memory, and those that are not read further at the moment. */
export interface BodyMemory {
  readonly limits: BodyLimits;
  /** Bytes that the node holds beside these bodies, which are taken off the memory for them. */
  readonly sharedBytes: number;
  readonly bodies: PersistentMap<BodyNumber, HeldBody>;
  /** In the order in which they were paused. */
  readonly paused: OrderedSet<BodyNumber>;
  /** Bytes that are held in the reserve for small bodies. */
  readonly smallBytes: number;
  /** First bytes of large bodies that have not been granted any memory. */
  readonly waitingBytes: number;
  readonly grantedBytes: number;
}

/** What happened to a body. */
export type BodyMessage =
  | { readonly kind: 'limited'; readonly bodyBytes: number }
  | { readonly kind: 'shared'; readonly sharedBytes: number }
  | {
      readonly kind: 'received';
      readonly number: BodyNumber;
      readonly bytes: number;
      /** Length that the caller stated; null for a body in chunks. */
      readonly declaredBytes: number | null;
    }
  /** The body is no longer held, whether it was whole or not. */
  | { readonly kind: 'released'; readonly number: BodyNumber };

/** Action on the request of a body. A refused one has to be released. */
export interface BodyEffect {
  readonly kind: 'pause' | 'resume' | 'refuse';
  readonly number: BodyNumber;
}

/** Part of the memory for bodies that is reserved for small ones, and for those that wait. */
const SMALL_SHARE = 0.1;

/**
 * Part of the memory for bodies that is left for large ones in any case. Without it, calls of other
 * nodes could hold up the callers of this one for as long as they arrive.
 */
const MIN_LARGE_SHARE = 0.25;

/** A body up to this size counts as small; a read from a socket returns at most as much. */
const SMALL_BODY_BYTES = 65_536;

/**
 * Creates the state of a node without bodies.
 *
 * @param limits - limits of the bodies, in bytes
 * @returns the state
 */
export function createBodyMemory(limits: BodyLimits): BodyMemory {
  return {
    limits,
    sharedBytes: 0,
    bodies: PersistentMap(),
    paused: OrderedSet(),
    smallBytes: 0,
    waitingBytes: 0,
    grantedBytes: 0,
  };
}

function reserveBytes({ totalBytes }: BodyLimits): number {
  return totalBytes * SMALL_SHARE;
}

/** Bytes for all bodies outside of the reserve. */
function capacity(limits: BodyLimits): number {
  return limits.totalBytes - reserveBytes(limits);
}

/** Bytes for all bodies outside of the reserve, beside the other bytes that the node holds. */
function unsharedBytes({ limits, sharedBytes }: BodyMemory): number {
  return Math.max(capacity(limits) - sharedBytes, limits.totalBytes * MIN_LARGE_SHARE);
}

/** Checks whether a body is known to be a large one that takes its memory as a whole. */
function isKnownLarge({ hasLength, wholeBytes }: HeldBody): boolean {
  return hasLength && wholeBytes > SMALL_BODY_BYTES;
}

function smallBytesOf(body: HeldBody | null | undefined): number {
  return body?.grantedBytes === 0 && !isKnownLarge(body) ? body.heldBytes : 0;
}

function waitingBytesOf(body: HeldBody | null | undefined): number {
  return body?.grantedBytes === 0 && isKnownLarge(body) ? body.heldBytes : 0;
}

/** Replaces a body, or removes it, and counts its bytes. */
function setBody(state: BodyMemory, number: BodyNumber, next: HeldBody | null): BodyMemory {
  const before = state.bodies.get(number);
  const grantedBytes = (next?.grantedBytes ?? 0) - (before?.grantedBytes ?? 0);
  return {
    ...state,
    bodies: next === null ? state.bodies.delete(number) : state.bodies.set(number, next),
    smallBytes: state.smallBytes + smallBytesOf(next) - smallBytesOf(before),
    waitingBytes: state.waitingBytes + waitingBytesOf(next) - waitingBytesOf(before),
    grantedBytes: state.grantedBytes + grantedBytes,
  };
}

/**
 * Checks that all bodies can still become whole one after the other, each with the memory that those
 * before it have released (the banker's algorithm for one resource).
 */
function isSafe(state: BodyMemory): boolean {
  const { limits, bodies, grantedBytes } = state;
  let freeBytes = unsharedBytes(state) - grantedBytes;
  if (freeBytes >= limits.bodyBytes) return true;
  // A body that lacks only its end may never release its memory.
  if (freeBytes < 0) return false;
  const needs = [...bodies.values()]
    .filter((body) => body.grantedBytes > 0)
    .map((body) => ({ ...body, missingBytes: body.wholeBytes - body.grantedBytes }));
  needs.sort((left, right) => left.missingBytes - right.missingBytes);
  return needs.every((need) => {
    const canBecomeWhole = need.missingBytes <= 0 || need.missingBytes <= freeBytes;
    freeBytes += need.grantedBytes;
    return canBecomeWhole;
  });
}

/**
 * Grants one more read to a body, if it fits the reserve or is safe; null otherwise. A body with a
 * length is granted all of it, as its buffer has the whole length soon after its first bytes.
 */
function grantRead(state: BodyMemory, number: BodyNumber, body: HeldBody): BodyMemory | null {
  const { heldBytes, wholeBytes, grantedBytes } = body;
  const isLarge = isKnownLarge(body);
  const isSmall = !isLarge && grantedBytes === 0 && heldBytes <= SMALL_BODY_BYTES;
  if (isSmall && state.smallBytes <= reserveBytes(state.limits)) return state;
  const nextBytes = isLarge ? wholeBytes : Math.min(heldBytes + SMALL_BODY_BYTES, wholeBytes);
  if (grantedBytes >= nextBytes) return state;
  const next = setBody(state, number, { ...body, grantedBytes: nextBytes });
  return isSafe(next) ? next : null;
}

/** Resumes the paused bodies that can be read further, in the order in which they were paused. */
function resumePaused(before: BodyMemory): Step<BodyMemory, BodyEffect> {
  let state = before;
  const resumed: BodyNumber[] = [];
  before.paused.forEach((number) => {
    const body = state.bodies.get(number);
    const next = body === undefined ? null : grantRead(state, number, body);
    if (next === null) return;
    state = next;
    resumed.push(number);
  });
  return step(
    { ...state, paused: state.paused.subtract(resumed) },
    ...resumed.map((number): BodyEffect => ({ kind: 'resume', number })),
  );
}

function receive(
  state: BodyMemory,
  { number, bytes, declaredBytes }: BodyMessage & { readonly kind: 'received' },
): Step<BodyMemory, BodyEffect> {
  const { limits } = state;
  const before = state.bodies.get(number);
  // A body that is larger than the memory for bodies is read when nothing else is held.
  const wholeBytes = Math.min(declaredBytes ?? limits.bodyBytes, capacity(limits));
  const hasLength = declaredBytes !== null;
  const body = before ?? { heldBytes: 0, wholeBytes, hasLength, grantedBytes: 0 };
  const received: HeldBody = { ...body, heldBytes: body.heldBytes + bytes };
  const next = setBody(state, number, received);
  if (received.heldBytes >= received.wholeBytes) return step(next);
  const granted = grantRead(next, number, received);
  if (granted !== null) return step(granted);
  if (next.waitingBytes > reserveBytes(limits) && isKnownLarge(received)) {
    return step(next, { kind: 'refuse', number });
  }
  return step({ ...next, paused: next.paused.add(number) }, { kind: 'pause', number });
}

/**
 * Decides which request bodies are read further. A body is read only while all bodies can still
 * become whole, so bodies that compete for memory cannot wait for each other for good. Small bodies
 * have a reserve and do not wait for large ones. Large bodies that wait hold their first bytes, so
 * those beyond another such part of the memory are refused.
 *
 * @param state - the bodies in memory
 * @param message - what happened to a body
 * @returns the next state, and the requests to pause, to resume or to refuse
 */
export const decideBodyAdmission: Decision<BodyMemory, BodyMessage, BodyEffect> = (
  state,
  message,
) => {
  switch (message.kind) {
    case 'limited':
      return resumePaused({ ...state, limits: { ...state.limits, bodyBytes: message.bodyBytes } });
    case 'shared': {
      const next = { ...state, sharedBytes: message.sharedBytes };
      return next.sharedBytes < state.sharedBytes ? resumePaused(next) : step(next);
    }
    case 'received':
      return receive(state, message);
    case 'released': {
      const without = setBody(state, message.number, null);
      return resumePaused({ ...without, paused: without.paused.delete(message.number) });
    }
  }
};
