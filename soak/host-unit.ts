import type { Log } from '../src/core/logs/log-entry.js';
import { Node } from '../src/runtime/node.js';
import type { Environment } from '../src/runtime/environment.js';
import type { FakeBackend } from './fake-backend.js';
import type { FakeNetwork } from './fake-links.js';
import type { FakeService } from './fake-service.js';
import type { MadeUpTime } from './made-up-time.js';
import { Process } from './process.js';
import type { Sabotage } from './sabotage.js';
import { NODES } from './step.js';

/** What a host shares with the others of its run. */
export interface Surroundings {
  readonly time: MadeUpTime;
  readonly random: () => number;
  readonly network: FakeNetwork;
  readonly service: FakeService;
  readonly backend: FakeBackend;
  readonly sabotage: Sabotage | null;
  readonly log: (process: string) => Log;
}

const CLOCK_SPREAD_MS = 1_000_000;
const STOP_DEADLINE_MS = 30_000;
const INTEGER_BITS = 32;

/** One host: a process with a real node, started anew after each end. */
export class HostUnit {
  process: Process;

  node: Node | null = null;

  /** Number of the host; a replaced one has another address. */
  host = 1;

  isStopping = false;

  #starts = 0;

  constructor(
    readonly name: string,
    readonly around: Surroundings,
  ) {
    this.process = new Process(name, 0, 0);
  }

  get service(): string {
    return this.name.split('-')[0] ?? '';
  }

  get zone(): string {
    return this.name.split('-')[1] ?? '';
  }

  get address(): string {
    return `${this.name}:${this.host}`;
  }

  get takesRequests(): boolean {
    return this.process.isAlive && !this.isStopping && this.node?.isReady === true;
  }

  /** Starts the process; a new host has a new address. */
  async start(isNewHost = false): Promise<void> {
    const { time, random, network } = this.around;
    this.#starts += 1;
    this.host += isNewHost ? 1 : 0;
    this.isStopping = false;
    this.process = new Process(this.name, Math.floor(random() * CLOCK_SPREAD_MS), time.now);
    await time.as(this.process, () => {
      this.node = this.#createNode();
    });
    const { process, node } = this;
    if (node !== null) {
      network.listeners.set(this.address, { process, accept: node.acceptLink });
    }
  }

  /** Stops the node in order. */
  async stop(ended: () => void): Promise<void> {
    this.isStopping = true;
    await this.around.time.as(this.process, () => {
      void this.node?.stop().then(ended);
    });
  }

  /** Ends the process at once; a failed host leaves its connections silent. */
  kill(isHostLost: boolean): void {
    this.process.isAlive = false;
    this.node = null;
    this.around.backend.drop(this.process);
    this.around.network.drop(this.process, isHostLost);
    this.around.network.listeners.delete(this.address);
  }

  #createNode(): Node {
    const [host, port] = ['127.0.0.1', 0];
    return new Node(
      {
        backendServer: this.name,
        zone: this.zone,
        callerAddress: { host, port },
        peerAddress: { host, port },
        metricsAddress: null,
        backendServerUrl: this.name,
        configurationServiceUrls: [],
        peerSecret: 'secret shared by the nodes of this run',
        seeds: NODES.filter((name) => name !== this.name).map((name) => `${name}:1`),
        maxBodyBytes: 65_536,
        stopDeadlineMs: this.around.sabotage === 'hasty-stop' ? 1 : STOP_DEADLINE_MS,
        isolationLimitMs: 5000,
        staleLimitMs: 0,
        tls: null,
      },
      null,
      this.#outside(),
    );
  }

  #outside(): Environment {
    const { time, random, network, service, backend, log } = this.around;
    const { process } = this;
    const incarnation = `${this.#starts}`.padStart(6, '0');
    return {
      clock: { now: () => time.now + process.clockOffset },
      random,
      randomInteger: (limit) => 1 + Math.floor(random() * Math.min(limit - 1, 2 ** INTEGER_BITS)),
      newIncarnation: () => incarnation,
      openLog: (name) => ({ ...log(`${name}/${incarnation}`), flush: () => {} }),
      hasProcessMetrics: false,
      openLink: (address) => network.open(process, address),
      openPool: () => backend.openPool(process),
      probeServer: () => backend.probe(process),
      openService: (_urls, onReply) => service.open(process, onReply),
    };
  }
}
