import { drawFraction, seedRandom } from '../src/core/model/random.js';
import { Audit, COLD_CAPACITY } from './audit.js';
import { Callers } from './callers.js';
import { FakeBackend, type Run } from './fake-backend.js';
import { FakeNetwork } from './fake-network.js';
import { SimulatedHost } from './simulated-host.js';
import { SimulatedTime } from './simulated-time.js';
import { nestedTargetsOf, SLOTS } from './fleet-configuration.js';
import { Publisher } from './publisher.js';
import type { InjectedDefect } from './injected-defect.js';
import { NODES, type Step } from './step.js';

/** Quota servers grant no tokens in the first six seconds after their start. */
const STARTUP_MS = 8000;
const DRAIN_MS = 5000;
const RESTART_MS = 300;
const HOST_LIST_DELAY_MS = 1000;

const RELIABLE_LINKS = {
  maxDelayMs: 3,
  lateProbability: 0,
  silenceProbability: 0,
  duplicateProbability: 0,
};
const FAULTY_LINKS = {
  maxDelayMs: 8,
  lateProbability: 0.001,
  silenceProbability: 0.00002,
  duplicateProbability: 0.02,
};

/** Creates a seeded source of random numbers from 0 to below 1. */
export function createRandom(seed: number): () => number {
  let state = seedRandom(() => (seed % 1000003) / 1000003);
  return () => {
    const { fraction, next } = drawFraction(state);
    state = next;
    return fraction;
  };
}

export interface SimulationOptions {
  readonly seed: number;
  readonly hasLinkFaults: boolean;
  readonly defect: InjectedDefect | null;
}

/** A fleet of real nodes with a simulated platform, callers and clock in one process. */
export class Simulation {
  readonly time = new SimulatedTime();

  readonly audit = new Audit(() => this.time.now);

  readonly #defect: InjectedDefect | null;

  readonly #random: () => number;

  readonly #network: FakeNetwork;

  readonly #hosts: ReadonlyMap<string, SimulatedHost>;

  readonly #publisher: Publisher;

  readonly #callers: Callers;

  constructor({ seed, hasLinkFaults, defect }: SimulationOptions) {
    const { time, audit } = this;
    this.#defect = defect;
    this.#random = createRandom(seed + 1);
    const faults = hasLinkFaults ? FAULTY_LINKS : RELIABLE_LINKS;
    this.#network = new FakeNetwork(time, this.#random, faults);
    this.#publisher = new Publisher(time, defect, () => [...this.#hosts.values()]);
    this.#callers = new Callers({
      time,
      audit,
      defect,
      findHost: (name) => this.#host(name),
      onRootReply: (host, tracked, reply) => {
        const changedAt = this.#publisher.withdrawn.get(tracked.account);
        if (tracked.route === 'open' || reply.code !== 'ok') return;
        if (!this.#publisher.isChangeDue(host, changedAt, tracked.sentAt)) return;
        audit.recordBreach(
          'key-withdrawn',
          `${tracked.id} of account ${tracked.account} was served`,
        );
      },
    });
    this.#hosts = new Map(NODES.map((name) => [name, this.#createHost(name)]));
  }

  /** Starts all nodes and waits until they serve requests. */
  async start(): Promise<void> {
    this.time.install();
    this.#publisher.publishAll();
    for (const host of this.#hosts.values()) await host.start();
    await this.time.advance(STARTUP_MS);
  }

  /** Waits for the pending requests and reports those that are still without an answer. */
  async finish(): Promise<void> {
    await this.time.advance(DRAIN_MS);
    const { now } = this.time;
    this.#callers.pendingRequests
      .filter(({ tracked }) => now - tracked.sentAt >= DRAIN_MS)
      .filter(({ host }) => now - host.process.awakeSince >= DRAIN_MS)
      .forEach(({ tracked }) =>
        this.audit.recordBreach('own-answer', `${tracked.id} was never answered`),
      );
  }

  close(): void {
    this.time.uninstall();
  }

  /** Performs one step, which takes one millisecond of simulated time unless it is a `wait`. */
  async perform(step: Step): Promise<void> {
    switch (step.kind) {
      case 'wait':
        await this.time.advance(step.ms - 1);
        break;
      case 'request':
        this.#callers.sendRequest(step);
        break;
      case 'load':
        this.#callers.sendLoad(step);
        break;
      case 'zone':
      case 'withdraw':
      case 'grant':
        this.#publisher.applyStep(step);
        break;
      case 'service':
        this.#publisher.service.setState(step.state);
        break;
      case 'cut':
        this.#startPartition(step);
        break;
      case 'pause':
        this.#host(step.node).process.pause(this.time.now + step.ms);
        break;
      case 'restart':
        this.#killHost(this.#host(step.node), false, RESTART_MS);
        break;
      case 'replace':
        this.#killHost(this.#host(step.node), true, step.ms);
        break;
      case 'stop':
        await this.#stopHost(this.#host(step.node));
        break;
      case 'leave':
      case 'return':
        this.#publisher.setLeaving(this.#host(step.node), step.kind === 'leave');
        break;
      case 'silence':
        this.#network.silence(this.#host(step.node).process);
        break;
      case 'backend':
        this.#host(step.node).environment.backend.setMode(step.mode);
        break;
    }
    await this.time.advance(1);
  }

  #createHost(name: string): SimulatedHost {
    const { time, audit } = this;
    const defect = this.#defect;
    const random = this.#random;
    const backend = new FakeBackend({
      ...{ name, time, random, defect },
      slots: SLOTS,
      coldCapacity: COLD_CAPACITY,
      onRunStart: (run, coldRunning) => this.#checkRunStart(run, coldRunning),
      nestedTargets: nestedTargetsOf,
      sendNestedCall: (run, target) => this.#callers.sendNested(run, target),
    });
    return new SimulatedHost(name, {
      ...{ time, random, defect, backend },
      network: this.#network,
      service: this.#publisher.service,
      log: (process) => ({
        write: (entry) => {
          audit.recordLogEntry(process, entry);
          const isApplied = entry.kind === 'event' && entry.code === 'documentApplied';
          if (isApplied && defect === 'lower-version') {
            audit.recordLogEntry(process, { ...entry, details: { ...entry.details, version: 0 } });
          }
        },
      }),
    });
  }

  #host(name: string): SimulatedHost {
    const host = this.#hosts.get(name);
    if (host === undefined) throw new RangeError(`unknown node ${name}`);
    return host;
  }

  #startPartition({ nodes, ms }: Extract<Step, { kind: 'cut' }>): void {
    const healedAt = this.time.now + ms;
    this.#network.partitionedNodes = new Set(NODES.filter((name) => name.includes(nodes)));
    this.#publisher.connectedSince = healedAt;
    this.time.after(null, ms, () => {
      if (this.#publisher.connectedSince === healedAt) this.#network.partitionedNodes = new Set();
    });
  }

  #killHost(host: SimulatedHost, isHostLost: boolean, forMs: number): void {
    if (!host.process.isAlive || host.isStopping) return;
    this.#callers.dropRequests(host);
    host.kill(isHostLost);
    if (isHostLost) host.environment.backend.crash();
    this.time.after(null, forMs, () => {
      void host.start(isHostLost);
      if (!isHostLost) return;
      this.time.after(null, HOST_LIST_DELAY_MS, () => this.#publisher.publishHosts(host.zone));
    });
  }

  async #stopHost(host: SimulatedHost): Promise<void> {
    if (!host.process.isAlive || host.isStopping) return;
    await host.stop(() => {
      this.#callers.pendingRequests
        .filter((pending) => pending.host === host && pending.tracked.isRoot)
        .forEach(({ tracked }) =>
          this.audit.recordBreach('graceful-stop', `${tracked.id} was cut off at ${host.name}`),
        );
      this.time.after(null, 1, () => {
        this.#callers.dropRequests(host);
        host.kill(false);
        void host.start();
      });
    });
  }

  #checkRunStart(run: Run, coldRunning: number | null): void {
    const { zonesOut, leaving } = this.#publisher;
    const host = this.#host(run.server);
    const { now } = this.time;
    this.audit.recordRunStart(run, coldRunning);
    if (this.#publisher.isChangeDue(host, zonesOut.get(host.zone), now)) {
      this.audit.recordBreach(
        'zone-out',
        `${run.path} runs in zone ${host.zone}, which is out of service`,
      );
    }
    if (this.#publisher.isChangeDue(host, leaving.get(host.name), now)) {
      this.audit.recordBreach('leaving', `${run.path} runs at the leaving host ${host.name}`);
    }
  }
}
