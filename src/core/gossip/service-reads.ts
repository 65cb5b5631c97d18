import type { Topic } from '../model/document.js';
import type { Host } from '../model/host.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { rankByRendezvous } from '../routing/rendezvous.js';
import { step } from '../task/decision.js';
import {
  FALLBACK_MAX_MS,
  FALLBACK_MIN_MS,
  drawRandom,
  forEachStep,
  hostsTopic,
  serviceAgeMs,
  getTopic,
  withTopic,
  type ServiceState,
  type GossipOptions,
  type GossipState,
  type GossipStep,
} from './gossip-state.js';

/** Watchers of a topic in each zone; with two, one can fail without a gap. */
const WATCHERS_PER_ZONE = 2;

const BACKOFF_BASE_MS = 500;

/** Watchers are few and retry often, which detects a recovered service within seconds. */
const WATCHER_BACKOFF_MAX_MS = 800;

/** All other nodes back off longer, which limits a whole fleet to about 250 reads per second. */
const READER_BACKOFF_MAX_MS = 30_000;

/** The client itself ends every read and watch; this timeout covers a lost reply. */
const ANSWER_TIMEOUT_MS = 90_000;

/**
 * Average interval between audit reads of one zone, each by a random node. An audit read repairs a
 * zone whose host list names only dead hosts as watchers while other zones still reach the service.
 */
const AUDIT_INTERVAL_MS = 30_000;

/** Delay added to an age at each hop, so that the age grows while peers forward it. */
const HOP_DELAY_MS = 10;

function withService(state: GossipState, topic: Topic, change: Partial<ServiceState>): GossipState {
  return withTopic(state, topic, { service: { ...getTopic(state, topic).service, ...change } });
}

/**
 * Merges the age of the last service read that a peer knows of.
 *
 * @param state - the gossip state
 * @param ageMs - the age reported by the peer, in milliseconds
 * @param now - the current instant
 * @returns the next state
 */
export function mergeServiceAge(
  state: GossipState,
  ageMs: Milliseconds,
  now: Instant,
): GossipState {
  const readAt = now - ageMs - HOP_DELAY_MS;
  if (state.serviceReadAt !== null && readAt <= state.serviceReadAt) return state;
  const next: GossipState = { ...state, serviceReadAt: readAt };
  if (ageMs >= FALLBACK_MIN_MS) return next;
  // The service works again, so the backoff starts over.
  return [...state.topics.values()]
    .filter(({ service }) => service.failures > 0 && service.outstandingSince === null)
    .reduce<GossipState>((after, { topic }) => {
      const [fraction, drawn] = drawRandom(after);
      const nextAt = now + fraction * BACKOFF_BASE_MS;
      return withService(drawn, topic, { failures: 0, nextAt });
    }, next);
}

/**
 * Determines which topics this node watches at the configuration service.
 *
 * @param options - the gossip options
 * @param state - the gossip state
 * @param hosts - all known hosts
 * @returns the next state
 */
export function assignWatches(
  options: GossipOptions,
  state: GossipState,
  hosts: readonly Host[],
): GossipState {
  const live = hosts
    .filter((host) => host.zone === options.zone && host.state === 'live')
    .map((host) => host.backendServer);
  // A node that is not listed yet counts itself, so that an empty host list also has a watcher.
  const names = [...new Set([...live, options.node])];
  const own: readonly Topic[] = ['configuration', hostsTopic(options.zone)];
  const watched = own.filter((topic) =>
    rankByRendezvous(`${topic}@${options.zone}`, names)
      .slice(0, WATCHERS_PER_ZONE)
      .includes(options.node),
  );
  const topics = [...new Set(hosts.map((host) => hostsTopic(host.zone)))];
  const known = topics.reduce((next, topic) => withTopic(next, topic, {}), state);
  // The audit of a zone that more than doubled is rescheduled, since its interval was too short.
  const auditAt = names.length > 2 * state.zoneSize ? null : state.auditAt;
  return {
    ...known,
    watched: state.watched.clear().union(watched),
    zoneSize: names.length,
    auditAt,
  };
}

function isReadDue(
  options: GossipOptions,
  state: GossipState,
  topic: Topic,
  now: Instant,
): boolean {
  const { current, service } = getTopic(state, topic);
  const isOwn = topic === 'configuration' || topic === hostsTopic(options.zone);
  if (isOwn && !service.hasAnswered && service.failures === 0) return true;
  const isServiceStale = serviceAgeMs(state, now) >= state.fallbackAfterMs;
  const isAuditDue = state.auditAt !== null && now >= state.auditAt;
  return isOwn ? isServiceStale || isAuditDue : current === null;
}

/**
 * Starts the read or watch of one topic when it is due; at most one per topic is in flight.
 *
 * @param options - the gossip options
 * @param state - the gossip state
 * @param topic - the topic
 * @param now - the current instant
 * @returns the step
 */
export function startRequestIfDue(
  options: GossipOptions,
  state: GossipState,
  topic: Topic,
  now: Instant,
): GossipStep {
  const { current, service } = getTopic(state, topic);
  const { outstandingSince, nextAt, hasAnswered } = service;
  if (outstandingSince !== null && now - outstandingSince < ANSWER_TIMEOUT_MS) return step(state);
  if (now < nextAt) return step(state);
  const requested = withService(state, topic, { outstandingSince: now });
  // The first request is a read, because a watch may take long to answer.
  if (state.watched.has(topic) && hasAnswered) {
    const after = Math.max(current?.version ?? 0, service.seenVersion);
    return step(requested, { kind: 'watch-service', topic, after });
  }
  return state.watched.has(topic) || isReadDue(options, state, topic, now)
    ? step(requested, { kind: 'read-service', topic })
    : step(state);
}

/**
 * Starts all reads and watches that are due.
 *
 * @param options - the gossip options
 * @param state - the gossip state
 * @param now - the current instant
 * @returns the step
 */
export function startDueRequests(
  options: GossipOptions,
  state: GossipState,
  now: Instant,
): GossipStep {
  const requested = forEachStep(state, state.topics.keys(), (next, topic) =>
    startRequestIfDue(options, next, topic, now),
  );
  if (state.auditAt !== null && now < state.auditAt) return requested;
  const [fraction, drawn] = drawRandom(requested.state);
  const auditAt = now + (0.5 + fraction) * AUDIT_INTERVAL_MS * state.zoneSize;
  return step({ ...drawn, auditAt }, ...requested.effects);
}

/**
 * Records an answer of the service and schedules the next request.
 *
 * @param state - the gossip state
 * @param topic - the topic
 * @param version - the version in the answer, or null when nothing was newer
 * @param now - the current instant
 * @returns the next state
 */
export function recordAnswer(
  state: GossipState,
  topic: Topic,
  version: number | null,
  now: Instant,
): GossipState {
  const { current, service } = getTopic(state, topic);
  const [fraction, drawn] = drawRandom(state);
  const fallbackAfterMs = FALLBACK_MIN_MS + fraction * (FALLBACK_MAX_MS - FALLBACK_MIN_MS);
  // A service that returns a known version answers at once, so the next request has to wait.
  const isKnownVersion = version !== null && version <= (current?.version ?? 0);
  const watcherPauseMs = isKnownVersion ? WATCHER_BACKOFF_MAX_MS : 0;
  // Without the longer pause every node would request a missing topic every few seconds.
  const isAbsent = version === null && current === null;
  const readerPauseMs = isAbsent ? READER_BACKOFF_MAX_MS : fallbackAfterMs;
  return withService({ ...drawn, serviceReadAt: now, fallbackAfterMs }, topic, {
    outstandingSince: null,
    failures: 0,
    hasAnswered: true,
    nextAt: now + (state.watched.has(topic) ? watcherPauseMs : readerPauseMs),
    seenVersion: Math.max(service.seenVersion, version ?? 0),
  });
}

/**
 * Records a failed read or watch and schedules the next request after a backoff with jitter.
 *
 * @param state - the gossip state
 * @param topic - the topic
 * @param now - the current instant
 * @returns the next state
 */
export function recordFailure(state: GossipState, topic: Topic, now: Instant): GossipState {
  const failures = getTopic(state, topic).service.failures + 1;
  const limitMs = state.watched.has(topic) ? WATCHER_BACKOFF_MAX_MS : READER_BACKOFF_MAX_MS;
  const backoffMs = Math.min(BACKOFF_BASE_MS * 2 ** Math.min(failures - 1, 10), limitMs);
  const [fraction, drawn] = drawRandom(state);
  const nextAt = now + backoffMs * (0.75 + fraction / 2);
  return withService(drawn, topic, { outstandingSince: null, failures, nextAt });
}
