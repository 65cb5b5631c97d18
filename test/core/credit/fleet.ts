import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type {
  QuotaServerMessage,
  QuotaCacheMessage,
} from '../../../src/core/credit/credit-message.js';
import {
  decideQuotaServer,
  QUOTA_SERVER_TICK_MS,
  initialQuotaServer,
} from '../../../src/core/credit/quota-server.js';
import {
  decideQuotaCache,
  initialQuotaCache,
  QUOTA_CACHE_TICK_MS,
} from '../../../src/core/credit/quota-cache.js';
import type { Account, Configuration } from '../../../src/core/model/configuration.js';
import type { Violation } from '../../../src/core/promises/violation.js';

/** Faults of the links between processes; probabilities are per message. */
export interface LinkFaults {
  readonly maxDelayMs: number;
  readonly drop: number;
  readonly duplicate: number;
}

/** One admission or refusal; instants are on the fleet's clock. */
export interface Answer {
  readonly at: number;
  readonly account: string;
  readonly entry: number;
  readonly isAdmitted: boolean;
  readonly waitedMs: number;
}

interface Process {
  readonly name: string;
  readonly zone: string;
  /** Each process has a different clock offset, so that mixing clocks breaks a test. */
  readonly clockOffset: number;
  pausedUntil: number;
  isAlive: boolean;
  handle: (message: QuotaServerMessage | QuotaCacheMessage, now: number) => void;
}

export interface FleetOptions {
  readonly seed: number;
  readonly entries: number;
  readonly accounts: readonly Account[];
  readonly link: LinkFaults;
  readonly quotaServerDecision?: typeof decideQuotaServer;
  readonly quotaCacheDecision?: typeof decideQuotaCache;
}

export const ZONES = ['north', 'south', 'west'];

export function account(name: string, ratePerSecond: number, burst: number): Account {
  return { name, ratePerSecond, burst, keyHashes: [], weight: 1, services: [] };
}

/** Simulation of quota servers and quota caches in memory, in steps of one millisecond. */
export class Fleet {
  readonly answers: Answer[] = [];

  readonly violations: Violation[] = [];

  messages = 0;

  now = 0;

  readonly #options: FleetOptions;

  readonly #random;

  readonly #events = new Map<number, (() => void)[]>();

  readonly #entries: Process[];

  readonly #quotaServers: Process[] = [];

  readonly #sentAt = new Map<string, { at: number; account: string; entry: number }>();

  #isolatedNames = new Set<string>();

  #configuration: Configuration;

  #requestCount = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    const seats = Array.from({ length: 6 }, (_, index) => `seat-${index}`);
    const zones = ZONES.map((name) => ({ name, region: 'r', state: 'in' as const }));
    const rest = { services: [], backendServers: [], routes: [] };
    this.#configuration = { revision: 1, seats, zones, accounts: options.accounts, ...rest };
    this.#entries = Array.from({ length: options.entries }, (_, index) =>
      this.#startQuotaCache(`entry-${index}`),
    );
    seats.forEach((seat) => this.#quotaServers.push(this.#startQuotaServer(seat)));
    this.#every(QUOTA_CACHE_TICK_MS, () =>
      this.#entries.forEach((entry) => this.#post(entry, { kind: 'tick' })),
    );
    this.#every(QUOTA_SERVER_TICK_MS, () =>
      this.#quotaServers.forEach((server) => this.#post(server, { kind: 'tick' })),
    );
    this.#every(500, () => this.#gossip());
  }

  /** @returns a number in [0, 1) */
  random(): number {
    return (this.#random.next() + 2 ** 31) / 2 ** 32;
  }

  at(at: number, action: () => void): void {
    const key = Math.max(this.now + 1, Math.round(at));
    const actions = this.#events.get(key);
    if (actions === undefined) this.#events.set(key, [action]);
    else actions.push(action);
  }

  run(untilMs: number): void {
    for (; this.now < untilMs; this.now += 1) {
      this.#events.get(this.now)?.forEach((action) => action());
      this.#events.delete(this.now);
    }
  }

  spend(entry: number, name: string): void {
    this.#requestCount += 1;
    const requestId = `r${this.#requestCount}`;
    this.#sentAt.set(requestId, { at: this.now, account: name, entry });
    const process = this.#entries[entry % this.#entries.length];
    if (process !== undefined) this.#post(process, { kind: 'spend', requestId, account: name });
  }

  pause(index: number, ms: number): void {
    const all = [...this.#entries, ...this.#quotaServers];
    const process = all[index % all.length];
    if (process !== undefined) process.pausedUntil = this.now + ms;
  }

  restart(index: number): void {
    const all = [...this.#entries, ...this.#quotaServers.filter(({ isAlive }) => isAlive)];
    const process = all[index % all.length];
    if (process === undefined) return;
    process.isAlive = false;
    const place = this.#entries.indexOf(process);
    if (place >= 0) this.#entries[place] = this.#startQuotaCache(process.name);
    else this.#quotaServers.push(this.#startQuotaServer(process.name));
  }

  /** Isolates a quota server and an entry, and starts a second quota server of the same seat. */
  replaceQuotaServer(index: number, entry: number, ms: number): void {
    const old = this.#quotaServers.filter(({ isAlive }) => isAlive)[index % 6];
    if (old === undefined || this.#isolatedNames.size > 0) return;
    this.#isolatedNames = new Set([old.name, `entry-${entry % this.#entries.length}`]);
    const next = this.#startQuotaServer(old.name);
    this.#quotaServers.push(next);
    this.at(this.now + ms, () => {
      this.#isolatedNames = new Set();
      this.#post(old, {
        kind: 'incarnation-reported',
        incarnation: `${1e6 + this.#quotaServers.length}`,
      });
      this.at(this.now + 400, () => {
        old.isAlive = false;
      });
      this.#distributeConfiguration([...this.#entries, ...this.#quotaServers], 500);
    });
  }

  configure(accounts: readonly Account[]): void {
    const { revision } = this.#configuration;
    this.#configuration = { ...this.#configuration, accounts, revision: revision + 1 };
    this.#distributeConfiguration([...this.#entries, ...this.#quotaServers], 3000);
  }

  #distributeConfiguration(processes: readonly Process[], withinMs: number): void {
    const configuration = this.#configuration;
    processes.forEach((process) =>
      this.at(this.now + this.random() * withinMs, () => {
        if (!this.#isIsolated(process)) this.#post(process, { kind: 'configured', configuration });
      }),
    );
  }

  /** Of two quota servers of one seat, the older one is isolated. */
  #isIsolated(process: Process): boolean {
    if (!this.#isolatedNames.has(process.name)) return false;
    const same = this.#quotaServers.filter(({ name, isAlive }) => isAlive && name === process.name);
    return same.length < 2 || same[0] === process;
  }

  #every(ms: number, action: () => void): void {
    this.at(this.now + ms, () => {
      action();
      this.#every(ms, action);
    });
  }

  #gossip(): void {
    this.#quotaServers.forEach((server) => {
      if (this.#isIsolated(server)) {
        this.#post(server, { kind: 'zone-contacted', zone: server.zone });
        return;
      }
      this.#post(server, { kind: 'service-answered' });
      ZONES.forEach((zone) => this.#post(server, { kind: 'zone-contacted', zone }));
    });
  }

  #post(process: Process, message: QuotaServerMessage | QuotaCacheMessage): void {
    if (!process.isAlive) return;
    if (process.pausedUntil > this.now) {
      this.at(process.pausedUntil, () => this.#post(process, message));
      return;
    }
    process.handle(message, this.now + process.clockOffset);
  }

  #send(
    from: Process,
    find: () => Process | undefined,
    message: QuotaServerMessage | QuotaCacheMessage,
  ) {
    this.messages += 1;
    const { drop, duplicate, maxDelayMs } = this.#options.link;
    const copies = this.random() < duplicate ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random() < drop) continue;
      this.at(this.now + 1 + this.random() * maxDelayMs, () => {
        const to = find();
        if (to !== undefined && this.#isIsolated(from) === this.#isIsolated(to))
          this.#post(to, message);
      });
    }
  }

  #createProcess(name: string): Process {
    const zone = ZONES[Math.floor(this.random() * ZONES.length)] ?? 'north';
    const clockOffset = Math.floor(this.random() * 1e6);
    return { name, zone, clockOffset, pausedUntil: 0, isAlive: true, handle: () => undefined };
  }

  #startQuotaCache(name: string): Process {
    const process = this.#createProcess(name);
    const decide = this.#options.quotaCacheDecision ?? decideQuotaCache;
    let state = initialQuotaCache({ node: name, firstDrawId: Math.floor(this.random() * 2 ** 40) });
    process.handle = (message, now) => {
      const { state: next, effects } = decide(state, message as QuotaCacheMessage, now);
      state = next;
      effects.forEach((effect) => {
        if (effect.kind === 'violation') this.violations.push(effect);
        else if (effect.kind === 'admit' || effect.kind === 'refuse') {
          this.#recordAnswer(effect.requestId, effect.kind === 'admit');
        } else {
          const find = () => this.#findQuotaServer(effect.seat, process);
          const outgoing: QuotaServerMessage =
            effect.kind === 'send-draw'
              ? { kind: 'draw', peer: name, draw: effect.draw }
              : { kind: 'settled', peer: name, settlement: effect.settlement };
          this.#send(process, find, outgoing);
        }
      });
    };
    this.#distributeConfiguration([process], 100);
    return process;
  }

  #startQuotaServer(seat: string): Process {
    const process = this.#createProcess(seat);
    const decide = this.#options.quotaServerDecision ?? decideQuotaServer;
    const incarnation = `${1e6 + this.#quotaServers.length}`;
    const start = this.now + process.clockOffset;
    let state = initialQuotaServer({ seat, zone: process.zone, incarnation, now: start });
    process.handle = (message, now) => {
      const { state: next, effects } = decide(state, message as QuotaServerMessage, now);
      state = next;
      effects.forEach((effect) => {
        switch (effect.kind) {
          case 'violation':
            this.violations.push(effect);
            break;
          case 'grant': {
            const find = () => this.#entries.find(({ name }) => name === effect.peer);
            this.#send(process, find, { kind: 'granted', seat, grant: effect.grant });
            break;
          }
          case 'send-lease-request': {
            const { request } = effect;
            const find = () => this.#findQuotaServer(effect.seat, process);
            this.#send(process, find, { kind: 'lease-requested', peer: seat, request });
            break;
          }
          case 'send-lease': {
            const find = () => this.#findQuotaServer(effect.peer, process);
            this.#send(process, find, { kind: 'leased', seat, lease: effect.lease });
            break;
          }
        }
      });
    };
    this.#distributeConfiguration([process], 100);
    return process;
  }

  #findQuotaServer(seat: string, from: Process): Process | undefined {
    return this.#quotaServers.find(
      (server) =>
        server.isAlive &&
        server.name === seat &&
        this.#isIsolated(server) === this.#isIsolated(from),
    );
  }

  #recordAnswer(requestId: string, isAdmitted: boolean): void {
    const sent = this.#sentAt.get(requestId);
    if (sent === undefined) return;
    this.#sentAt.delete(requestId);
    const { at, account: name, entry } = sent;
    this.answers.push({ at: this.now, account: name, entry, isAdmitted, waitedMs: this.now - at });
  }
}
