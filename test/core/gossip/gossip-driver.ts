import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';
import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import { ok } from 'neverthrow';
import type { Document } from '../../../src/core/model/document.js';
import { documentDigest } from '../../../src/core/model/document-digest.js';
import type { Host } from '../../../src/core/model/host.js';
import type { PeerMessage } from '../../../src/core/model/peer-message.js';
import { rankByRendezvous } from '../../../src/core/routing/rendezvous.js';
import {
  currentDocument,
  decideGossip,
  listHeartbeatHeads,
  initialGossip,
  serviceAgeMs,
  type GossipOptions,
  type GossipState,
} from '../../../src/core/gossip/gossip.js';
import type { GossipEffect, GossipMessage } from '../../../src/core/gossip/gossip-message.js';

export function configurationOf(version: number, text = `v${version}`): Document {
  const entries = new Map([
    ['accounts/paisley', `"${text}"`],
    ['accounts/largs', '"constant"'],
  ]);
  return { topic: 'configuration', version, digest: documentDigest(entries), entries };
}

export interface Network {
  /** Probability that a message is lost, and that it arrives twice. */
  readonly loss: number;
  readonly duplicates: number;
  readonly delayMinMs: number;
  readonly delayMaxMs: number;
}

const LOSSLESS: Network = { loss: 0, duplicates: 0, delayMinMs: 1, delayMaxMs: 1 };
const WATCH_TIMEOUT_MS = 1000;

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Chooses neighbours as membership does: 3 of the own zone and 2 others, linked both ways. */
function neighboursOf(hosts: readonly Host[]): ReadonlyMap<string, readonly string[]> {
  const names = hosts.map((host) => host.backendServer);
  const zones = new Map(hosts.map((host) => [host.backendServer, host.zone]));
  const chosen = new Map(
    names.map((node) => {
      const ranked = rankByRendezvous(node, names).filter((other) => other !== node);
      const own = ranked.filter((other) => zones.get(other) === zones.get(node));
      const others = ranked.filter((other) => zones.get(other) !== zones.get(node));
      return [node, [...own.slice(0, 3), ...others.slice(0, 2)]];
    }),
  );
  return new Map(
    names.map((node) => {
      const choosers = names.filter((other) => chosen.get(other)?.includes(node));
      return [node, [...new Set([...(chosen.get(node) ?? []), ...choosers])]];
    }),
  );
}

/** Simulates the gossip of several nodes and a configuration service on a virtual clock. */
export class GossipDriver {
  now = 0;

  network: Network = LOSSLESS;

  service: 'up' | 'down' | { readonly staleAt: number } = 'up';

  published = 0;

  reads = 0;

  watches = 0;

  /** Number of configuration values returned by the service. */
  values = 0;

  /** Number of messages sent, by node and kind. */
  readonly sent = new Map<string, number>();

  /** Faults found: an older version applied after a newer one, or a reported violation. */
  readonly faults: string[] = [];

  readonly appliedAt = new Map<string, { readonly at: number; readonly hops: number }>();

  readonly #names: readonly string[];

  readonly #hosts: readonly Host[];

  readonly #states = new Map<string, GossipState>();

  readonly #runs = new Map<string, number>();

  readonly #partitionSides = new Map<string, number>();

  readonly #random;

  readonly #queue: ScheduledEvent[] = [];

  readonly #neighbours: ReadonlyMap<string, readonly string[]>;

  #order = 0;

  constructor(
    count: number,
    zones: number,
    seed: number,
    readonly decide: (options: GossipOptions) => ReturnType<typeof decideGossip> = decideGossip,
  ) {
    const generator = xorshift128plus(seed);
    this.#random = () => uniformFloat32(generator);
    this.#hosts = Array.from({ length: count }, (_, index) => ({
      backendServer: `dispatch-${index}`,
      service: 'dispatch',
      zone: `zone-${index % zones}`,
      peerAddress: `127.0.0.1:${7000 + index}`,
      state: 'live' as const,
    }));
    this.#names = this.#hosts.map((host) => host.backendServer);
    this.#neighbours = neighboursOf(this.#hosts);
  }

  get names(): readonly string[] {
    return this.#names;
  }

  isUp(name: string): boolean {
    return this.#states.has(name);
  }

  version(name: string): number {
    const state = this.#states.get(name);
    return state === undefined ? 0 : (currentDocument(state, 'configuration')?.version ?? 0);
  }

  start(name: string): void {
    const options = this.#options(name);
    const run = (this.#runs.get(name) ?? 0) + 1;
    this.#runs.set(name, run);
    this.#states.set(name, initialGossip(options));
    this.handle(name, { kind: 'hosts-changed', hosts: this.#hosts });
    this.handle(name, { kind: 'neighbours-changed', neighbours: this.neighbours(name) });
    this.#repeat(name, 100, () => this.handle(name, { kind: 'tick' }));
    this.#repeat(name, 1000, () => this.#sendHeartbeats(name));
  }

  stop(name: string): void {
    this.#states.delete(name);
  }

  /** Moves a node to a side of a network partition; all nodes start on side 0. */
  partition(name: string, side: number): void {
    this.#partitionSides.set(name, side);
  }

  neighbours(name: string): readonly string[] {
    return this.#neighbours.get(name) ?? [];
  }

  handle(name: string, message: GossipMessage, hops = 0): void {
    const state = this.#states.get(name);
    if (state === undefined) return;
    const { state: next, effects } = this.decide(this.#options(name))(state, message, this.now);
    this.#states.set(name, next);
    effects.forEach((effect) => this.#perform(name, effect, hops));
  }

  run(untilMs: number): void {
    while (this.#queue.some((event) => event.at <= untilMs)) {
      this.#queue.sort((left, right) => left.at - right.at || left.order - right.order);
      const next = this.#queue.shift();
      if (next === undefined) break;
      this.now = next.at;
      next.run();
    }
    this.now = untilMs;
  }

  setService(mode: 'up' | 'down' | 'stale'): void {
    this.service = mode === 'stale' ? { staleAt: Math.max(1, this.published - 2) } : mode;
  }

  publish(): void {
    this.published += 1;
  }

  #options(name: string): GossipOptions {
    const zone = this.#hosts.find((host) => host.backendServer === name)?.zone ?? '';
    return { node: name, zone, check: () => ok(undefined), random: this.#random };
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    this.#queue.push({ at: this.now + delayMs, order: this.#order, run });
  }

  #repeat(name: string, intervalMs: number, run: () => void, first = this.#random()): void {
    const runId = this.#runs.get(name);
    this.#schedule(intervalMs * first, () => {
      if (this.#runs.get(name) !== runId || !this.isUp(name)) return;
      run();
      this.#repeat(name, intervalMs, run, 1);
    });
  }

  #sendHeartbeats(name: string): void {
    const state = this.#states.get(name);
    if (state === undefined) return;
    const message = { kind: 'ping', sentAt: this.now, heads: listHeartbeatHeads(state) } as const;
    const ageMs = serviceAgeMs(state, this.now);
    this.neighbours(name).forEach((peer) =>
      this.#transmit(name, peer, { ...message, serviceAgeMs: ageMs }, 0),
    );
  }

  #transmit(from: string, to: string, message: PeerMessage, hops: number): void {
    const key = `${from} ${message.kind}`;
    this.sent.set(key, (this.sent.get(key) ?? 0) + 1);
    const { loss, duplicates, delayMinMs, delayMaxMs } = this.network;
    const copies = this.#random() < duplicates ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.#random() < loss) continue;
      this.#schedule(delayMinMs + this.#random() * (delayMaxMs - delayMinMs), () => {
        if ((this.#partitionSides.get(from) ?? 0) !== (this.#partitionSides.get(to) ?? 0)) return;
        this.#deliver(from, to, message, hops);
      });
    }
  }

  #deliver(peer: string, to: string, message: PeerMessage, hops: number): void {
    if (message.kind === 'announce') {
      const { head, serviceAgeMs: ageMs } = message;
      this.handle(to, { kind: 'heads-received', peer, heads: [head], serviceAgeMs: ageMs }, hops);
    } else if (message.kind === 'ping') {
      const { heads: told, serviceAgeMs: ageMs } = message;
      this.handle(to, { kind: 'heads-received', peer, heads: told, serviceAgeMs: ageMs }, hops);
    } else if (message.kind === 'pull') {
      const { topic, haveDigest } = message;
      this.handle(to, { kind: 'pull-received', peer, topic, haveDigest }, hops);
    } else if (message.kind === 'delta') {
      this.handle(to, { kind: 'delta-received', peer, delta: message.delta }, hops + 1);
    } else if (message.kind === 'document') {
      this.handle(to, { kind: 'document-received', peer, document: message.document }, hops + 1);
    }
  }

  #answer(name: string, topic: Document['topic'], after: number | null, startedAt: number): void {
    const runId = this.#runs.get(name);
    const reply = (message: GossipMessage) => {
      if (this.#runs.get(name) === runId) this.handle(name, message);
    };
    this.#schedule(5, () => {
      if (this.service === 'down') {
        reply({ kind: 'service-failed', topic });
        return;
      }
      const latest = this.service === 'up' ? this.published : this.service.staleAt;
      // Host lists are published once and do not change.
      const version = topic === 'configuration' ? latest : 1;
      if (version === 0 || (after !== null && version <= after)) {
        const isOver = after === null || this.now - startedAt >= WATCH_TIMEOUT_MS;
        if (isOver) reply({ kind: 'service-unchanged', topic });
        else this.#answer(name, topic, after, startedAt);
        return;
      }
      if (topic === 'configuration') this.values += 1;
      reply({ kind: 'service-value', document: { ...configurationOf(version), topic } });
    });
  }

  #perform(name: string, effect: GossipEffect, hops: number): void {
    switch (effect.kind) {
      case 'send':
        this.#transmit(name, effect.peer, effect.message, hops);
        break;
      case 'read-service':
        this.reads += 1;
        this.#answer(name, effect.topic, null, this.now);
        break;
      case 'watch-service':
        this.watches += 1;
        this.#answer(name, effect.topic, effect.after, this.now);
        break;
      case 'apply': {
        const { topic } = effect.document;
        const key = `${name} run ${this.#runs.get(name) ?? 0} ${topic}`;
        const last = this.#applied.get(key) ?? 0;
        const { version } = effect.document;
        if (version <= last) this.faults.push(`${key}: ${version} after ${last}`);
        this.#applied.set(key, version);
        if (topic === 'configuration')
          this.appliedAt.set(`${name} ${version}`, { at: this.now, hops });
        break;
      }
      case 'violation':
        this.faults.push(effect.detail);
        break;
      case 'ready':
      case 'rejected':
      case 'ignored-older':
        break;
    }
  }

  readonly #applied = new Map<string, number>();
}
