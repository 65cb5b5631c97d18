import type { List } from 'immutable';
import type { Document, DocumentHead, Topic } from '../model/document.js';
import { documentDigest } from '../model/document-digest.js';
import type { BackendServerName } from '../model/names.js';
import type { Instant } from '../model/time.js';
import { assertPromise } from '../promises/violation.js';
import { step } from '../task/decision.js';
import type { GossipEffect } from './gossip-message.js';
import {
  headOf,
  hostsTopic,
  isTopicAdmitted,
  serviceAgeMs,
  getTopic,
  withTopic,
  type GossipOptions,
  type GossipState,
  type GossipStep,
} from './gossip-state.js';

/** Previous versions kept to compute deltas; a peer further behind receives the whole document. */
const MAX_PREVIOUS_VERSIONS = 8;

/** Digests kept per topic as rejected or reported; the oldest are dropped to bound memory. */
const MAX_REMEMBERED_DIGESTS = 16;

/** Origin of a document: the configuration service or a peer. */
export type DocumentSource =
  { readonly kind: 'service' } | { readonly kind: 'peer'; readonly peer: BackendServerName };

function addDigest(digests: List<string>, digest: string): List<string> {
  return digests.unshift(digest).take(MAX_REMEMBERED_DIGESTS);
}

function reportOnce(
  state: GossipState,
  head: DocumentHead,
  effect: GossipEffect,
  change: { readonly rejected?: List<string> } = {},
): GossipStep {
  const { reported } = getTopic(state, head.topic);
  // Heartbeats repeat a head every second, so each digest is reported only once.
  if (reported.includes(head.digest)) return step(withTopic(state, head.topic, change));
  const next = { ...change, reported: addDigest(reported, head.digest) };
  return step(withTopic(state, head.topic, next), effect);
}

function buildRejection(head: DocumentHead, reason: string): GossipEffect {
  const details = { topic: head.topic, version: head.version, reason };
  return {
    kind: 'rejected',
    head,
    faults: [{ code: 'documentRejected', details, source: head.topic, place: '' }],
  };
}

/**
 * Reports a different document with the version in force. The document in force stays: a node
 * cannot tell which of the two was intended, and a replacement would break the order of revisions.
 *
 * @param state - the gossip state
 * @param head - head of the conflicting document
 * @returns the step
 */
export function reportConflict(state: GossipState, head: DocumentHead): GossipStep {
  return reportOnce(
    state,
    head,
    buildRejection(head, 'a different document with the same version is in force'),
  );
}

/**
 * Builds the announcement of a topic to one peer. It carries the head of the document only.
 *
 * @param state - the gossip state
 * @param peer - the receiver
 * @param topic - the topic
 * @param now - the current instant
 * @returns the effect
 */
export function buildAnnouncement(
  state: GossipState,
  peer: BackendServerName,
  topic: Topic,
  now: Instant,
): GossipEffect {
  const head = headOf(state, topic);
  const message = { kind: 'announce', head, serviceAgeMs: serviceAgeMs(state, now) } as const;
  return { kind: 'send', peer, message };
}

function listHostTopics(document: Document): readonly Topic[] {
  if (document.topic !== 'configuration') return [];
  const prefix = 'zones/';
  return [...document.entries.keys()]
    .filter((key) => key.startsWith(prefix))
    .map((key) => hostsTopic(key.slice(prefix.length)));
}

function applyDocument(
  state: GossipState,
  document: Document,
  source: DocumentSource,
  now: Instant,
): GossipStep {
  const { current, previous, offers } = getTopic(state, document.topic);
  const violations = assertPromise(
    'configuration-order',
    current === null || document.version > current.version,
    () => `${document.topic}: version ${document.version} after ${current?.version ?? 0}`,
  );
  if (violations.length > 0) return step(state, ...violations);
  const applied = withTopic(state, document.topic, {
    current: document,
    previous: current === null ? previous : previous.unshift(current).take(MAX_PREVIOUS_VERSIONS),
    offers: offers.filter((head) => head.version > document.version),
    pull: null,
  });
  // Each zone of the configuration has a host list, even before a peer announces it.
  const next = listHostTopics(document).reduce(
    (known, topic) => withTopic(known, topic, {}),
    applied,
  );
  const announcements = state.neighbours
    .filter((peer) => source.kind === 'service' || peer !== source.peer)
    .map((peer) => buildAnnouncement(next, peer, document.topic, now));
  return step(next, { kind: 'apply', document }, ...announcements);
}

/**
 * Applies a document when its version is higher than the current one, its digest matches and it
 * passes its check.
 *
 * @param options - the gossip options
 * @param state - the gossip state
 * @param document - the document
 * @param source - the origin of the document
 * @param now - the current instant
 * @returns the step
 */
export function applyIfNewer(
  options: GossipOptions,
  state: GossipState,
  document: Document,
  source: DocumentSource,
  now: Instant,
): GossipStep {
  const { topic, version, digest } = document;
  if (!isTopicAdmitted(state, topic)) return step(state);
  const head: DocumentHead = { topic, version, digest };
  const { current, rejected } = getTopic(state, topic);
  if (current !== null && version < current.version) {
    // An older version from a peer is an ordinary race; from the service it means stale data.
    return source.kind === 'peer'
      ? step(state)
      : reportOnce(state, head, { kind: 'ignored-older', head });
  }
  if (current !== null && version === current.version) {
    return digest === current.digest ? step(state) : reportConflict(state, head);
  }
  if (rejected.includes(digest)) return step(state);
  if (documentDigest(document.entries) !== digest) {
    // The digest is not recorded as rejected, because the intact document has the same digest.
    return step(state, buildRejection(head, 'the digest does not match the entries'));
  }
  const checked = topic === 'configuration' ? options.check(document) : null;
  if (checked !== null && checked.isErr()) {
    const effect: GossipEffect = { kind: 'rejected', head, faults: checked.error };
    return reportOnce(state, head, effect, { rejected: addDigest(rejected, digest) });
  }
  return applyDocument(state, document, source, now);
}
