import { Map as PersistentMap } from 'immutable';
import type { Zone } from '../model/configuration.js';
import type { Host } from '../model/host.js';
import type { Load } from '../model/load.js';
import type { BackendServerName, ServiceName, ZoneName } from '../model/names.js';
import { seedRandom, type RandomState } from '../model/random.js';
import type { Instant } from '../model/time.js';
import { rankByRendezvous } from '../routing/rendezvous.js';
import type { LinkState } from './membership-message.js';

/** A peer whose link could not be opened this many times in a row is chosen last. */
const SUSPECT_FAILURES = 2;

/** What membership needs from outside. */
export interface MembershipOptions {
  readonly node: BackendServerName;
  readonly zone: ZoneName;
  /** Peer addresses, `IP:port`, connected to while no link is open. */
  readonly seeds: readonly string[];
  /** Read once, to seed the generator in the state. */
  readonly random: () => number;
}

/** What this node knows of a peer from its own observation. */
export interface LinkRecord {
  readonly peer: BackendServerName;
  readonly state: LinkState;
  /** Whether this node opened the link; only the side that opened a link closes it as idle. */
  readonly isInitiator: boolean;
  /** Instant at which the state began. */
  readonly since: Instant;
  readonly lastUsedAt: Instant;
  readonly failures: number;
  readonly nextAttemptAt: Instant;
  readonly load: Load | null;
  readonly loadReceivedAt: Instant;
  readonly refusedAt: Instant | null;
  /** Instant until which the peer takes no new work. */
  readonly unavailableUntil: Instant;
}

/** Links that this node keeps open. */
export interface LinkPlan {
  readonly neighbours: readonly BackendServerName[];
  readonly subsets: PersistentMap<ServiceName, readonly Host[]>;
}

/** State of the membership. */
export interface MembershipState {
  readonly node: BackendServerName;
  readonly zone: ZoneName;
  readonly seeds: readonly string[];
  readonly zones: PersistentMap<ZoneName, Zone>;
  readonly hosts: PersistentMap<ZoneName, readonly Host[]>;
  readonly hostByName: PersistentMap<BackendServerName, Host>;
  /** The first hosts of each zone in this node's rendezvous order. */
  readonly rankings: PersistentMap<ZoneName, readonly BackendServerName[]>;
  readonly links: PersistentMap<BackendServerName, LinkRecord>;
  /** Services that are called from this node, and the instant of the last call. */
  readonly services: PersistentMap<ServiceName, Instant>;
  readonly seats: readonly BackendServerName[];
  /** Peers that a message was due to, with the instant of the last one. */
  readonly wantedPeers: PersistentMap<BackendServerName, Instant>;
  readonly plan: LinkPlan;
  /** Neighbours as last told to the other tasks. */
  readonly reportedNeighbours: readonly BackendServerName[];
  readonly startedAt: Instant | null;
  /** Instant of the last frame from any peer. */
  readonly lastFrameAt: Instant | null;
  readonly random: RandomState;
}

/**
 * Builds the first state.
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
    wantedPeers: PersistentMap(),
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
 * @returns its record, or that of a link that was never opened
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
 * Tells whether a link has failed so often that other peers come first.
 *
 * @param state - state of the membership
 * @param peer - the peer
 * @returns true after repeated failures without success
 */
export function isSuspect(state: MembershipState, peer: BackendServerName): boolean {
  const link = state.links.get(peer);
  return link !== undefined && link.state !== 'open' && link.failures >= SUSPECT_FAILURES;
}

/**
 * Tells whether a zone takes new work. A zone that the configuration does not name counts as in.
 *
 * @param state - state of the membership
 * @param zone - the zone
 * @returns false for a zone that operators took out
 */
export function isZoneIn(state: MembershipState, zone: ZoneName): boolean {
  return state.zones.get(zone)?.state !== 'out';
}

/**
 * Returns the region of a zone.
 *
 * @param state - state of the membership
 * @param zone - the zone
 * @returns the region, or the zone's own name when the configuration does not name it
 */
export function regionOf(state: MembershipState, zone: ZoneName): string {
  return state.zones.get(zone)?.region ?? zone;
}

/** Hosts kept of each zone's ranking; only the first ones that work are used. */
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
