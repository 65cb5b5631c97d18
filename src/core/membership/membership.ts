import type { BackendServerName, ServiceName } from '../model/names.js';
import { drawFraction } from '../model/random.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';
import { planLinks, listWantedLinks } from './link-plan.js';
import type { Candidate, MembershipEffect, MembershipMessage } from './membership-message.js';
import {
  initialMembership,
  isSuspect,
  isZoneIn,
  getLink,
  regionOf,
  withHosts,
  withLink,
  type MembershipOptions,
  type MembershipState,
} from './membership-state.js';

export { initialMembership };
export type { MembershipOptions, MembershipState };

type MembershipStep = Step<MembershipState, MembershipEffect>;

const RECONNECT_BASE_MS = 50;
const RECONNECT_MAX_MS = 2000;

/** A link that stays open this long resets the backoff; a shorter one counts as another failure. */
const STABLE_AFTER_MS = 5000;

/** The task itself ends connection attempts; this timeout covers a lost report of the outcome. */
const CONNECT_TIMEOUT_MS = 5000;

const IDLE_TIMEOUT_MS = 60_000;

/** Time without attempts after which a suspect is tried again like any other peer. */
const SUSPECT_EXPIRY_MS = 30_000;

/** Time without new calls to a gate after it reports that it is leaving or its zone is out. */
const UNAVAILABLE_MS = 1000;

/** Age at which a reported load expires; the load then counts as unknown. */
const LOAD_LIFETIME_MS = 2000;

/** Maximum number of neighbours reported to other tasks; bounds the fan-out of announcements. */
const MAX_NEIGHBOURS = 16;

/** Adds an effect that reports the neighbours with open links, when they have changed. */
function reportNeighbours(state: MembershipState, ...before: MembershipEffect[]): MembershipStep {
  const open = [...state.links.values()]
    .filter((link) => link.state === 'open')
    .map((link) => link.peer);
  const chosen = state.plan.neighbours.filter((peer) => open.includes(peer));
  const neighbours = [...new Set([...chosen, ...open])].slice(0, MAX_NEIGHBOURS);
  const reported = state.reportedNeighbours;
  const isSame =
    neighbours.length === reported.length && neighbours.every((peer) => reported.includes(peer));
  if (isSame) return step(state, ...before);
  const next = { ...state, reportedNeighbours: neighbours };
  return step(next, ...before, { kind: 'neighbours-changed', neighbours });
}

function recordLinkOpened(
  state: MembershipState,
  peer: BackendServerName,
  address: string | undefined,
  now: Instant,
): MembershipStep {
  const isSeed = address !== undefined && state.links.has(address);
  const resolved = isSeed ? { ...state, links: state.links.delete(address) } : state;
  const { state: before, isInitiator, failures } = getLink(resolved, peer);
  const opened = withLink(resolved, peer, {
    state: 'open',
    isInitiator: before === 'closed' ? address !== undefined : isInitiator,
    since: before === 'open' ? getLink(resolved, peer).since : now,
    lastUsedAt: now,
    // The peer may be a new process, so its last known load is discarded.
    load: null,
    refusedAt: null,
    unavailableUntil: 0,
  });
  const next: MembershipState = { ...opened, lastFrameAt: now };
  return reportNeighbours(failures > 0 ? planLinks(next) : next);
}

function recordLinkClosed(
  state: MembershipState,
  peer: BackendServerName,
  now: Instant,
): MembershipState {
  const link = getLink(state, peer);
  const isStableLink = link.state === 'open' && now - link.since >= STABLE_AFTER_MS;
  const failures = isStableLink ? 0 : link.failures + 1;
  const backoffMs = Math.min(RECONNECT_BASE_MS * 2 ** Math.min(failures, 10), RECONNECT_MAX_MS);
  const { fraction, next } = drawFraction(state.random);
  const nextAttemptAt = now + backoffMs * (0.5 + fraction / 2);
  const closed = withLink({ ...state, random: next }, peer, {
    state: 'closed',
    isInitiator: false,
    since: now,
    failures,
    nextAttemptAt,
  });
  return isSuspect(closed, peer) && !isSuspect(state, peer) ? planLinks(closed) : closed;
}

/** Removes unused services and requested peers, and closed links without a recent attempt. */
function expireUnused(state: MembershipState, now: Instant): MembershipState {
  const services = state.services.filter((usedAt) => now - usedAt < IDLE_TIMEOUT_MS);
  const links = state.links.filter(
    (link) =>
      link.peer === state.node || link.state !== 'closed' || now - link.since < SUSPECT_EXPIRY_MS,
  );
  const requestedPeers = state.requestedPeers.filter(
    (requestedAt) => now - requestedAt < IDLE_TIMEOUT_MS,
  );
  const isSame = services.size === state.services.size && links.size === state.links.size;
  if (isSame)
    return requestedPeers.size === state.requestedPeers.size ? state : { ...state, requestedPeers };
  return planLinks({ ...state, services, links, requestedPeers });
}

function reconcileLinks(state: MembershipState, now: Instant): MembershipStep {
  const wanted = listWantedLinks(state);
  const overdue = [...state.links.values()].filter((link) => {
    if (link.state === 'connecting') return now - link.since >= CONNECT_TIMEOUT_MS;
    const isIdle = link.state === 'open' && now - link.lastUsedAt >= IDLE_TIMEOUT_MS;
    return isIdle && link.isInitiator && !wanted.has(link.peer);
  });
  const kept = overdue.reduce((next, { peer }) => recordLinkClosed(next, peer, now), state);
  const due = [...wanted].filter(([peer]) => {
    const link = getLink(kept, peer);
    return link.state === 'closed' && now >= link.nextAttemptAt;
  });
  const connecting = due.reduce(
    (next, [peer]) => withLink(next, peer, { state: 'connecting', isInitiator: true, since: now }),
    kept,
  );
  return reportNeighbours(
    connecting,
    ...overdue.map(({ peer }) => ({ kind: 'disconnect', peer }) as const),
    ...due.map(([peer, address]) => ({ kind: 'connect', peer, address }) as const),
  );
}

function recordLoad(
  state: MembershipState,
  message: Extract<MembershipMessage, { readonly kind: 'load-received' }>,
  now: Instant,
): MembershipState {
  const { peer, load, refused } = message;
  const { refusedAt, unavailableUntil } = getLink(state, peer);
  const isServing = load.state === 'serving';
  const recorded = withLink(state, peer, {
    load,
    loadReceivedAt: now,
    lastUsedAt: now,
    refusedAt: refused ? now : refusedAt,
    unavailableUntil: isServing
      ? unavailableUntil
      : Math.max(unavailableUntil, now + UNAVAILABLE_MS),
  });
  const service = state.hostByName.get(peer)?.service;
  const isCalled = service !== undefined && state.services.has(service);
  return isCalled ? { ...recorded, services: recorded.services.set(service, now) } : recorded;
}

function recordServiceUse(
  state: MembershipState,
  service: ServiceName,
  now: Instant,
): MembershipStep {
  const isNew = !state.services.has(service);
  const used = { ...state, services: state.services.set(service, now) };
  return isNew ? reconcileLinks(planLinks(used), now) : step(used);
}

function decideMessage(
  state: MembershipState,
  message: MembershipMessage,
  now: Instant,
): MembershipStep {
  switch (message.kind) {
    case 'zones-configured': {
      const zones = state.zones
        .clear()
        .merge(message.zones.map((zone) => [zone.name, zone] as const));
      return reconcileLinks(planLinks({ ...state, zones }), now);
    }
    case 'hosts-listed': {
      const listed = planLinks(withHosts(state, message.zone, message.hosts));
      const { state: next, effects } = reconcileLinks(listed, now);
      const hosts = [...next.hosts.values()].flat();
      return step(next, { kind: 'hosts-changed', hosts }, ...effects);
    }
    case 'link-opened':
      return recordLinkOpened(state, message.peer, message.address, now);
    case 'link-closed':
      return reportNeighbours(recordLinkClosed(state, message.peer, now));
    case 'frame-received': {
      const refreshed = { ...state, lastFrameAt: now };
      const isCallFrame = message.isCallFrame === true;
      return step(isCallFrame ? withLink(refreshed, message.peer, { lastUsedAt: now }) : refreshed);
    }
    case 'peer-leaving':
      return step(withLink(state, message.peer, { unavailableUntil: now + message.forMs }));
    case 'load-received':
      return step(recordLoad(state, message, now));
    case 'service-used':
      return recordServiceUse(state, message.service, now);
    case 'seat-links-requested':
      return reconcileLinks({ ...state, seats: message.seats }, now);
    case 'link-requested': {
      const requestedPeers = state.requestedPeers.set(message.peer, now);
      return reconcileLinks({ ...state, requestedPeers }, now);
    }
    case 'tick':
      return reconcileLinks(expireUnused(state, now), now);
  }
}

/**
 * Decides on links and neighbours. `tick` is expected every 200 ms. A `disconnect` closes the
 * connection that this node opened. When both sides have connected at the same time, the peer's
 * connection stays open, and the task sends `link-opened` again for it, without an address.
 * `link-closed` is sent only after the last connection to the peer has ended.
 *
 * @param state - state of the membership
 * @param message - the message
 * @param now - the current instant
 * @returns the step
 */
export const decideMembership: Decision<MembershipState, MembershipMessage, MembershipEffect> = (
  state,
  message,
  now,
) => decideMessage({ ...state, startedAt: state.startedAt ?? now }, message, now);

/**
 * Lists the backend servers to which this node may send calls to a service.
 *
 * @param state - state of the membership
 * @param service - the service
 * @param now - the current instant
 * @returns the live candidates whose link is open, whose zone is in and which accept new work
 */
export function listCandidates(
  state: MembershipState,
  service: ServiceName,
  now: Instant,
): readonly Candidate[] {
  const subset = state.plan.subsets.get(service) ?? [];
  const isAvailable = (peer: BackendServerName): boolean => {
    const host = state.hostByName.get(peer);
    const link = getLink(state, peer);
    const isOpen = peer === state.node || link.state === 'open';
    const isLive = host?.state === 'live' && isZoneIn(state, host.zone);
    return isOpen && isLive && now >= link.unavailableUntil;
  };
  const available = subset.filter((host) => isAvailable(host.backendServer));
  // Links that peers opened serve as a fallback until the links of the subset are open.
  const hosts =
    available.length > 0
      ? available
      : [...new Set([...state.links.keys(), state.node])]
          .map((peer) => state.hostByName.get(peer))
          .filter((host) => host?.service === service && isAvailable(host.backendServer))
          .filter((host) => host !== undefined);
  return hosts.map(({ backendServer, zone }) => {
    const link = getLink(state, backendServer);
    const isFresh = link.load !== null && now - link.loadReceivedAt < LOAD_LIFETIME_MS;
    return {
      backendServer,
      zone,
      region: regionOf(state, zone),
      load: isFresh ? link.load : null,
      refusedAt: link.refusedAt,
    };
  });
}

/**
 * Checks whether no frame from any peer has arrived for some time. Contact with the configuration
 * service does not count here; the gossip tracks it.
 *
 * @param state - state of the membership
 * @param now - the current instant
 * @param limitMs - the time without any frame, in milliseconds
 * @returns true when no frame has arrived for at least that time
 */
export function isIsolated(state: MembershipState, now: Instant, limitMs: Milliseconds): boolean {
  const since = state.lastFrameAt ?? state.startedAt ?? now;
  return now - since >= limitMs;
}
