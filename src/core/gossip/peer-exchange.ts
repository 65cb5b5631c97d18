import type { Delta, Document, DocumentHead, Topic } from '../model/document.js';
import type { BackendServerName } from '../model/names.js';
import type { PeerMessage } from '../model/peer-message.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { step } from '../task/decision.js';
import { applyDelta, diffDocuments } from './delta.js';
import { buildAnnouncement, reportConflict, applyIfNewer } from './document-intake.js';
import { mergeServiceAge } from './service-reads.js';
import {
  andThen,
  forEachStep,
  isTopicAdmitted,
  getTopic,
  withTopic,
  type GossipOptions,
  type GossipState,
  type GossipStep,
} from './gossip-state.js';

/** Time after which an unanswered pull is sent to another peer; 1 MB transfers much faster. */
const PULL_TIMEOUT_MS = 500;

/**
 * Sends the next pull of a topic when no other pull of the topic is in flight.
 *
 * @param state - the gossip state
 * @param topic - the topic
 * @param now - the current instant
 * @returns the step
 */
export function pullNext(state: GossipState, topic: Topic, now: Instant): GossipStep {
  const { pull, offers, current } = getTopic(state, topic);
  if (pull !== null) return step(state);
  const best = offers.maxBy((head) => head.version);
  const peer = best === undefined ? undefined : offers.keyOf(best);
  if (peer === undefined) return step(state);
  const requested = withTopic(state, topic, {
    pull: { peer, sentAt: now },
    offers: offers.delete(peer),
  });
  const message = { kind: 'pull', topic, haveDigest: current?.digest ?? null } as const;
  return step(requested, { kind: 'send', peer, message });
}

function clearPull(state: GossipState, topic: Topic, peer: BackendServerName): GossipState {
  return getTopic(state, topic).pull?.peer === peer
    ? withTopic(state, topic, { pull: null })
    : state;
}

function receiveHead(
  state: GossipState,
  peer: BackendServerName,
  head: DocumentHead,
  now: Instant,
): GossipStep {
  const { topic } = head;
  if (!isTopicAdmitted(state, topic)) return step(state);
  const { current, rejected, offers, pull } = getTopic(state, topic);
  const version = current?.version ?? 0;
  if (head.version < version) {
    // Announcing the head at once repairs a lost announcement before the next heartbeat.
    return andThen(
      step(clearPull(state, topic, peer), buildAnnouncement(state, peer, topic, now)),
      (next) => pullNext(next, topic, now),
    );
  }
  if (head.version === version) {
    const next = clearPull(state, topic, peer);
    const isSame = head.version === 0 || head.digest === current?.digest;
    return andThen(isSame ? step(next) : reportConflict(next, head), (after) =>
      pullNext(after, topic, now),
    );
  }
  if (rejected.includes(head.digest) || pull?.peer === peer) return step(state);
  return pullNext(withTopic(state, topic, { offers: offers.set(peer, head) }), topic, now);
}

/**
 * Handles the document heads that a peer announced.
 *
 * @param state - the gossip state
 * @param message - the peer, its heads and the age of the last service read that it knows of, in
 * milliseconds
 * @param now - the current instant
 * @returns the step
 */
export function receiveHeads(
  state: GossipState,
  message: {
    readonly peer: BackendServerName;
    readonly heads: readonly DocumentHead[];
    readonly serviceAgeMs: Milliseconds;
  },
  now: Instant,
): GossipStep {
  const { peer, heads } = message;
  const merged = mergeServiceAge(state, message.serviceAgeMs, now);
  const recorded = heads.some((head) => head.topic === 'configuration')
    ? { ...merged, answered: merged.answered.add(peer) }
    : merged;
  return forEachStep(recorded, heads, (next, head) => receiveHead(next, peer, head, now));
}

/**
 * Answers a pull: with the head when nothing is newer, with a delta when the version of the peer is
 * still kept, and otherwise with the whole document.
 *
 * @param state - the gossip state
 * @param message - the peer, the topic and the digest of the document that the peer has
 * @param now - the current instant
 * @returns the step
 */
export function answerPull(
  state: GossipState,
  message: {
    readonly peer: BackendServerName;
    readonly topic: Topic;
    readonly haveDigest: string | null;
  },
  now: Instant,
): GossipStep {
  const { peer, topic, haveDigest } = message;
  const { current, previous } = getTopic(state, topic);
  if (current === null || current.digest === haveDigest) {
    return step(state, buildAnnouncement(state, peer, topic, now));
  }
  const base = previous.find((document) => document.digest === haveDigest);
  const reply: PeerMessage =
    base === undefined
      ? { kind: 'document', document: current }
      : { kind: 'delta', delta: diffDocuments(base, current) };
  return step(state, { kind: 'send', peer, message: reply });
}

/**
 * Handles a whole document from a peer.
 *
 * @param options - the gossip options
 * @param state - the gossip state
 * @param message - the peer and the document
 * @param now - the current instant
 * @returns the step
 */
export function receiveDocument(
  options: GossipOptions,
  state: GossipState,
  message: { readonly peer: BackendServerName; readonly document: Document },
  now: Instant,
): GossipStep {
  const { peer, document } = message;
  const outcome = applyIfNewer(
    options,
    clearPull(state, document.topic, peer),
    document,
    { kind: 'peer', peer },
    now,
  );
  return andThen(outcome, (next) => pullNext(next, document.topic, now));
}

/**
 * Handles a delta from a peer. When an expected delta cannot be applied, the whole document is
 * requested.
 *
 * @param options - the gossip options
 * @param state - the gossip state
 * @param message - the peer and the delta
 * @param now - the current instant
 * @returns the step
 */
export function receiveDelta(
  options: GossipOptions,
  state: GossipState,
  message: { readonly peer: BackendServerName; readonly delta: Delta },
  now: Instant,
): GossipStep {
  const { peer, delta } = message;
  const { current, pull } = getTopic(state, delta.topic);
  // A late or duplicate delta is ignored.
  if (current !== null && delta.version <= current.version) return step(state);
  const applied = current === null ? null : applyDelta(current, delta);
  if (applied !== null && applied.isOk()) {
    return receiveDocument(options, state, { peer, document: applied.value }, now);
  }
  if (pull?.peer !== peer) return step(state);
  const requested = withTopic(state, delta.topic, { pull: { peer, sentAt: now } });
  const request = { kind: 'pull', topic: delta.topic, haveDigest: null } as const;
  return step(requested, { kind: 'send', peer, message: request });
}

/**
 * Abandons pulls that were not answered in time and sends them to another peer.
 *
 * @param state - the gossip state
 * @param now - the current instant
 * @returns the step
 */
export function expirePulls(state: GossipState, now: Instant): GossipStep {
  return forEachStep(state, state.topics.values(), (next, { topic, pull }) => {
    const isLate = pull !== null && now - pull.sentAt >= PULL_TIMEOUT_MS;
    return pullNext(isLate ? withTopic(next, topic, { pull: null }) : next, topic, now);
  });
}
