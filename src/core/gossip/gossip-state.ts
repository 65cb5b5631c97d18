import { List, Map as PersistentMap, Set as PersistentSet } from 'immutable';
import type { Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import type { Document, DocumentHead, Topic } from '../model/document.js';
import type { BackendServerName, ZoneName } from '../model/names.js';
import { drawFraction, seedRandom, type RandomState } from '../model/random.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Step } from '../task/decision.js';
import type { GossipEffect } from './gossip-message.js';

/** Fallback reads start after a random time in this range, so that few nodes read at once. */
export const FALLBACK_MIN_MS = 2000;
export const FALLBACK_MAX_MS = 4000;

/** Age reported when no read of the service is known; finite, so that every codec can encode it. */
export const SERVICE_AGE_LIMIT_MS = 86_400_000;

/** Maximum number of topics; 15 zones are planned, and a faulty peer cannot add more than this. */
const MAX_TOPICS = 64;

/** Options of the gossip task. */
export interface GossipOptions {
  readonly node: BackendServerName;
  readonly zone: ZoneName;
  /** Checks a configuration before it is applied; host lists are not checked. */
  readonly check: (document: Document) => Result<void, readonly Fault[]>;
  /** Called once, to seed the random generator in the state. */
  readonly random: () => number;
}

/** Reads and watches of one topic at the configuration service. */
export interface ServiceState {
  /** Start of the read or watch in flight; null when there is none. */
  readonly outstandingSince: Instant | null;
  readonly failures: number;
  readonly nextAt: Instant;
  readonly hasAnswered: boolean;
  /** Highest version seen at the service, including rejected documents. */
  readonly seenVersion: number;
}

/** A pull in flight. */
export interface Pull {
  readonly peer: BackendServerName;
  readonly sentAt: Instant;
}

/** State of one topic. */
export interface TopicState {
  readonly topic: Topic;
  readonly current: Document | null;
  /** Previous versions, newest first, from which deltas are computed. */
  readonly previous: List<Document>;
  /** Digests already reported as rejected, conflicting or older. */
  readonly reported: List<string>;
  /** Digests that the check rejected; they are not pulled again. */
  readonly rejected: List<string>;
  /** Higher versions announced by peers. */
  readonly offers: PersistentMap<BackendServerName, DocumentHead>;
  readonly pull: Pull | null;
  readonly service: ServiceState;
}

/** Progress of the requests sent at the start. */
export type Readiness =
  { readonly kind: 'starting'; readonly startedAt: Instant | null } | { readonly kind: 'ready' };

/** Documents in force, pulls in flight and requests to the configuration service. */
export interface GossipState {
  readonly topics: PersistentMap<Topic, TopicState>;
  readonly neighbours: readonly BackendServerName[];
  /** Peers that have reported their head of the configuration since the start. */
  readonly answered: PersistentSet<BackendServerName>;
  /** Topics that this node watches at the configuration service. */
  readonly watched: PersistentSet<Topic>;
  /** Number of live hosts known in the own zone, at least 1. */
  readonly zoneSize: number;
  /** Instant of the latest known read of the configuration service by any node. */
  readonly serviceReadAt: Instant | null;
  /** Age of the last known read after which this node reads the service itself. */
  readonly fallbackAfterMs: Milliseconds;
  /** Instant of the next audit read; null until it is scheduled. */
  readonly auditAt: Instant | null;
  /** Ticks since the start, which advance the rotation of heads in heartbeats. */
  readonly ticks: number;
  readonly readiness: Readiness;
  readonly random: RandomState;
}

export type GossipStep = Step<GossipState, GossipEffect>;

/**
 * Names the host list of a zone.
 *
 * @param zone - the zone
 * @returns the topic
 */
export function hostsTopic(zone: ZoneName): Topic {
  return `hosts/${zone}`;
}

/**
 * Looks up a topic.
 *
 * @param state - the gossip state
 * @param topic - the topic
 * @returns its state, or an empty one when the topic is new
 */
export function getTopic(state: GossipState, topic: Topic): TopicState {
  return (
    state.topics.get(topic) ?? {
      topic,
      current: null,
      previous: List(),
      reported: List(),
      rejected: List(),
      offers: PersistentMap(),
      pull: null,
      service: {
        outstandingSince: null,
        failures: 0,
        nextAt: 0,
        hasAnswered: false,
        seenVersion: 0,
      },
    }
  );
}

/**
 * Checks whether a topic is known or may still be added.
 *
 * @param state - the gossip state
 * @param topic - the topic
 * @returns false for a new topic when the limit is reached
 */
export function isTopicAdmitted(state: GossipState, topic: Topic): boolean {
  return state.topics.has(topic) || state.topics.size < MAX_TOPICS;
}

/**
 * Replaces fields of a topic.
 *
 * @param state - the gossip state
 * @param topic - the topic
 * @param change - the fields to replace
 * @returns the next state
 */
export function withTopic(
  state: GossipState,
  topic: Topic,
  change: Partial<TopicState>,
): GossipState {
  if (!isTopicAdmitted(state, topic)) return state;
  const next = { ...getTopic(state, topic), ...change };
  return { ...state, topics: state.topics.set(topic, next) };
}

/**
 * Draws a random fraction.
 *
 * @param state - the gossip state
 * @returns the fraction, and the state with the generator advanced
 */
export function drawRandom(state: GossipState): readonly [fraction: number, state: GossipState] {
  const { fraction, next } = drawFraction(state.random);
  return [fraction, { ...state, random: next }];
}

/**
 * Chains two steps.
 *
 * @param before - the first step
 * @param next - builds the second step from the state after the first one
 * @returns one step with the effects of both
 */
export function andThen(before: GossipStep, next: (state: GossipState) => GossipStep): GossipStep {
  const after = next(before.state);
  return { state: after.state, effects: [...before.effects, ...after.effects] };
}

/**
 * Applies a step to each item in turn.
 *
 * @param state - the gossip state
 * @param items - the items
 * @param next - builds the step for one item
 * @returns one step with the effects of all steps, in order
 */
export function forEachStep<Item>(
  state: GossipState,
  items: Iterable<Item>,
  next: (state: GossipState, item: Item) => GossipStep,
): GossipStep {
  let all: GossipStep = step(state);
  for (const item of items) all = andThen(all, (current) => next(current, item));
  return all;
}

/**
 * Builds the initial state.
 *
 * @param options - node, zone, check and random source
 * @returns the state of a node that has just started and has no documents
 */
export function initialGossip(options: GossipOptions): GossipState {
  const own: readonly Topic[] = ['configuration', hostsTopic(options.zone)];
  const { fraction, next } = drawFraction(seedRandom(options.random));
  const empty: GossipState = {
    topics: PersistentMap(),
    neighbours: [],
    answered: PersistentSet(),
    watched: PersistentSet(own),
    zoneSize: 1,
    serviceReadAt: null,
    fallbackAfterMs: FALLBACK_MIN_MS + fraction * (FALLBACK_MAX_MS - FALLBACK_MIN_MS),
    auditAt: null,
    ticks: 0,
    readiness: { kind: 'starting', startedAt: null },
    random: next,
  };
  return own.reduce((state, topic) => withTopic(state, topic, {}), empty);
}

/**
 * Computes the age of the last known read of the configuration service by any node.
 *
 * @param state - the gossip state
 * @param now - the current instant
 * @returns the age, at most `SERVICE_AGE_LIMIT_MS`
 */
export function serviceAgeMs(state: GossipState, now: Instant): Milliseconds {
  if (state.serviceReadAt === null) return SERVICE_AGE_LIMIT_MS;
  return Math.min(Math.max(now - state.serviceReadAt, 0), SERVICE_AGE_LIMIT_MS);
}

/**
 * Looks up the document in force.
 *
 * @param state - the gossip state
 * @param topic - the topic
 * @returns the document, or null when none has been accepted yet
 */
export function currentDocument(state: GossipState, topic: Topic): Document | null {
  return state.topics.get(topic)?.current ?? null;
}

/**
 * Builds the head of the document in force.
 *
 * @param state - the gossip state
 * @param topic - the topic
 * @returns the head; version 0 and an empty digest when there is no document
 */
export function headOf(state: GossipState, topic: Topic): DocumentHead {
  const { version, digest } = currentDocument(state, topic) ?? { version: 0, digest: '' };
  return { topic, version, digest };
}
