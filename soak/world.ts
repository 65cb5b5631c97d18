import { drawFraction, seedRandom } from '../src/core/model/random.js';
import { Audit, COLD_CAPACITY } from './audit.js';
import { Callers } from './callers.js';
import { FakeBackend, type Run } from './fake-backend.js';
import { FakeNetwork } from './fake-links.js';
import { HostUnit } from './host-unit.js';
import { MadeUpTime } from './made-up-time.js';
import { deeperTargets, SLOTS } from './platform.js';
import { Published } from './published.js';
import type { Sabotage } from './sabotage.js';
import { NODES, type Step } from './step.js';

/** Holders wait six seconds before they grant. */
const START_MS = 8000;
const LAST_MS = 5000;
const RESTART_MS = 300;
const LIST_LAG_MS = 1000;

const CALM_LINKS = { maxDelayMs: 3, late: 0, silence: 0, duplicate: 0 };
const ROUGH_LINKS = {
  maxDelayMs: 8,
  late: 0.001,
  silence: 0.00002,
  duplicate: 0.02,
};

/** Returns a generator of fractions. */
export function fractions(seed: number): () => number {
  let state = seedRandom(() => (seed % 1000003) / 1000003);
  return () => {
    const { fraction, next } = drawFraction(state);
    state = next;
    return fraction;
  };
}

export interface WorldOptions {
  readonly seed: number;
  readonly areLinksRough: boolean;
  readonly sabotage: Sabotage | null;
}

/** A fleet of real nodes, its platform and its callers, in one process with a made-up clock. */
export class World {
  readonly time = new MadeUpTime();

  readonly audit = new Audit(() => this.time.now);

  readonly #sabotage: Sabotage | null;

  readonly #random: () => number;

  readonly #network: FakeNetwork;

  readonly #hosts: ReadonlyMap<string, HostUnit>;

  readonly #published: Published;

  readonly #callers: Callers;

  constructor({ seed, areLinksRough, sabotage }: WorldOptions) {
    const { time, audit } = this;
    this.#sabotage = sabotage;
    this.#random = fractions(seed + 1);
    const faults = areLinksRough ? ROUGH_LINKS : CALM_LINKS;
    this.#network = new FakeNetwork(time, this.#random, faults);
    this.#published = new Published(time, sabotage, () => [...this.#hosts.values()]);
    this.#callers = new Callers({
      time,
      audit,
      sabotage,
      host: (name) => this.#host(name),
      replied: (host, ask, reply) => {
        const changedAt = this.#published.withdrawn.get(ask.account);
        if (ask.route === 'open' || reply.code !== 'ok') return;
        if (!this.#published.isDue(host, changedAt, ask.sentAt)) return;
        audit.breach('key-withdrawn', `${ask.id} of ${ask.account} was served`);
      },
    });
    this.#hosts = new Map(NODES.map((name) => [name, this.#createHost(name)]));
  }

  /** Starts all nodes and waits until they serve. */
  async start(): Promise<void> {
    this.time.install();
    this.#published.publishAll();
    for (const host of this.#hosts.values()) await host.start();
    await this.time.advance(START_MS);
  }

  /** Lets everything end and looks for requests without an answer. */
  async finish(): Promise<void> {
    await this.time.advance(LAST_MS);
    const { now } = this.time;
    this.#callers.open
      .filter(({ ask }) => now - ask.sentAt >= LAST_MS)
      .filter(({ host }) => now - host.process.awakeSince >= LAST_MS)
      .forEach(({ ask }) => this.audit.breach('own-answer', `${ask.id} was never answered`));
  }

  close(): void {
    this.time.uninstall();
  }

  /** Performs one step; only `wait` lets more than a millisecond pass. */
  async perform(step: Step): Promise<void> {
    switch (step.kind) {
      case 'wait':
        await this.time.advance(step.ms - 1);
        break;
      case 'request':
        this.#callers.request(step);
        break;
      case 'load':
        this.#callers.load(step);
        break;
      case 'zone':
      case 'withdraw':
      case 'grant':
        this.#published.change(step);
        break;
      case 'service':
        this.#published.service.change(step.state);
        break;
      case 'cut':
        this.#cut(step);
        break;
      case 'pause':
        this.#host(step.node).process.pause(this.time.now + step.ms);
        break;
      case 'restart':
        this.#end(this.#host(step.node), false, RESTART_MS);
        break;
      case 'replace':
        this.#end(this.#host(step.node), true, step.ms);
        break;
      case 'stop':
        await this.#stop(this.#host(step.node));
        break;
      case 'leave':
      case 'return':
        this.#published.changeHost(this.#host(step.node), step.kind === 'leave');
        break;
      case 'silence':
        this.#network.silence(this.#host(step.node).process);
        break;
      case 'backend':
        this.#host(step.node).around.backend.change(step.mode);
        break;
    }
    await this.time.advance(1);
  }

  #createHost(name: string): HostUnit {
    const { time, audit } = this;
    const sabotage = this.#sabotage;
    const random = this.#random;
    const backend = new FakeBackend({
      ...{ name, time, random, sabotage },
      slots: SLOTS,
      coldCapacity: COLD_CAPACITY,
      started: (run, coldRunning) => this.#started(run, coldRunning),
      deeper: deeperTargets,
      call: (run, target) => this.#callers.callDeeper(run, target),
    });
    return new HostUnit(name, {
      ...{ time, random, sabotage, backend },
      network: this.#network,
      service: this.#published.service,
      log: (process) => ({
        write: (entry) => {
          audit.logged(process, entry);
          const isApplied = entry.kind === 'event' && entry.code === 'documentApplied';
          if (isApplied && sabotage === 'lower-version') {
            audit.logged(process, { ...entry, details: { ...entry.details, version: 0 } });
          }
        },
      }),
    });
  }

  #host(name: string): HostUnit {
    const host = this.#hosts.get(name);
    if (host === undefined) throw new RangeError(`no node ${name}`);
    return host;
  }

  #cut({ nodes, ms }: Extract<Step, { kind: 'cut' }>): void {
    const wholeAt = this.time.now + ms;
    this.#network.cut = new Set(NODES.filter((name) => name.includes(nodes)));
    this.#published.wholeSince = wholeAt;
    this.time.after(null, ms, () => {
      if (this.#published.wholeSince === wholeAt) this.#network.cut = new Set();
    });
  }

  #end(host: HostUnit, isHostLost: boolean, forMs: number): void {
    if (!host.process.isAlive || host.isStopping) return;
    this.#callers.forget(host);
    host.kill(isHostLost);
    if (isHostLost) host.around.backend.crash();
    this.time.after(null, forMs, () => {
      void host.start(isHostLost);
      if (!isHostLost) return;
      this.time.after(null, LIST_LAG_MS, () => this.#published.publishHosts(host.zone));
    });
  }

  async #stop(host: HostUnit): Promise<void> {
    if (!host.process.isAlive || host.isStopping) return;
    await host.stop(() => {
      this.#callers.open
        .filter((open) => open.host === host && open.ask.isRoot)
        .forEach(({ ask }) =>
          this.audit.breach('graceful-stop', `${ask.id} was cut off at ${host.name}`),
        );
      this.time.after(null, 1, () => {
        this.#callers.forget(host);
        host.kill(false);
        void host.start();
      });
    });
  }

  #started(run: Run, coldRunning: number | null): void {
    const { zonesOut, leaving } = this.#published;
    const host = this.#host(run.server);
    const { now } = this.time;
    this.audit.started(run, coldRunning);
    if (this.#published.isDue(host, zonesOut.get(host.zone), now)) {
      this.audit.breach('zone-out', `${run.path} runs in zone ${host.zone}`);
    }
    if (this.#published.isDue(host, leaving.get(host.name), now)) {
      this.audit.breach('leaving', `${run.path} runs at ${host.name}`);
    }
  }
}
