import { ipOf, type Directory } from '../core/directory/directory.js';
import type { ZoneName } from '../core/model/names.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import { rankByRendezvous } from '../core/routing/rendezvous.js';

/** What the table of peers needs. */
export interface PeerTableOptions {
  readonly ip: string;
  readonly zone: ZoneName;
  /** Port on which all nodes listen for each other. */
  readonly port: number;
  readonly clock: Clock;
  /** @returns whether the last attempt to reach a peer failed a moment ago */
  readonly isUnreachable: (address: string) => boolean;
}

/** Peers that are told how far the published values are known here. */
const NEIGHBOUR_COUNT = 3;

/** A peer that said that it leaves gets no calls for this time, unless it opens a new link. */
const LEAVING_EXPIRY_MS: Milliseconds = 8000;

/** The other nodes, derived from the entries of their backend servers. */
export class PeerTable {
  readonly #options: PeerTableOptions;

  /** Addresses without the own one, sorted. */
  #peers: readonly string[] = [];

  /** Addresses of the own zone with the own one, in an order on which its nodes agree. */
  #readerCandidates: readonly string[] = [];

  readonly #leavingUntil = new Map<string, Instant>();

  /**
   * @param options - own address and clock
   */
  constructor(options: PeerTableOptions) {
    this.#options = options;
  }

  /** @returns own peer address */
  get own(): string {
    return this.addressOf(this.#options.ip);
  }

  /** @returns number of nodes, with this one */
  get nodeCount(): number {
    return this.#peers.length + 1;
  }

  /**
   * @param ip - IP address of a host
   * @returns peer address of its node
   */
  addressOf(ip: string): string {
    return `${ip}:${this.#options.port}`;
  }

  /**
   * Applies a new directory.
   *
   * @param directory - the directory
   */
  update(directory: Directory): void {
    const ips = new Set(directory.instances.map(({ address }) => ipOf(address)));
    ips.delete(this.#options.ip);
    this.#peers = [...ips].map((ip) => this.addressOf(ip)).sort();
    const inZone = directory.instances.filter(({ zone }) => zone === this.#options.zone);
    const addresses = inZone.map(({ address }) => this.addressOf(ipOf(address)));
    this.#readerCandidates = rankByRendezvous('published values', [this.own, ...addresses]);
  }

  /**
   * A peer takes no new calls any more.
   *
   * @param address - its address
   */
  markLeaving(address: string): void {
    this.#leavingUntil.set(address, this.#options.clock.now() + LEAVING_EXPIRY_MS);
  }

  /**
   * A peer has started to speak anew.
   *
   * @param address - its address
   */
  clearLeaving(address: string): void {
    this.#leavingUntil.delete(address);
  }

  /**
   * @param address - a peer's address
   * @returns whether calls may be sent to it
   */
  isReachable(address: string): boolean {
    const { clock, isUnreachable } = this.#options;
    const leavingUntil = this.#leavingUntil.get(address) ?? Number.NEGATIVE_INFINITY;
    return leavingUntil <= clock.now() && !isUnreachable(address);
  }

  /** @returns nodes of the own zone with this one; the first ones read the store for the others */
  get readerCandidates(): readonly string[] {
    return this.#readerCandidates.length === 0 ? [this.own] : this.#readerCandidates;
  }

  /** @returns the next reachable peers in the order of addresses, which forms a ring */
  get neighbours(): readonly string[] {
    const { own } = this;
    const ring = [
      ...this.#peers.filter((address) => address > own),
      ...this.#peers.filter((address) => address < own),
    ];
    return ring.filter((address) => this.isReachable(address)).slice(0, NEIGHBOUR_COUNT);
  }

  /**
   * Finds the node that adds up what all nodes report: the reachable one that comes first in an
   * order on which all nodes agree.
   *
   * @param topic - what is added up
   * @returns its address, or null when it is this node
   */
  findAggregator(topic: string): string | null {
    const { own } = this;
    const ranked = rankByRendezvous(topic, [own, ...this.#peers]);
    const first = ranked.find((address) => address === own || this.isReachable(address));
    return first === undefined || first === own ? null : first;
  }
}
