import { Map as PersistentMap } from 'immutable';
import type { Host } from '../model/host.js';
import type { BackendServerName, ServiceName } from '../model/names.js';
import { rankByRendezvous } from '../routing/rendezvous.js';
import { isSuspect, isZoneIn, regionOf, type MembershipState } from './membership-state.js';

/** Number of neighbours in the own zone and in other zones; announcements go to each neighbour. */
const OWN_ZONE_NEIGHBOURS = 3;
const OTHER_ZONE_NEIGHBOURS = 2;

/** Maximum hosts of one service to which a node keeps links; bounds the links in a large fleet. */
const MAX_SUBSET_HOSTS = 10;

/**
 * Hosts of a subset reserved for other zones: calls that spill over compare two candidates, and one
 * is spare.
 */
const RESERVED_OTHER_ZONE_HOSTS = 3;

/** Moves suspects behind all other peers and keeps the order otherwise. */
function moveSuspectsLast(
  state: MembershipState,
  names: readonly BackendServerName[],
): readonly BackendServerName[] {
  const suspects = names.filter((name) => isSuspect(state, name));
  return [...names.filter((name) => !suspects.includes(name)), ...suspects];
}

function chooseNeighbours(state: MembershipState): readonly BackendServerName[] {
  const own = moveSuspectsLast(state, state.rankings.get(state.zone) ?? []);
  const zones = [...state.rankings.keys()].filter((zone) => zone !== state.zone);
  // Taking the first host of each zone before the second keeps a link when one zone is lost.
  const rankedByZone = rankByRendezvous(state.node, zones).map((zone) =>
    moveSuspectsLast(state, state.rankings.get(zone) ?? []),
  );
  const others = [0, 1].flatMap((position) =>
    rankedByZone.flatMap((zoneHosts) => zoneHosts.slice(position, position + 1)),
  );
  return [
    ...own.slice(0, OWN_ZONE_NEIGHBOURS),
    ...moveSuspectsLast(state, others).slice(0, OTHER_ZONE_NEIGHBOURS),
  ];
}

/** Orders the hosts round robin over the zones, the own region first and suspects last. */
function interleaveZones(state: MembershipState, hosts: readonly Host[]): readonly Host[] {
  const countByZone = new Map<string, number>();
  const ownRegion = regionOf(state, state.zone);
  return hosts
    .map((host) => {
      const position = countByZone.get(host.zone) ?? 0;
      countByZone.set(host.zone, position + 1);
      const regionRank = regionOf(state, host.zone) === ownRegion ? 0 : 1;
      return {
        host,
        regionRank,
        suspectRank: isSuspect(state, host.backendServer) ? 1 : 0,
        position,
      };
    })
    .sort(
      (left, right) =>
        left.suspectRank - right.suspectRank ||
        left.regionRank - right.regionRank ||
        left.position - right.position,
    )
    .map(({ host }) => host);
}

function chooseSubset(state: MembershipState, service: ServiceName): readonly Host[] {
  const eligible = [...state.hostByName.values()].filter(
    (host) => host.service === service && host.state === 'live' && isZoneIn(state, host.zone),
  );
  const names = eligible.map((host) => host.backendServer);
  const ranked = moveSuspectsLast(state, rankByRendezvous(`${state.node} ${service}`, names));
  const byName = new Map(eligible.map((host) => [host.backendServer, host]));
  const hosts = ranked.map((name) => byName.get(name)).filter((host) => host !== undefined);
  const self = hosts.filter((host) => host.backendServer === state.node);
  const own = hosts.filter((host) => host.zone === state.zone && host.backendServer !== state.node);
  const others = interleaveZones(
    state,
    hosts.filter((host) => host.zone !== state.zone),
  );
  const ownZoneLimit = MAX_SUBSET_HOSTS - Math.min(RESERVED_OTHER_ZONE_HOSTS, others.length);
  const local = [...self, ...own].slice(0, ownZoneLimit);
  return [...local, ...others.slice(0, MAX_SUBSET_HOSTS - local.length)];
}

/**
 * Chooses the neighbours and the backend servers of each called service to keep links to.
 *
 * @param state - state of the membership
 * @returns the state with the new link plan
 */
export function planLinks(state: MembershipState): MembershipState {
  const subsets = PersistentMap(
    [...state.services.keys()].map((service) => [service, chooseSubset(state, service)] as const),
  );
  return { ...state, plan: { neighbours: chooseNeighbours(state), subsets } };
}

/**
 * Lists the peers to which this node keeps links.
 *
 * @param state - state of the membership
 * @returns the peer addresses by name; a seed is listed under its address
 */
export function listWantedLinks(state: MembershipState): ReadonlyMap<BackendServerName, string> {
  const subsets = [...state.plan.subsets.values()].flat().map((host) => host.backendServer);
  const names = [
    ...state.plan.neighbours,
    ...subsets,
    ...state.seats,
    ...state.requestedPeers.keys(),
  ];
  const wanted = new Map<BackendServerName, string>();
  names.forEach((name) => {
    const address = state.hostByName.get(name)?.peerAddress;
    if (address !== undefined && name !== state.node) wanted.set(name, address);
  });
  // Without an open link, at the start or when no listed host responds, the seeds are tried too.
  const isDisconnected = !state.links.some((link) => link.state === 'open');
  if (isDisconnected) state.seeds.forEach((address) => wanted.set(address, address));
  return wanted;
}
