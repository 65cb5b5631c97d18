import type { DocumentHead, Topic } from '../model/document.js';
import type { BackendServerName } from '../model/names.js';
import type { Instant } from '../model/time.js';
import { step, type Decision } from '../task/decision.js';
import { buildAnnouncement, applyIfNewer } from './document-intake.js';
import {
  answerPull,
  expirePulls,
  pullNext,
  receiveDelta,
  receiveDocument,
  receiveHeads,
} from './peer-exchange.js';
import { assignWatches, recordAnswer, recordFailure, startDueRequests } from './service-reads.js';
import type { GossipEffect, GossipMessage } from './gossip-message.js';
import {
  andThen,
  currentDocument,
  headOf,
  initialGossip,
  serviceAgeMs,
  getTopic,
  type GossipOptions,
  type GossipState,
  type GossipStep,
} from './gossip-state.js';

export { currentDocument, initialGossip, serviceAgeMs };
export type { GossipOptions, GossipState };

/** Time to wait for peers at the start; then the node continues with the documents it has. */
const START_TIMEOUT_MS = 1000;

/** Minimum wait at the start, so that links open to more than the fastest peer. */
const START_SETTLE_MS = 200;

/** Number of heads in one heartbeat: the configuration, and host lists in rotation. */
const HEADS_PER_HEARTBEAT = 3;

const TICKS_PER_HEARTBEAT = 10;

function replaceNeighbours(
  state: GossipState,
  neighbours: readonly BackendServerName[],
  now: Instant,
): GossipStep {
  const added = neighbours.filter((peer) => !state.neighbours.includes(peer));
  // A peer answers a lower version with its own head, so the announcement also acts as a query.
  const announcements = added.flatMap((peer) =>
    [...state.topics.keys()].map((topic) => buildAnnouncement(state, peer, topic, now)),
  );
  return step({ ...state, neighbours }, ...announcements);
}

function updateReadiness(state: GossipState, now: Instant): GossipStep {
  const { readiness } = state;
  switch (readiness.kind) {
    case 'ready':
      return step(state);
    case 'starting': {
      const startedAt = readiness.startedAt ?? now;
      const started: GossipState = { ...state, readiness: { kind: 'starting', startedAt } };
      const { current, pull, offers } = getTopic(state, 'configuration');
      if (current === null) return step(started);
      const hasAllAnswers =
        state.neighbours.length > 0 &&
        state.neighbours.every((peer) => state.answered.has(peer)) &&
        pull === null &&
        offers.isEmpty();
      const isSettled = hasAllAnswers && now - startedAt >= START_SETTLE_MS;
      // An answer from the service alone does not end the wait: the service can be stale.
      if (!isSettled && now - startedAt < START_TIMEOUT_MS) return step(started);
      return step({ ...state, readiness: { kind: 'ready' } }, { kind: 'ready' });
    }
  }
}

function decideMessage(
  options: GossipOptions,
  state: GossipState,
  message: GossipMessage,
  now: Instant,
): GossipStep {
  switch (message.kind) {
    case 'service-value': {
      const { document } = message;
      const recorded = recordAnswer(state, document.topic, document.version, now);
      const outcome = applyIfNewer(options, recorded, document, { kind: 'service' }, now);
      return andThen(outcome, (next) => pullNext(next, document.topic, now));
    }
    case 'service-unchanged':
      return step(recordAnswer(state, message.topic, null, now));
    case 'service-failed':
      return step(recordFailure(state, message.topic, now));
    case 'heads-received':
      return receiveHeads(state, message, now);
    case 'pull-received':
      return answerPull(state, message, now);
    case 'delta-received':
      return receiveDelta(options, state, message, now);
    case 'document-received':
      return receiveDocument(options, state, message, now);
    case 'neighbours-changed':
      return replaceNeighbours(state, message.neighbours, now);
    case 'hosts-changed':
      return step(assignWatches(options, state, message.hosts));
    case 'tick': {
      const ticked = expirePulls({ ...state, ticks: state.ticks + 1 }, now);
      return andThen(ticked, (next) => startDueRequests(options, next, now));
    }
  }
}

/**
 * Builds the decision that distributes documents between nodes by gossip. `tick` is expected every
 * 100 ms.
 *
 * @param options - node, zone, check and random source
 * @returns the decision
 */
export function decideGossip(
  options: GossipOptions,
): Decision<GossipState, GossipMessage, GossipEffect> {
  return (state, message, now) =>
    andThen(decideMessage(options, state, message, now), (next) => updateReadiness(next, now));
}

/**
 * Lists the heads for the next heartbeat: always the configuration, and host lists in rotation, so
 * that the size of a heartbeat does not grow with the number of zones.
 *
 * @param state - the gossip state
 * @returns at most three heads
 */
export function listHeartbeatHeads(state: GossipState): readonly DocumentHead[] {
  const lists: readonly Topic[] = [...state.topics.keys()]
    .filter((topic) => topic !== 'configuration' && currentDocument(state, topic) !== null)
    .sort();
  const count = Math.min(HEADS_PER_HEARTBEAT - 1, lists.length);
  const first = Math.floor(state.ticks / TICKS_PER_HEARTBEAT) * count;
  const chosen = Array.from({ length: count }, (_, index) => lists[(first + index) % lists.length]);
  return ['configuration' as const, ...chosen.filter((topic) => topic !== undefined)].map((topic) =>
    headOf(state, topic),
  );
}
