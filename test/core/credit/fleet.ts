import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { HolderMessage, CacheMessage } from '../../../src/core/credit/credit-message.js';
import { decideHolder, HOLDER_TICK_MS, initialHolder } from '../../../src/core/credit/holder.js';
import {
  decideQuotaCache,
  initialQuotaCache,
  QUOTA_CACHE_TICK_MS,
} from '../../../src/core/credit/quota-cache.js';
import type { Account, Configuration } from '../../../src/core/model/configuration.js';
import type { Violation } from '../../../src/core/promises/violation.js';

/** Lossy link between processes; chances are per message. */
export interface LinkFaults {
  readonly maxDelayMs: number;
  readonly drop: number;
  readonly duplicate: number;
}

/** One admission or refusal, on the fleet's clock. */
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
  /** Every process counts from its own instant, so mixed clocks show up. */
  readonly clockOffset: number;
  pausedUntil: number;
  isAlive: boolean;
  handle: (message: HolderMessage | CacheMessage, now: number) => void;
}

export interface FleetOptions {
  readonly seed: number;
  readonly entries: number;
  readonly accounts: readonly Account[];
  readonly link: LinkFaults;
  readonly holderDecision?: typeof decideHolder;
  readonly quotaCacheDecision?: typeof decideQuotaCache;
}

export const ZONES = ['north', 'south', 'west'];

export function account(name: string, ratePerSecond: number, burst: number): Account {
  return { name, ratePerSecond, burst, keyHashes: [], weight: 1, services: [] };
}

/** Holders and quota caches joined in memory, in steps of one millisecond. */
export class Fleet {
  readonly answers: Answer[] = [];

  readonly violations: Violation[] = [];

  messages = 0;

  now = 0;

  readonly #options: FleetOptions;

  readonly #random;

  readonly #events = new Map<number, (() => void)[]>();

  readonly #entries: Process[];

  readonly #holders: Process[] = [];

  readonly #sentAt = new Map<string, { at: number; account: string; entry: number }>();

  #cut = new Set<string>();

  #configuration: Configuration;

  #serial = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    const seats = Array.from({ length: 6 }, (_, index) => `seat-${index}`);
    const zones = ZONES.map((name) => ({ name, region: 'r', state: 'in' as const }));
    const rest = { services: [], backendServers: [], routes: [] };
    this.#configuration = { revision: 1, seats, zones, accounts: options.accounts, ...rest };
    this.#entries = Array.from({ length: options.entries }, (_, index) =>
      this.#cache(`entry-${index}`),
    );
    seats.forEach((seat) => this.#holders.push(this.#holder(seat)));
    this.#every(QUOTA_CACHE_TICK_MS, () =>
      this.#entries.forEach((entry) => this.#put(entry, { kind: 'tick' })),
    );
    this.#every(HOLDER_TICK_MS, () =>
      this.#holders.forEach((holder) => this.#put(holder, { kind: 'tick' })),
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
    this.#serial += 1;
    const requestId = `r${this.#serial}`;
    this.#sentAt.set(requestId, { at: this.now, account: name, entry });
    const process = this.#entries[entry % this.#entries.length];
    if (process !== undefined) this.#put(process, { kind: 'spend', requestId, account: name });
  }

  pause(index: number, ms: number): void {
    const all = [...this.#entries, ...this.#holders];
    const process = all[index % all.length];
    if (process !== undefined) process.pausedUntil = this.now + ms;
  }

  restart(index: number): void {
    const all = [...this.#entries, ...this.#holders.filter(({ isAlive }) => isAlive)];
    const process = all[index % all.length];
    if (process === undefined) return;
    process.isAlive = false;
    const place = this.#entries.indexOf(process);
    if (place >= 0) this.#entries[place] = this.#cache(process.name);
    else this.#holders.push(this.#holder(process.name));
  }

  /** Cuts a holder and an entry off, and starts a second holder of the same seat elsewhere. */
  replace(index: number, entry: number, ms: number): void {
    const old = this.#holders.filter(({ isAlive }) => isAlive)[index % 6];
    if (old === undefined || this.#cut.size > 0) return;
    this.#cut = new Set([old.name, `entry-${entry % this.#entries.length}`]);
    const next = this.#holder(old.name);
    this.#holders.push(next);
    this.at(this.now + ms, () => {
      this.#cut = new Set();
      this.#put(old, { kind: 'incarnation-heard', incarnation: `${1e6 + this.#holders.length}` });
      this.at(this.now + 400, () => {
        old.isAlive = false;
      });
      this.#spread([...this.#entries, ...this.#holders], 500);
    });
  }

  configure(accounts: readonly Account[]): void {
    const { revision } = this.#configuration;
    this.#configuration = { ...this.#configuration, accounts, revision: revision + 1 };
    this.#spread([...this.#entries, ...this.#holders], 3000);
  }

  #spread(processes: readonly Process[], withinMs: number): void {
    const configuration = this.#configuration;
    processes.forEach((process) =>
      this.at(this.now + this.random() * withinMs, () => {
        if (!this.#isCutOff(process)) this.#put(process, { kind: 'configured', configuration });
      }),
    );
  }

  /** Of two holders of one seat, the older one is the one that was cut off. */
  #isCutOff(process: Process): boolean {
    if (!this.#cut.has(process.name)) return false;
    const same = this.#holders.filter(({ name, isAlive }) => isAlive && name === process.name);
    return same.length < 2 || same[0] === process;
  }

  #every(ms: number, action: () => void): void {
    this.at(this.now + ms, () => {
      action();
      this.#every(ms, action);
    });
  }

  #gossip(): void {
    this.#holders.forEach((holder) => {
      if (this.#isCutOff(holder)) {
        this.#put(holder, { kind: 'zone-heard', zone: holder.zone });
        return;
      }
      this.#put(holder, { kind: 'service-heard' });
      ZONES.forEach((zone) => this.#put(holder, { kind: 'zone-heard', zone }));
    });
  }

  #put(process: Process, message: HolderMessage | CacheMessage): void {
    if (!process.isAlive) return;
    if (process.pausedUntil > this.now) {
      this.at(process.pausedUntil, () => this.#put(process, message));
      return;
    }
    process.handle(message, this.now + process.clockOffset);
  }

  #send(from: Process, find: () => Process | undefined, message: HolderMessage | CacheMessage) {
    this.messages += 1;
    const { drop, duplicate, maxDelayMs } = this.#options.link;
    const copies = this.random() < duplicate ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random() < drop) continue;
      this.at(this.now + 1 + this.random() * maxDelayMs, () => {
        const to = find();
        if (to !== undefined && this.#isCutOff(from) === this.#isCutOff(to)) this.#put(to, message);
      });
    }
  }

  #process(name: string): Process {
    const zone = ZONES[Math.floor(this.random() * ZONES.length)] ?? 'north';
    const clockOffset = Math.floor(this.random() * 1e6);
    return { name, zone, clockOffset, pausedUntil: 0, isAlive: true, handle: () => undefined };
  }

  #cache(name: string): Process {
    const process = this.#process(name);
    const decide = this.#options.quotaCacheDecision ?? decideQuotaCache;
    let state = initialQuotaCache({ node: name, firstDrawId: Math.floor(this.random() * 2 ** 40) });
    process.handle = (message, now) => {
      const { state: next, effects } = decide(state, message as CacheMessage, now);
      state = next;
      effects.forEach((effect) => {
        if (effect.kind === 'violation') this.violations.push(effect);
        else if (effect.kind === 'admit' || effect.kind === 'refuse') {
          this.#note(effect.requestId, effect.kind === 'admit');
        } else {
          const find = () => this.#holderOf(effect.seat, process);
          const letter: HolderMessage =
            effect.kind === 'send-draw'
              ? { kind: 'draw', peer: name, draw: effect.draw }
              : { kind: 'settled', peer: name, settlement: effect.settlement };
          this.#send(process, find, letter);
        }
      });
    };
    this.#spread([process], 100);
    return process;
  }

  #holder(seat: string): Process {
    const process = this.#process(seat);
    const decide = this.#options.holderDecision ?? decideHolder;
    const incarnation = `${1e6 + this.#holders.length}`;
    const start = this.now + process.clockOffset;
    let state = initialHolder({ seat, zone: process.zone, incarnation, now: start });
    process.handle = (message, now) => {
      const { state: next, effects } = decide(state, message as HolderMessage, now);
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
            const find = () => this.#holderOf(effect.seat, process);
            this.#send(process, find, { kind: 'lease-requested', peer: seat, request });
            break;
          }
          case 'send-lease': {
            const find = () => this.#holderOf(effect.peer, process);
            this.#send(process, find, { kind: 'leased', seat, lease: effect.lease });
            break;
          }
        }
      });
    };
    this.#spread([process], 100);
    return process;
  }

  #holderOf(seat: string, from: Process): Process | undefined {
    return this.#holders.find(
      (holder) =>
        holder.isAlive && holder.name === seat && this.#isCutOff(holder) === this.#isCutOff(from),
    );
  }

  #note(requestId: string, isAdmitted: boolean): void {
    const sent = this.#sentAt.get(requestId);
    if (sent === undefined) return;
    this.#sentAt.delete(requestId);
    const { at, account: name, entry } = sent;
    this.answers.push({ at: this.now, account: name, entry, isAdmitted, waitedMs: this.now - at });
  }
}
