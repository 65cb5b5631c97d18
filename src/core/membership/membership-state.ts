import { Map as PersistentMap } from 'immutable';
import type { Zone } from '../model/configuration.js';
import type { Host } from '../model/host.js';
import type { Load } from '../model/load.js';
import type { BackendServerName, ServiceName, ZoneName } from '../model/names.js';
import { seedRandom, type RandomState } from '../model/random.js';
import type { Instant } from '../model/time.js';
import { rankByRendezvous } from '../routing/rendezvous.js';
import type { LinkState } from './membership-message.js';

/** Consecutive failures to open a link after which the peer is a suspect and is chosen last. */
const SUSPECT_FAILURES = 2;

/** Options of the membership. */
export interface MembershipOptions {
  readonly node: BackendServerName;
  readonly zone: ZoneName;
  /** Peer addresses, `IP:port`, that the node connects to while no link is open. */
  readonly seeds: readonly string[];
  /** Called once, to seed the random generator in the state. */
  readonly random: () => number;
}

/** Link to a peer and the last known load of that peer, as observed by this node. */
export interface LinkRecord {
  readonly peer: BackendServerName;
  readonly state: LinkState;
  /** Whether this node opened the link; only the side that opened a link closes it as idle. */
  readonly isInitiator: boolean;
  /** Instant at which the link entered its state. */
  readonly since: Instant;
  readonly lastUsedAt: Instant;
  readonly failures: number;
  readonly nextAttemptAt: Instant;
  readonly load: Load | null;
  readonly loadReceivedAt: Instant;
  readonly refusedAt: Instant | null;
  /** Instant until which the peer accepts no new work. */
  readonly unavailableUntil: Instant;
}

/** Peers to which this node keeps links. */
export interface LinkPlan {
  readonly neighbours: readonly BackendServerName[];
  readonly subsets: PersistentMap<ServiceName, readonly Host[]>;
}

/** Hosts, zones and links that a node knows. */
export interface MembershipState {
  readonly node: BackendServerName;
  readonly zone: ZoneName;
  readonly seeds: readonly string[];
  readonly zones: PersistentMap<ZoneName, Zone>;
  readonly hosts: PersistentMap<ZoneName, readonly Host[]>;
  readonly hostByName: PersistentMap<BackendServerName, Host>;
  /** First live hosts of each zone, in the rendezvous order of this node. */
  readonly rankings: PersistentMap<ZoneName, readonly BackendServerName[]>;
  readonly links: PersistentMap<BackendServerName, LinkRecord>;
  /** Services called from this node, with the instant of the last call. */
  readonly services: PersistentMap<ServiceName, Instant>;
  readonly seats: readonly BackendServerName[];
  /** Peers to which a message was due, with the instant of the last message. */
  readonly requestedPeers: PersistentMap<BackendServerName, Instant>;
  readonly plan: LinkPlan;
  /** Neighbours last reported to the other tasks. */
  readonly reportedNeighbours: readonly BackendServerName[];
  readonly startedAt: Instant | null;
  /** Instant of the last frame from any peer. */
  readonly lastFrameAt: Instant | null;
  readonly random: RandomState;
}

/**
 * Builds the initial state.
 *
 * @param options - node, zone, seeds and random source
 * @returns the state of a node that knows no other host
 */
export function initialMembership(options: MembershipOptions): MembershipState {
  return {
    node: options.node,
    zone: options.zone,
    seeds: options.seeds,
    zones: PersistentMap(),
    hosts: PersistentMap(),
    hostByName: PersistentMap(),
    rankings: PersistentMap(),
    links: PersistentMap(),
    services: PersistentMap(),
    seats: [],
    requestedPeers: PersistentMap(),
    plan: { neighbours: [], subsets: PersistentMap() },
    reportedNeighbours: [],
    startedAt: null,
    lastFrameAt: null,
    random: seedRandom(options.random),
  };
}

/**
 * Looks up the link to a peer.
 *
 * @param state - state of the membership
 * @param peer - the peer
 * @returns the record of the link, or a closed link without history
 */
export function getLink(state: MembershipState, peer: BackendServerName): LinkRecord {
  return (
    state.links.get(peer) ?? {
      peer,
      state: 'closed',
      isInitiator: false,
      since: 0,
      lastUsedAt: 0,
      failures: 0,
      nextAttemptAt: 0,
      load: null,
      loadReceivedAt: 0,
      refusedAt: null,
      unavailableUntil: 0,
    }
  );
}

/**
 * Replaces fields of a link.
 *
 * @param state - state of the membership
 * @param peer - the peer
 * @param change - the fields to replace
 * @returns the next state
 */
export function withLink(
  state: MembershipState,
  peer: BackendServerName,
  change: Partial<LinkRecord>,
): MembershipState {
  return { ...state, links: state.links.set(peer, { ...getLink(state, peer), ...change }) };
}

/**
 * Checks whether the link to a peer has failed so often that other peers are preferred.
 *
 * @param state - state of the membership
 * @param peer - the peer
 * @returns true after `SUSPECT_FAILURES` consecutive failures, while the link is not open
 */
export function isSuspect(state: MembershipState, peer: BackendServerName): boolean {
  const link = state.links.get(peer);
  return link !== undefined && link.state !== 'open' && link.failures >= SUSPECT_FAILURES;
}

/**
 * Checks whether a zone accepts new work. A zone missing from the configuration counts as in.
 *
 * @param state - state of the membership
 * @param zone - the zone
 * @returns false for a zone that operators have taken out of service
 */
export function isZoneIn(state: MembershipState, zone: ZoneName): boolean {
  return state.zones.get(zone)?.state !== 'out';
}

/**
 * Looks up the region of a zone.
 *
 * @param state - state of the membership
 * @param zone - the zone
 * @returns the region, or the name of the zone when the configuration does not list it
 */
export function regionOf(state: MembershipState, zone: ZoneName): string {
  return state.zones.get(zone)?.region ?? zone;
}

/** Hosts kept in the ranking of each zone; only the first reachable hosts are used. */
const RANKING_LIMIT = 32;

/**
 * Replaces the host list of one zone.
 *
 * @param state - state of the membership
 * @param zone - the zone
 * @param listed - its hosts
 * @returns the next state
 */
export function withHosts(
  state: MembershipState,
  zone: ZoneName,
  listed: readonly Host[],
): MembershipState {
  const before = state.hosts.get(zone) ?? [];
  const removedNames = before.map((host) => host.backendServer);
  const live = listed
    .filter((host) => host.state === 'live' && host.backendServer !== state.node)
    .map((host) => host.backendServer);
  return {
    ...state,
    hosts: state.hosts.set(zone, listed),
    hostByName: state.hostByName
      .deleteAll(removedNames)
      .merge(listed.map((host) => [host.backendServer, host] as const)),
    rankings: state.rankings.set(zone, rankByRendezvous(state.node, live).slice(0, RANKING_LIMIT)),
  };
}
