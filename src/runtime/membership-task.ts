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

/** Options of the membership task. */
export interface MembershipTaskOptions {
  readonly identity: Identity;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly random: () => number;
  readonly connect: (peer: BackendServerName, address: string) => void;
  readonly disconnect: (peer: BackendServerName) => void;
  readonly onNeighboursChanged: (neighbours: readonly BackendServerName[]) => void;
  readonly onHostsChanged: (hosts: readonly Host[]) => void;
}

const TICK_INTERVAL_MS = 200;

/** Interval at which a called service is reported as wanted again, to keep its links open. */
const REFRESH_INTERVAL_MS = 5000;

/** Owns the node's view of hosts, zones and links. */
export class MembershipTask {
  readonly #options: MembershipTaskOptions;

  readonly #task: Task<MembershipState, MembershipMessage, MembershipEffect>;

  readonly #ticker: NodeJS.Timeout;

  readonly #refreshedAt = new Map<ServiceName, number>();

  /** Callbacks that end the pending waits for a change of the candidates. */
  #waiters: readonly (() => void)[] = [];

  #neighbours: readonly BackendServerName[] = [];

  /**
   * @param options - identity, seeds, clock and callbacks for links and changes
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

  /** @returns the peers that receive gossip from this node */
  get neighbours(): readonly BackendServerName[] {
    return this.#neighbours;
  }

  /** @returns the region of the zone of this node */
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
    if (message.kind === 'link-opened' || message.kind === 'hosts-listed') this.#wakeWaiters();
  }

  /**
   * Lists the backend servers that a call can be sent to, and keeps links to them open.
   *
   * @param service - the service that is called
   * @returns the candidates in the current view of this node
   */
  candidates(service: ServiceName): readonly Candidate[] {
    const now = this.#options.clock.now();
    if (now - (this.#refreshedAt.get(service) ?? -REFRESH_INTERVAL_MS) >= REFRESH_INTERVAL_MS) {
      this.#refreshedAt.set(service, now);
      this.send({ kind: 'service-used', service });
    }
    return listCandidates(this.#task.state, service, now);
  }

  /**
   * Waits until a link opens or a host list arrives.
   *
   * @param timeoutMs - longest time to wait
   * @returns a promise that resolves at the change or after the timeout
   */
  waitForChange(timeoutMs: Milliseconds): Promise<void> {
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
   * Waits until a link to a peer is open or the timeout has passed.
   *
   * @param peer - the peer
   * @param timeoutMs - longest time to wait
   */
  async waitForLink(peer: BackendServerName, timeoutMs: Milliseconds): Promise<void> {
    const now = this.#options.clock.now();
    await this.waitForChange(timeoutMs);
    const leftMs = timeoutMs - (this.#options.clock.now() - now);
    const isOpen = this.#task.state.links.get(peer)?.state === 'open';
    if (!isOpen && leftMs > 0) await this.waitForLink(peer, leftMs);
  }

  /**
   * Checks whether the node has received no frame from any peer for some time.
   *
   * @param limitMs - time without frames after which the node counts as isolated
   * @returns whether the node is isolated from its peers
   */
  isIsolated(limitMs: Milliseconds): boolean {
    return isIsolated(this.#task.state, this.#options.clock.now(), limitMs);
  }

  /** Stops the timer. */
  close(): void {
    clearInterval(this.#ticker);
  }

  #wakeWaiters(): void {
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
        this.#options.onNeighboursChanged(effect.neighbours);
        break;
      case 'hosts-changed':
        this.#options.onHostsChanged(effect.hosts);
        break;
    }
  }
}
