import type { Log } from '../src/core/logs/log-entry.js';
import { Node } from '../src/runtime/node.js';
import type { Environment } from '../src/runtime/environment.js';
import type { FakeBackend } from './fake-backend.js';
import type { FakeNetwork } from './fake-network.js';
import type { FakeService } from './fake-service.js';
import type { SimulatedTime } from './simulated-time.js';
import { SimulatedProcess } from './simulated-process.js';
import type { InjectedDefect } from './injected-defect.js';
import { NODES } from './step.js';

/** Dependencies of a simulated host. */
export interface HostEnvironment {
  readonly time: SimulatedTime;
  readonly random: () => number;
  readonly network: FakeNetwork;
  readonly service: FakeService;
  readonly backend: FakeBackend;
  readonly defect: InjectedDefect | null;
  readonly log: (process: string) => Log;
}

const MAX_CLOCK_OFFSET_MS = 1_000_000;
const STOP_DEADLINE_MS = 30_000;
const INTEGER_BITS = 32;

/** A simulated host that runs a real node; each start creates a new process. */
export class SimulatedHost {
  process: SimulatedProcess;

  node: Node | null = null;

  /** Number of the host in its address; it increases with each replacement. */
  hostNumber = 1;

  isStopping = false;

  #starts = 0;

  constructor(
    readonly name: string,
    readonly environment: HostEnvironment,
  ) {
    this.process = new SimulatedProcess(name, 0, 0);
  }

  get service(): string {
    return this.name.split('-')[0] ?? '';
  }

  get zone(): string {
    return this.name.split('-')[1] ?? '';
  }

  get address(): string {
    return `${this.name}:${this.hostNumber}`;
  }

  get canTakeRequests(): boolean {
    return this.process.isAlive && !this.isStopping && this.node?.isReady === true;
  }

  /** Starts a new process; a replacement host gets a new address. */
  async start(isNewHost = false): Promise<void> {
    const { time, random, network } = this.environment;
    this.#starts += 1;
    this.hostNumber += isNewHost ? 1 : 0;
    this.isStopping = false;
    this.process = new SimulatedProcess(
      this.name,
      Math.floor(random() * MAX_CLOCK_OFFSET_MS),
      time.now,
    );
    await time.runAs(this.process, () => {
      this.node = this.#createNode();
    });
    const { process, node } = this;
    if (node !== null) {
      network.listeners.set(this.address, { process, accept: node.acceptLink });
    }
  }

  /** Stops the node gracefully. */
  async stop(onEnded: () => void): Promise<void> {
    this.isStopping = true;
    await this.environment.time.runAs(this.process, () => {
      void this.node?.stop().then(onEnded);
    });
  }

  /** Ends the process without a graceful stop; a failed host leaves its connections silent. */
  kill(isHostLost: boolean): void {
    this.process.isAlive = false;
    this.node = null;
    this.environment.backend.cancelRuns(this.process);
    this.environment.network.dropConnections(this.process, isHostLost);
    this.environment.network.listeners.delete(this.address);
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
        stopDeadlineMs: this.environment.defect === 'hasty-stop' ? 1 : STOP_DEADLINE_MS,
        isolationLimitMs: 5000,
        staleLimitMs: 0,
        tls: null,
      },
      null,
      this.#createEnvironment(),
    );
  }

  #createEnvironment(): Environment {
    const { time, random, network, service, backend, log } = this.environment;
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
