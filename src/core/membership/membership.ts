import type { BackendServerName, ServiceName } from '../model/names.js';
import { drawFraction } from '../model/random.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';
import { planLinks, wantedLinks } from './link-plan.js';
import type { Candidate, MembershipEffect, MembershipMessage } from './membership-message.js';
import {
  initialMembership,
  isSuspect,
  isZoneIn,
  linkTo,
  regionOf,
  withHosts,
  withLink,
  type MembershipOptions,
  type MembershipState,
} from './membership-state.js';

export { initialMembership };
export type { MembershipOptions, MembershipState };

type MembershipStep = Step<MembershipState, MembershipEffect>;

const RECONNECT_FIRST_MS = 50;
const RECONNECT_LIMIT_MS = 2000;

/** A link that lasted this long ends the back-off; a shorter one counts as another failure. */
const STABLE_AFTER_MS = 5000;

/** The task ends a connection attempt itself; this limit only covers a lost report. */
const CONNECT_LIMIT_MS = 5000;

const IDLE_LIMIT_MS = 60_000;

/** After this time without attempts a suspect is tried again like any other peer. */
const SUSPICION_MS = 30_000;

/** A gate that told of leaving or of a zone that is out is asked again after this time. */
const UNAVAILABLE_MS = 1000;

/** A load told longer ago says nothing; the choice then treats the load as unknown. */
const LOAD_LIFETIME_MS = 2000;

/** Peers told to other tasks as neighbours, so that announcements stay bounded. */
const NEIGHBOUR_LIMIT = 16;

/** Adds the effect that tells other tasks which neighbours have open links. */
function tellNeighbours(state: MembershipState, ...before: MembershipEffect[]): MembershipStep {
  const open = [...state.links.values()]
    .filter((link) => link.state === 'open')
    .map((link) => link.peer);
  const chosen = state.plan.neighbours.filter((peer) => open.includes(peer));
  const neighbours = [...new Set([...chosen, ...open])].slice(0, NEIGHBOUR_LIMIT);
  const told = state.toldNeighbours;
  const isSame =
    neighbours.length === told.length && neighbours.every((peer) => told.includes(peer));
  if (isSame) return step(state, ...before);
  const next = { ...state, toldNeighbours: neighbours };
  return step(next, ...before, { kind: 'neighbours-changed', neighbours });
}

function openLink(
  state: MembershipState,
  peer: BackendServerName,
  address: string | undefined,
  now: Instant,
): MembershipStep {
  const isSeed = address !== undefined && state.links.has(address);
  const settled = isSeed ? { ...state, links: state.links.delete(address) } : state;
  const { state: before, isInitiator, failures } = linkTo(settled, peer);
  const opened = withLink(settled, peer, {
    state: 'open',
    isInitiator: before === 'closed' ? address !== undefined : isInitiator,
    since: before === 'open' ? linkTo(settled, peer).since : now,
    lastUsedAt: now,
    // The peer may be a new process, so what was known of its load is void.
    load: null,
    refusedAt: null,
    unavailableUntil: 0,
  });
  const next: MembershipState = { ...opened, lastSignAt: now };
  return tellNeighbours(failures > 0 ? planLinks(next) : next);
}

function closeLink(state: MembershipState, peer: BackendServerName, now: Instant): MembershipState {
  const link = linkTo(state, peer);
  const wasStable = link.state === 'open' && now - link.since >= STABLE_AFTER_MS;
  const failures = wasStable ? 0 : link.failures + 1;
  const backoffMs = Math.min(RECONNECT_FIRST_MS * 2 ** Math.min(failures, 10), RECONNECT_LIMIT_MS);
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

/** Forgets what is old: unused services, and closed links that nobody wants or tried lately. */
function expire(state: MembershipState, now: Instant): MembershipState {
  const services = state.services.filter((usedAt) => now - usedAt < IDLE_LIMIT_MS);
  const links = state.links.filter(
    (link) =>
      link.peer === state.node || link.state !== 'closed' || now - link.since < SUSPICION_MS,
  );
  const wantedPeers = state.wantedPeers.filter((wantedAt) => now - wantedAt < IDLE_LIMIT_MS);
  const isSame = services.size === state.services.size && links.size === state.links.size;
  if (isSame)
    return wantedPeers.size === state.wantedPeers.size ? state : { ...state, wantedPeers };
  return planLinks({ ...state, services, links, wantedPeers });
}

function superviseLinks(state: MembershipState, now: Instant): MembershipStep {
  const wanted = wantedLinks(state);
  const overdue = [...state.links.values()].filter((link) => {
    if (link.state === 'connecting') return now - link.since >= CONNECT_LIMIT_MS;
    const isIdle = link.state === 'open' && now - link.lastUsedAt >= IDLE_LIMIT_MS;
    return isIdle && link.isInitiator && !wanted.has(link.peer);
  });
  const kept = overdue.reduce((next, { peer }) => closeLink(next, peer, now), state);
  const due = [...wanted].filter(([peer]) => {
    const link = linkTo(kept, peer);
    return link.state === 'closed' && now >= link.nextAttemptAt;
  });
  const connecting = due.reduce(
    (next, [peer]) => withLink(next, peer, { state: 'connecting', isInitiator: true, since: now }),
    kept,
  );
  return tellNeighbours(
    connecting,
    ...overdue.map(({ peer }) => ({ kind: 'disconnect', peer }) as const),
    ...due.map(([peer, address]) => ({ kind: 'connect', peer, address }) as const),
  );
}

function receiveLoad(
  state: MembershipState,
  message: Extract<MembershipMessage, { readonly kind: 'load-told' }>,
  now: Instant,
): MembershipState {
  const { peer, load, refused } = message;
  const { refusedAt, unavailableUntil } = linkTo(state, peer);
  const isServing = load.state === 'serving';
  const told = withLink(state, peer, {
    load,
    loadToldAt: now,
    lastUsedAt: now,
    refusedAt: refused ? now : refusedAt,
    unavailableUntil: isServing
      ? unavailableUntil
      : Math.max(unavailableUntil, now + UNAVAILABLE_MS),
  });
  const service = state.hostByName.get(peer)?.service;
  const isCalled = service !== undefined && state.services.has(service);
  return isCalled ? { ...told, services: told.services.set(service, now) } : told;
}

function wantService(state: MembershipState, service: ServiceName, now: Instant): MembershipStep {
  const isNew = !state.services.has(service);
  const wanted = { ...state, services: state.services.set(service, now) };
  return isNew ? superviseLinks(planLinks(wanted), now) : step(wanted);
}

function decideStarted(
  state: MembershipState,
  message: MembershipMessage,
  now: Instant,
): MembershipStep {
  switch (message.kind) {
    case 'zones-configured': {
      const zones = state.zones
        .clear()
        .merge(message.zones.map((zone) => [zone.name, zone] as const));
      return superviseLinks(planLinks({ ...state, zones }), now);
    }
    case 'hosts-listed': {
      const listed = planLinks(withHosts(state, message.zone, message.hosts));
      const { state: next, effects } = superviseLinks(listed, now);
      const hosts = [...next.hosts.values()].flat();
      return step(next, { kind: 'hosts-changed', hosts }, ...effects);
    }
    case 'link-opened':
      return openLink(state, message.peer, message.address, now);
    case 'link-closed':
      return tellNeighbours(closeLink(state, message.peer, now));
    case 'frame-received': {
      const signed = { ...state, lastSignAt: now };
      const isUse = message.isUse === true;
      return step(isUse ? withLink(signed, message.peer, { lastUsedAt: now }) : signed);
    }
    case 'peer-leaving':
      return step(withLink(state, message.peer, { unavailableUntil: now + message.forMs }));
    case 'load-told':
      return step(receiveLoad(state, message, now));
    case 'service-wanted':
      return wantService(state, message.service, now);
    case 'seats-wanted':
      return superviseLinks({ ...state, seats: message.seats }, now);
    case 'peer-wanted': {
      const wantedPeers = state.wantedPeers.set(message.peer, now);
      return superviseLinks({ ...state, wantedPeers }, now);
    }
    case 'tick':
      return superviseLinks(expire(state, now), now);
  }
}

/**
 * Decides on links and neighbours. `tick` comes every 50 to 100 ms. A `disconnect` concerns the
 * connection that this node opened. When both sides have connected at once, the peer's connection
 * stays, and the task tells `link-opened` again for it, without an address; `link-closed` is told
 * only after the last connection to the peer has ended.
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
) => decideStarted({ ...state, startedAt: state.startedAt ?? now }, message, now);

/**
 * Lists the backend servers that a call to a service may be sent to from this node.
 *
 * @param state - state of the membership
 * @param service - the service
 * @param now - the current instant
 * @returns candidates whose link is open, whose zone is in and which are not leaving
 */
export function candidatesOf(
  state: MembershipState,
  service: ServiceName,
  now: Instant,
): readonly Candidate[] {
  const subset = state.plan.subsets.get(service) ?? [];
  const isAvailable = (peer: BackendServerName): boolean => {
    const host = state.hostByName.get(peer);
    const link = linkTo(state, peer);
    const isOpen = peer === state.node || link.state === 'open';
    const isLive = host?.state === 'live' && isZoneIn(state, host.zone);
    return isOpen && isLive && now >= link.unavailableUntil;
  };
  const available = subset.filter((host) => isAvailable(host.backendServer));
  // Links that peers opened are better than none while the own ones are being opened.
  const hosts =
    available.length > 0
      ? available
      : [...new Set([...state.links.keys(), state.node])]
          .map((peer) => state.hostByName.get(peer))
          .filter((host) => host?.service === service && isAvailable(host.backendServer))
          .filter((host) => host !== undefined);
  return hosts.map(({ backendServer, zone }) => {
    const link = linkTo(state, backendServer);
    const isFresh = link.load !== null && now - link.loadToldAt < LOAD_LIFETIME_MS;
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
 * Tells whether no peer has given a sign of life for some time. Whether the configuration
 * service answers is known to the spread, not here.
 *
 * @param state - state of the membership
 * @param now - the current instant
 * @param limitMs - the time without any frame
 * @returns true when no frame has come for that time
 */
export function isIsolated(state: MembershipState, now: Instant, limitMs: Milliseconds): boolean {
  const since = state.lastSignAt ?? state.startedAt ?? now;
  return now - since >= limitMs;
}
