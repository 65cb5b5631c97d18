import type { Instant, Milliseconds } from '../model/time.js';
import { rankByRendezvous } from '../routing/rendezvous.js';
import { step, type Decision } from '../task/decision.js';

/**
 * Number of nodes in a zone for each reader. A reader sends each change to all of its followers, so
 * its CPU budget limits their number; the calls to the store grow with the number of readers.
 */
const NODES_PER_READER = 40;

/**
 * Time without a feed after which the first standby of a reader reads the store itself. A reader
 * sends a feed after each answer of the store, about once a second, so a missing feed means that
 * the reader has failed, is unreachable or is slow.
 */
const FEED_TIMEOUT_MS: Milliseconds = 1250;

/**
 * Time over which the followers of a reader replace it one after the other. The first one that can
 * read the store feeds the others, which then need not; without it, the loss of one reader would
 * make its whole zone call the store at once. Together with the timeout and one slow read of the
 * store, 0.25 s, it stays below the shortest time in which a change has to be in force, 2 s on the
 * users' platform.
 */
const STANDBY_SPREAD_MS: Milliseconds = 300;

/** Time without a request after which a follower is removed; it sends one each second. */
export const FOLLOWER_TIMEOUT_MS: Milliseconds = 3000;

/** The node that reads the store for this node. */
export type ReaderChoice =
  { readonly kind: 'this-node' } | { readonly kind: 'peer'; readonly address: string };

/** Source of the published values. */
export type Source =
  /** This node reads the store. */
  { readonly kind: 'store' } | { readonly kind: 'feed'; readonly address: string };

/** Current source, and the inputs of its choice. */
export interface SourceState {
  readonly source: Source;
  readonly reader: ReaderChoice;
  /** Instant of the last feed from any reader; all values published by then are known. */
  readonly lastFeedAt: Instant;
  readonly lastFollowAt: Instant;
  /** Time for which this node waits for the standbys before it, once the feed is missing. */
  readonly standbyDelayMs: Milliseconds;
}

/** Messages that affect the choice of the source. */
export type SourceMessage =
  | {
      readonly kind: 'reader-chosen';
      readonly reader: ReaderChoice;
      readonly standbyDelayMs: Milliseconds;
    }
  /** A reader read the store this long ago and sent the result. */
  | { readonly kind: 'feed-received'; readonly ageMs: Milliseconds }
  /** The reader cannot read the store, or the link to it was lost. */
  | { readonly kind: 'feed-lost' }
  /** A peer requests a feed from this node. */
  | { readonly kind: 'follow-received' }
  | { readonly kind: 'tick' };

/** Effect of a changed choice. */
export interface SourceEffect {
  readonly kind: 'source-changed';
  readonly source: Source;
}

/** Initial state: a node that has just started has no peers and reads the store itself. */
export const initialSource: SourceState = {
  source: { kind: 'store' },
  reader: { kind: 'this-node' },
  lastFeedAt: Number.NEGATIVE_INFINITY,
  lastFollowAt: Number.NEGATIVE_INFINITY,
  standbyDelayMs: 0,
};

/**
 * Tells when a node reads the store unless it is fed before.
 *
 * @param state - state of the source
 * @returns the instant, in the past when the node reads the store already
 */
export function feedDeadline({ lastFeedAt, standbyDelayMs }: SourceState): Instant {
  return lastFeedAt + FEED_TIMEOUT_MS + standbyDelayMs;
}

function selectSource(state: SourceState, now: Instant): Source {
  const { reader, lastFollowAt } = state;
  const isFollowed = now - lastFollowAt < FOLLOWER_TIMEOUT_MS;
  const isFed = reader.kind === 'peer' && !isFollowed && now < feedDeadline(state);
  return isFed ? { kind: 'feed', address: reader.address } : { kind: 'store' };
}

function isSameSource(left: Source, right: Source): boolean {
  switch (left.kind) {
    case 'store':
      return right.kind === 'store';
    case 'feed':
      return right.kind === 'feed' && right.address === left.address;
  }
}

function applyMessage(state: SourceState, message: SourceMessage, now: Instant): SourceState {
  switch (message.kind) {
    case 'reader-chosen':
      return { ...state, reader: message.reader, standbyDelayMs: message.standbyDelayMs };
    case 'feed-received':
      return { ...state, lastFeedAt: Math.max(state.lastFeedAt, now - message.ageMs) };
    case 'feed-lost':
      return { ...state, lastFeedAt: Math.min(state.lastFeedAt, now - FEED_TIMEOUT_MS) };
    case 'follow-received':
      return { ...state, lastFollowAt: now };
    case 'tick':
      return state;
  }
}

/**
 * Decides whether this node reads the store or receives feeds from a peer. The nodes need no
 * agreement: a node with followers always reads the store, and a node without a recent feed reads
 * the store itself.
 *
 * @param before - state of the reader, the feed and the followers
 * @param message - the message
 * @param now - the current instant
 * @returns the next state, and the source if it changed
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
 * Chooses the node that reads the store for a node: one of a few readers in its availability zone.
 * All nodes with the same membership view choose from the same readers.
 *
 * @param own - peer address of the node
 * @param ranked - peer addresses of the zone, including `own`, in an order common to all nodes
 * @param isUsable - whether a peer is known to be reachable and able to read the store
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
  return reader === own ? { kind: 'this-node' } : { kind: 'peer', address: reader };
}

/** Nodes that are fed by the same reader. */
export interface ReaderGroup {
  /** The followers in the order in which they replace the reader. */
  readonly standbys: readonly string[];
  /** Delay of the own node behind the first standby. */
  readonly standbyDelayMs: Milliseconds;
}

/**
 * Lists the followers of a reader.
 *
 * @param own - peer address of the node
 * @param ranked - peer addresses of the zone, including `own`, in an order common to all nodes
 * @param reader - the reader of the node
 * @param isUsable - whether a peer is known to be reachable and able to read the store
 * @returns the followers, and the place of the node among them
 */
export function groupFollowers(
  own: string,
  ranked: readonly string[],
  reader: ReaderChoice,
  isUsable: (address: string) => boolean,
): ReaderGroup {
  if (reader.kind === 'this-node') return { standbys: [], standbyDelayMs: 0 };
  const standbys = ranked.filter((address) => {
    const choice = chooseReader(address, ranked, isUsable);
    return address === own || (choice.kind === 'peer' && choice.address === reader.address);
  });
  const place = standbys.indexOf(own) / Math.max(1, standbys.length);
  return { standbys, standbyDelayMs: place * STANDBY_SPREAD_MS };
}
