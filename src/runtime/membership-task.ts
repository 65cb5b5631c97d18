import type { Identity } from '../core/membership/handshake.js';
import {
  listCandidates,
  decideMembership,
  initialMembership,
  isIsolated,
  type MembershipState,
} from '../core/membership/membership.js';
import type {
  Candidate,
  MembershipEffect,
  MembershipMessage,
} from '../core/membership/membership-message.js';
import { regionOf } from '../core/membership/membership-state.js';
import type { Host } from '../core/model/host.js';
import type { BackendServerName, RegionName, ServiceName } from '../core/model/names.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import { Task } from '../core/task/task.js';

/** What membership needs of its node. */
export interface MembershipTaskOptions {
  readonly identity: Identity;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly random: () => number;
  readonly connect: (peer: BackendServerName, address: string) => void;
  readonly disconnect: (peer: BackendServerName) => void;
  readonly neighboursChanged: (neighbours: readonly BackendServerName[]) => void;
  readonly hostsChanged: (hosts: readonly Host[]) => void;
}

const TICK_INTERVAL_MS = 200;

/** Candidates of a service are asked for again after this time, which keeps its links open. */
const WANT_INTERVAL_MS = 5000;

/** Owner of what the node knows of hosts, zones and links. */
export class MembershipTask {
  readonly #options: MembershipTaskOptions;

  readonly #task: Task<MembershipState, MembershipMessage, MembershipEffect>;

  readonly #ticker: NodeJS.Timeout;

  readonly #wantedAt = new Map<ServiceName, number>();

  /** Resolvers of those who wait for a change of the candidates. */
  #waiters: readonly (() => void)[] = [];

  #neighbours: readonly BackendServerName[] = [];

  /**
   * @param options - identity, seeds, clock and how to open links
   */
  constructor(options: MembershipTaskOptions) {
    this.#options = options;
    const { identity, seeds, clock, random } = options;
    this.#task = new Task({
      initial: initialMembership({ node: identity.node, zone: identity.zone, seeds, random }),
      decide: decideMembership,
      clock,
      perform: (effect) => this.#perform(effect),
    });
    this.#ticker = setInterval(() => this.send({ kind: 'tick' }), TICK_INTERVAL_MS);
  }

  /** @returns the peers to which documents and marks are spread */
  get neighbours(): readonly BackendServerName[] {
    return this.#neighbours;
  }

  /** @returns the region of the own zone */
  get region(): RegionName {
    return regionOf(this.#task.state, this.#options.identity.zone);
  }

  /**
   * Handles a message about hosts, links or zones.
   *
   * @param message - the message
   */
  send(message: MembershipMessage): void {
    this.#task.send(message);
    if (message.kind === 'link-opened' || message.kind === 'hosts-listed') this.#wake();
  }

  /**
   * Lists the backend servers that a call may be sent to.
   *
   * @param service - the service that is called
   * @returns the candidates as this node sees them now
   */
  candidates(service: ServiceName): readonly Candidate[] {
    const now = this.#options.clock.now();
    if (now - (this.#wantedAt.get(service) ?? -WANT_INTERVAL_MS) >= WANT_INTERVAL_MS) {
      this.#wantedAt.set(service, now);
      this.send({ kind: 'service-used', service });
    }
    return listCandidates(this.#task.state, service, now);
  }

  /**
   * Waits for another link or host.
   *
   * @param timeoutMs - time after which waiting ends
   * @returns when something changed or the time has passed
   */
  change(timeoutMs: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.#waiters = [
        ...this.#waiters,
        () => {
          clearTimeout(timer);
          resolve();
        },
      ];
    });
  }

  /**
   * Waits for a link to a peer.
   *
   * @param peer - the peer
   * @param timeoutMs - time after which waiting ends
   */
  async opened(peer: BackendServerName, timeoutMs: Milliseconds): Promise<void> {
    const now = this.#options.clock.now();
    await this.change(timeoutMs);
    const leftMs = timeoutMs - (this.#options.clock.now() - now);
    const isOpen = this.#task.state.links.get(peer)?.state === 'open';
    if (!isOpen && leftMs > 0) await this.opened(peer, leftMs);
  }

  /**
   * Tells whether the node has heard neither the service nor a peer for a time.
   *
   * @param limitMs - that time
   * @returns whether the node is isolated
   */
  isIsolated(limitMs: Milliseconds): boolean {
    return isIsolated(this.#task.state, this.#options.clock.now(), limitMs);
  }

  /** Stops the timer. */
  close(): void {
    clearInterval(this.#ticker);
  }

  #wake(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((wake) => wake());
  }

  #perform(effect: MembershipEffect): void {
    switch (effect.kind) {
      case 'connect':
        this.#options.connect(effect.peer, effect.address);
        break;
      case 'disconnect':
        this.#options.disconnect(effect.peer);
        break;
      case 'neighbours-changed':
        this.#neighbours = effect.neighbours;
        this.#options.neighboursChanged(effect.neighbours);
        break;
      case 'hosts-changed':
        this.#options.hostsChanged(effect.hosts);
        break;
    }
  }
}
