import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { EndlessWriter } from '../../standin/endless-writer.js';
import { HostProcess, listenOn } from '../../standin/host-process.js';
import type { ReceivedRequest } from '../../standin/platform-backend.js';
import { CALLER_LIMITS, serviceDescription } from '../../standin/platform-policy.js';
import { PlatformStore } from '../../standin/platform-store.js';
import type { Random } from '../../standin/process.js';
import { readPeakMemory } from '../../standin/process-memory.js';
import type { Fault } from './fault.js';
import { ACCOUNT, ROUTE_TIMEOUT_MS, type Observation } from './observation.js';

/** Zone and service of each host. */
const HOSTS = [
  { zone: 'a', service: 'shop' },
  { zone: 'a', service: 'stock' },
  { zone: 'b', service: 'shop' },
  { zone: 'b', service: 'stock' },
  { zone: 'a', service: 'stock' },
  { zone: 'b', service: 'shop' },
] as const;

export const ZONES = ['a', 'b'] as const;
export const HOST_COUNT = HOSTS.length;
export const HOST_NAME = 'shop.example';

/** The fault `withdraw-key` removes the first key; the second key always stays valid. */
export const KEYS = ['key-that-comes-and-goes', 'key-that-stays'] as const;

const CALLER_PORT = 7401;
const PEER_PORT = 7402;
const READY_PORT = 7403;
const WORK_MS = 20;
const WARM_UP_MS = 2000;
const FIRST_HEALTH_READ_MS = 2000;
const NESTED_TIMEOUT_MS = 700;

/** Memory of each host in its settings. */
const MEMORY_MB = 350;
const MEMORY_INTERVAL_MS = 200;

/** Time from a stop signal to the next one, which must not shorten the stop. */
const REPEATED_STOP_MS = 500;

function routeOf(name: string, kind: 'safe' | 'unsafe', service: string, isPublic = false) {
  return {
    name,
    host: HOST_NAME,
    prefix: `/${name}/`,
    kind,
    timeout: `${ROUTE_TIMEOUT_MS}ms`,
    targetLatency: '1s',
    priority: kind === 'safe' ? 2 : 0,
    service,
    attempts: 2,
    public: isPublic,
  };
}

function configurationOf(version: number, apiKeys: readonly string[]) {
  return {
    version,
    routes: [
      routeOf('look', 'safe', 'shop'),
      routeOf('order', 'unsafe', 'shop'),
      routeOf('peek', 'safe', 'stock', true),
    ],
    services: ['shop', 'stock'].map((name) => serviceDescription(name, `${WARM_UP_MS}ms`)),
    limits: CALLER_LIMITS,
    tenants: [{ name: ACCOUNT, apiKeys, priority: 0, ratePerS: 200, burst: 200 }],
  };
}

function toRunObservation({ id, path, headers, receivedAtMs }: ReceivedRequest): Observation {
  const account = headers['tenant-id'];
  return {
    kind: 'run-started',
    id,
    path,
    account: typeof account === 'string' ? account : null,
    hasVisibleKey: KEYS.some((key) => JSON.stringify(headers).includes(key)),
    at: receivedAtMs,
  };
}

/** Options of Node.js with which the platform starts nodes, such as the limit of the heap. */
async function readNodeOptions(): Promise<readonly string[]> {
  const deployment = await readFile('deploy/system.toml', 'utf8');
  const options = /^run = "node (.*) target/m.exec(deployment)?.[1];
  if (options === undefined) throw new Error('deploy/system.toml starts no node');
  return options.split(' ');
}

type EndlessAnswerFault = Extract<Fault, { kind: 'answer-without-end' }>;

/** Runs the store, the backend servers and the node processes, and injects faults into them. */
export class ProcessFleet {
  readonly agent = new Agent();

  /** Sends further idempotent requests on a connection before the first one is answered. */
  readonly pipeliningAgent = new Agent({ connections: 2, pipelining: 4 });

  readonly #store = new PlatformStore();

  readonly #observe: (observation: Observation) => void;

  readonly #random: Random;

  #hosts: readonly HostProcess[] = [];

  /** Hosts whose node has a fault; a second fault would wait for a process that has ended. */
  readonly #faultyHosts = new Set<HostProcess>();

  readonly #endlessAnswerFaults = new Set<EndlessAnswerFault>();

  #endlessWriter: EndlessWriter | null = null;

  /** Largest resident memory of each node process by its identifier. */
  readonly #memory = new Map<number, Extract<Observation, { kind: 'node-memory' }>>();

  #memoryTimer: NodeJS.Timeout | null = null;

  #directory = '';

  #version = 1;

  #crashes = 0;

  /**
   * @param observe - receives each observation
   * @param random - seeded source of random numbers
   */
  constructor(observe: (observation: Observation) => void, random: Random) {
    this.#observe = observe;
    this.#random = random;
  }

  /**
   * Starts all processes and waits until they are ready.
   *
   * @param subnet - first three octets of the loopback addresses
   */
  async start(subnet: string): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), 'almondhoist-'));
    const storePort = await listenOn(this.#store.server, `${subnet}.250`);
    this.#configure(KEYS);
    const nodeOptions = await readNodeOptions();
    this.#hosts = await Promise.all(
      HOSTS.map(({ zone, service }, at) =>
        HostProcess.open({
          program: [process.execPath, ...nodeOptions, 'dist/js/src/main.js'],
          directory: this.#directory,
          ip: `${subnet}.${at + 1}`,
          zone,
          service,
          instance: `i-${at + 1}`,
          store: `${subnet}.250:${storePort}`,
          callerPort: CALLER_PORT,
          peerPort: PEER_PORT,
          readyPort: READY_PORT,
          memoryMb: MEMORY_MB,
        }),
      ),
    );
    this.#hosts.forEach((host, at) => {
      this.#register(host, 0);
      this.#setUpBackend(host, at);
      this.#watchExits(host);
      host.startNode();
    });
    await Promise.all(this.#hosts.map((host) => host.waitUntilReady(this.agent)));
    this.#memoryTimer = setInterval(() => {
      void this.#readMemory();
    }, MEMORY_INTERVAL_MS);
    // Each node reads the health of its backend server before the first request.
    await sleep(FIRST_HEALTH_READ_MS);
  }

  /**
   * Returns the address that callers of a node use.
   *
   * @param at - number of the host, from 0
   * @returns the base URL of its node
   */
  callerUrl(at: number): string {
    return `http://${this.#hosts[at]?.options.ip}:${CALLER_PORT}`;
  }

  /**
   * Injects a fault and waits until it has ended.
   *
   * @param fault - fault to inject
   */
  async injectFault(fault: Fault): Promise<void> {
    const from = performance.now();
    switch (fault.kind) {
      case 'kill':
        await this.#injectNodeFault(fault.hosts, async (hosts) => {
          hosts.forEach((host) => host.signalNode('SIGKILL'));
          await sleep(fault.forMs);
          await Promise.all(hosts.map((host) => this.#restart(host)));
        });
        break;
      case 'freeze':
        await this.#injectNodeFault([fault.host], async ([host]) => {
          host?.signalNode('SIGSTOP');
          await sleep(fault.forMs);
          host?.signalNode('SIGCONT');
        });
        break;
      case 'stop':
        await this.#injectNodeFault([fault.host], async ([host]) => {
          host?.signalNode('SIGTERM');
          await sleep(REPEATED_STOP_MS);
          host?.signalNode('SIGTERM');
          if (host !== undefined) await this.#restart(host);
        });
        break;
      case 'store':
        this.#store.mode = fault.mood;
        this.#store.closeWatches();
        await sleep(fault.forMs);
        this.#store.mode = { kind: 'well' };
        this.#observe({ kind: 'fault', host: null, from, until: performance.now() });
        break;
      case 'misbehave':
        await this.#injectResponseFault(fault);
        break;
      case 'answer-without-end':
        this.#endlessAnswerFaults.add(fault);
        await sleep(fault.forMs);
        this.#endlessAnswerFaults.delete(fault);
        break;
      case 'crash':
        this.#crash(fault.host);
        break;
      case 'withdraw-key':
        this.#configure(KEYS.slice(1));
        await sleep(fault.forMs);
        this.#configure(KEYS);
        break;
      case 'evacuate':
        this.#store.put(`op/evacuate/${fault.zone}`, {});
        await sleep(fault.forMs);
        this.#store.remove(`op/evacuate/${fault.zone}`);
        break;
      case 'reload':
        this.#hosts[fault.host]?.signalNode('SIGHUP');
        break;
    }
  }

  /** Stops all processes and removes their directory. */
  async close(): Promise<void> {
    if (this.#memoryTimer !== null) clearInterval(this.#memoryTimer);
    await this.#readMemory();
    this.#memory.forEach((observation) => this.#observe(observation));
    this.#endlessWriter?.close();
    this.#hosts.forEach((host) => host.close());
    this.#store.server.close();
    this.#store.server.closeAllConnections();
    await Promise.all([this.agent, this.pipeliningAgent].map((agent) => agent.destroy()));
    await rm(this.#directory, { recursive: true });
  }

  async #readMemory(): Promise<void> {
    await Promise.all(
      this.#hosts.map(async ({ nodePid, options }) => {
        if (nodePid === null) return;
        // A process that has just ended has no memory to read.
        const peakBytes = await readPeakMemory(nodePid).catch(() => NaN);
        if (Number.isNaN(peakBytes)) return;
        this.#memory.set(nodePid, {
          kind: 'node-memory',
          host: options.ip,
          peakBytes,
          limitBytes: MEMORY_MB * 1e6,
        });
      }),
    );
  }

  #watchExits(watched: HostProcess): void {
    const host = watched;
    host.onUnexpectedExit = (exit) =>
      this.#observe({ kind: 'node-exited', host: host.options.ip, ...exit });
  }

  async #injectNodeFault(
    hostNumbers: readonly number[],
    act: (hosts: readonly HostProcess[]) => Promise<void>,
  ): Promise<void> {
    const from = performance.now();
    const hosts = hostNumbers
      .flatMap((at) => this.#hosts[at] ?? [])
      .filter((host) => !this.#faultyHosts.has(host));
    hosts.forEach((host) => this.#faultyHosts.add(host));
    await act(hosts);
    const until = performance.now();
    hosts.forEach((host) => this.#faultyHosts.delete(host));
    hosts.forEach(({ options }) => this.#observe({ kind: 'fault', host: options.ip, from, until }));
  }

  /** Starts a node again after its process has ended, because its port is in use until then. */
  async #restart(host: HostProcess): Promise<void> {
    await host.waitForExit();
    host.startNode();
    await host.waitUntilReady(this.agent);
  }

  async #injectResponseFault({ host, how, share, forMs }: Extract<Fault, { kind: 'misbehave' }>) {
    const backend = this.#hosts[host]?.backend;
    if (backend === undefined) return;
    backend.selectFault = () => (this.#random() < share ? how : 'none');
    await sleep(forMs);
    backend.selectFault = () => 'none';
  }

  #crash(at: number): void {
    const host = this.#hosts[at];
    if (host === undefined) return;
    this.#crashes += 1;
    this.#store.remove(`servers/${host.backend.instance}`);
    host.backend.instance = `i-${at + 1}-${this.#crashes}`;
    host.backend.server.closeAllConnections();
    host.backend.warmUpMs = WARM_UP_MS;
    setTimeout(() => {
      host.backend.warmUpMs = 0;
    }, WARM_UP_MS);
    this.#register(host, WARM_UP_MS);
  }

  #register(host: HostProcess, warmUpLeftMs: number): void {
    this.#store.put(`servers/${host.backend.instance}`, host.storeEntry(Date.now(), warmUpLeftMs));
  }

  #configure(keys: readonly string[]): void {
    this.#store.put('op/config', configurationOf(this.#version, keys));
    this.#version += 1;
    this.#observe({ kind: 'configured', keys: new Set(keys), at: performance.now() });
  }

  /** Makes each run at the service `shop` send a nested call to `stock` through its own node. */
  #setUpBackend({ backend: prepared, options }: HostProcess, at: number): void {
    const backend = prepared;
    backend.workMs = WORK_MS;
    backend.handleRaw = (run, socket) => {
      const fault = this.#selectEndlessAnswerFault(at);
      if (fault === null) return false;
      if (options.service === 'shop') this.#observe(toRunObservation(run));
      this.#endlessWriter ??= new EndlessWriter();
      this.#endlessWriter.answer(socket, fault.form, run.id);
      return true;
    };
    if (options.service !== 'shop') return;
    backend.makeNestedCalls = async (run) => {
      this.#observe(toRunObservation(run));
      return this.#sendNestedCall(options.ip, run.id);
    };
  }

  #selectEndlessAnswerFault(host: number): EndlessAnswerFault | null {
    const faults = [...this.#endlessAnswerFaults].filter((fault) => fault.host === host);
    return faults.find(({ share }) => this.#random() < share) ?? null;
  }

  async #sendNestedCall(ip: string, parent: string): Promise<boolean> {
    try {
      const answer = await request(`http://${ip}:${CALLER_PORT}/peek/1`, {
        dispatcher: this.agent,
        headers: {
          host: HOST_NAME,
          'attempt-id': `${parent}-peek-${Math.floor(this.#random() * 1e9)}`,
          'timeout-ms': String(NESTED_TIMEOUT_MS),
        },
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      // The node beside the backend server is down, so the run ends with an error.
      return false;
    }
  }
}
