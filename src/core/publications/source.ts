import type { Instant, Milliseconds } from '../model/time.js';
import { rankByRendezvous } from '../routing/rendezvous.js';
import { step, type Decision } from '../task/decision.js';

/**
 * Nodes of a zone for each of its readers. A reader sends each of its followers what it reads, so
 * its share of a core bounds their number; the calls to the store grow with the number of readers.
 */
const NODES_PER_READER = 40;

/**
 * A feed that is silent for this time is not trusted. A reader sends after each answer of the
 * store, about once a second, so that a reader that is dead, cut off or slow is silent as well.
 * The time and one read of the store together stay below the shortest time in which a change has
 * to be in force, 2 s on the users' platform.
 */
const FEED_TIMEOUT_MS: Milliseconds = 1400;

/** A follower that has not asked for this time is forgotten; it asks once a second. */
export const FOLLOWER_TIMEOUT_MS: Milliseconds = 3000;

/** Who reads the store for this node. */
export type ReaderChoice =
  /** `isAlone` when no other node of the zone is known, so that nobody waits for a feed. */
  | { readonly kind: 'this-node'; readonly isAlone: boolean }
  | { readonly kind: 'peer'; readonly address: string };

/** Where the published values come from. */
export type Source =
  /** This node reads the store; unless `isAlone`, a peer takes what it reads or may soon. */
  | { readonly kind: 'store'; readonly isAlone: boolean }
  | { readonly kind: 'feed'; readonly address: string };

/** What the choice of the source depends on. */
export interface SourceState {
  readonly source: Source;
  readonly reader: ReaderChoice;
  /** Instant of the last feed, whoever sent it; what was published by then is known here. */
  readonly lastFeedAt: Instant;
  readonly lastFollowAt: Instant;
}

/** What changes the choice of the source. */
export type SourceMessage =
  | { readonly kind: 'reader-chosen'; readonly reader: ReaderChoice }
  /** A reader has read the store a moment ago and told what it found. */
  | { readonly kind: 'fed' }
  /** The reader cannot read the store, or the link to it broke. */
  | { readonly kind: 'feed-lost' }
  /** A peer asks to be fed. */
  | { readonly kind: 'followed' }
  | { readonly kind: 'tick' };

/** What follows from a changed choice. */
export interface SourceEffect {
  readonly kind: 'source-changed';
  readonly source: Source;
}

/** A node that has just started knows nothing of peers and reads the store itself. */
export const initialSource: SourceState = {
  source: { kind: 'store', isAlone: true },
  reader: { kind: 'this-node', isAlone: true },
  lastFeedAt: Number.NEGATIVE_INFINITY,
  lastFollowAt: Number.NEGATIVE_INFINITY,
};

function selectSource(
  { reader, lastFeedAt: fedAt, lastFollowAt: followedAt }: SourceState,
  now: Instant,
): Source {
  const isFollowed = now - followedAt < FOLLOWER_TIMEOUT_MS;
  if (reader.kind === 'this-node') return { kind: 'store', isAlone: reader.isAlone && !isFollowed };
  return !isFollowed && now - fedAt < FEED_TIMEOUT_MS
    ? { kind: 'feed', address: reader.address }
    : { kind: 'store', isAlone: false };
}

function isSameSource(left: Source, right: Source): boolean {
  switch (left.kind) {
    case 'store':
      return right.kind === 'store' && right.isAlone === left.isAlone;
    case 'feed':
      return right.kind === 'feed' && right.address === left.address;
  }
}

function applyMessage(state: SourceState, message: SourceMessage, now: Instant): SourceState {
  switch (message.kind) {
    case 'reader-chosen':
      return { ...state, reader: message.reader };
    case 'fed':
      return { ...state, lastFeedAt: now };
    case 'feed-lost':
      return { ...state, lastFeedAt: Number.NEGATIVE_INFINITY };
    case 'followed':
      return { ...state, lastFollowAt: now };
    case 'tick':
      return state;
  }
}

/**
 * Decides whether this node reads the store or is fed by a peer. Nothing has to be agreed: a node
 * that is followed reads whatever it thinks of the others, and a node that hears nothing for a
 * moment reads for itself.
 *
 * @param before - what is known of reader, feed and followers
 * @param message - the message
 * @param now - the current instant
 * @returns the next state, and the source when it changed
 */
export const decideSource: Decision<SourceState, SourceMessage, SourceEffect> = (
  before,
  message,
  now,
) => {
  const next = applyMessage(before, message, now);
  const source = selectSource(next, now);
  if (isSameSource(source, before.source)) return step(next);
  return step({ ...next, source }, { kind: 'source-changed', source });
};

/**
 * Chooses who reads the store for a node: one of a few nodes of its availability zone on which
 * all nodes with the same view agree.
 *
 * @param own - own peer address
 * @param ranked - peer addresses of the zone with the own one, in an order common to all nodes
 * @param isUsable - whether a peer can be reached and reads the store, as far as is known
 * @returns the reader
 */
export function chooseReader(
  own: string,
  ranked: readonly string[],
  isUsable: (address: string) => boolean,
): ReaderChoice {
  const count = Math.max(1, Math.ceil(ranked.length / NODES_PER_READER));
  const readers = ranked.filter((address) => address === own || isUsable(address)).slice(0, count);
  const [reader = own] = readers.includes(own) ? [own] : rankByRendezvous(own, readers);
  return reader === own
    ? { kind: 'this-node', isAlone: ranked.length <= 1 }
    : { kind: 'peer', address: reader };
}
