import { extractIp, type Directory } from '../core/directory/directory.js';
import type { ZoneName } from '../core/model/names.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import { rankByRendezvous } from '../core/routing/rendezvous.js';

/** Dependencies of the peer table. */
export interface PeerTableOptions {
  readonly ip: string;
  readonly zone: ZoneName;
  /** Port on which every node listens for its peers. */
  readonly port: number;
  readonly clock: Clock;
  /** @returns whether a connection to a peer failed recently */
  readonly isUnreachable: (address: string) => boolean;
  /** @returns whether the last connection to a peer failed and none was opened since */
  readonly hasFailed: (address: string) => boolean;
}

/** Number of peers that receive the status of the published values from this node. */
const NEIGHBOUR_COUNT = 3;

/**
 * A peer that announced its stop receives no calls for this time, unless a new link to it is
 * opened.
 */
const LEAVING_EXPIRY_MS: Milliseconds = 8000;

/** Table of the other nodes, derived from the directory entries of their backend servers. */
export class PeerTable {
  readonly #options: PeerTableOptions;

  /** Addresses of all peers, sorted, without the own address. */
  #peers: readonly string[] = [];

  /** Addresses of the own zone, including the own address, in an order common to its nodes. */
  #readerCandidates: readonly string[] = [];

  /** All nodes in the order of each topic, since the last change of the directory. */
  readonly #ranked = new Map<string, readonly string[]>();

  readonly #leavingUntil = new Map<string, Instant>();

  /**
   * @param options - own address and zone, clock and reachability of peers
   */
  constructor(options: PeerTableOptions) {
    this.#options = options;
  }

  /** @returns the own peer address */
  get own(): string {
    return this.addressOf(this.#options.ip);
  }

  /** @returns the number of nodes, including this one */
  get nodeCount(): number {
    return this.#peers.length + 1;
  }

  /**
   * Builds the peer address of the node on a host.
   *
   * @param ip - IP address of the host
   * @returns the peer address
   */
  addressOf(ip: string): string {
    return `${ip}:${this.#options.port}`;
  }

  /**
   * Rebuilds the table from a new directory.
   *
   * @param directory - the directory
   */
  update(directory: Directory): void {
    const ips = new Set(directory.instances.map(({ address }) => extractIp(address)));
    ips.delete(this.#options.ip);
    this.#ranked.clear();
    this.#peers = [...ips].map((ip) => this.addressOf(ip)).sort();
    const inZone = directory.instances.filter(({ zone }) => zone === this.#options.zone);
    const addresses = inZone.map(({ address }) => this.addressOf(extractIp(address)));
    this.#readerCandidates = rankByRendezvous('published values', [this.own, ...addresses]);
  }

  /**
   * Marks a peer that has announced its stop.
   *
   * @param address - the peer's address
   */
  markLeaving(address: string): void {
    this.#leavingUntil.set(address, this.#options.clock.now() + LEAVING_EXPIRY_MS);
  }

  /**
   * Clears the mark of a peer when a new link to or from it is open.
   *
   * @param address - the peer's address
   */
  clearLeaving(address: string): void {
    this.#leavingUntil.delete(address);
  }

  /**
   * Checks whether calls may be sent to a peer.
   *
   * @param address - the peer's address
   * @returns whether the peer is not stopping and no connection to it failed recently
   */
  isReachable(address: string): boolean {
    const { clock, isUnreachable } = this.#options;
    const leavingUntil = this.#leavingUntil.get(address) ?? Number.NEGATIVE_INFINITY;
    return leavingUntil <= clock.now() && !isUnreachable(address);
  }

  /** @returns addresses of the nodes of the own zone; the first ones read the store for the others */
  get readerCandidates(): readonly string[] {
    return this.#readerCandidates.length === 0 ? [this.own] : this.#readerCandidates;
  }

  /** @returns the next reachable peers after this node in a ring ordered by address */
  get neighbours(): readonly string[] {
    return this.#listRing().slice(0, NEIGHBOUR_COUNT);
  }

  /**
   * Lists reachable peers at equal distances on the ring. Neighbours are often in one zone, and all
   * nodes of a zone may have lost the store.
   *
   * @param round - number of the selection; successive rounds select all peers in turn
   * @returns the addresses of up to `NEIGHBOUR_COUNT` peers
   */
  listSpread(round: number): readonly string[] {
    const ring = this.#listRing();
    const distance = Math.max(1, Math.ceil(ring.length / NEIGHBOUR_COUNT));
    return ring.filter((_, index) => index % distance === round % distance);
  }

  /**
   * Finds the node that aggregates the reports of all nodes: the first reachable node in the
   * rendezvous order of a topic, which all nodes with the same view share.
   *
   * @param topic - the subject of the reports
   * @returns the address of the aggregator, or null when it is this node
   */
  findAggregator(topic: string): string | null {
    const { own } = this;
    const first = this.#rankNodes(topic).find(
      (address) => address === own || this.isReachable(address),
    );
    return first === undefined || first === own ? null : first;
  }

  /**
   * Finds the aggregator as `findAggregator` does, without peers that have not been reached since a
   * failure. Behind a cut, a peer that is tried again now and then would get every second report.
   *
   * @param topic - the subject of the reports
   * @returns the address of the aggregator, or null when it is this node
   */
  findProvenAggregator(topic: string): string | null {
    const { own } = this;
    const first = this.#rankNodes(topic).find(
      (address) =>
        address === own || (this.isReachable(address) && !this.#options.hasFailed(address)),
    );
    return first === undefined || first === own ? null : first;
  }

  /** Lists the reachable peers in the order of their addresses, starting after the own address. */
  #listRing(): readonly string[] {
    const { own } = this;
    const ring = [
      ...this.#peers.filter((address) => address > own),
      ...this.#peers.filter((address) => address < own),
    ];
    return ring.filter((address) => this.isReachable(address));
  }

  #rankNodes(topic: string): readonly string[] {
    const known = this.#ranked.get(topic);
    if (known !== undefined) return known;
    const ranked = rankByRendezvous(topic, [this.own, ...this.#peers]);
    this.#ranked.set(topic, ranked);
    return ranked;
  }
}
