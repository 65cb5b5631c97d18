import { setTimeout as sleep } from 'node:timers/promises';
import type { BackendControl, OrderRun } from '../standin/backend-server.js';
import type { ServiceControl } from '../standin/published-values.js';
import { Child, fetchText } from './child.js';
import type { Variant } from './load.js';
import type { Nodes } from './nodes.js';
import { startNodes } from './nodes.js';
import { configurationOf } from './topology.js';
import type { BenchService, ConfigurationChange, Topology } from './topology.js';

/** A change of the deployment while load runs. */
export type Disturbance =
  | { readonly kind: 'slow'; readonly service: string; readonly factor: number }
  | { readonly kind: 'zone'; readonly zone: string; readonly state: 'in' | 'out' }
  /** The platform stops or starts the backend servers of a zone. */
  | { readonly kind: 'zone-servers'; readonly zone: string; readonly state: 'stopped' | 'cold' }
  | { readonly kind: 'cold'; readonly server: string }
  | { readonly kind: 'service'; readonly isDown: boolean }
  | { readonly kind: 'withdraw'; readonly accounts: readonly string[] }
  | { readonly kind: 'silent'; readonly service: string }
  | { readonly kind: 'crashes'; readonly enabled: boolean };

/** A backend server stand-in of the deployment. */
export interface BackendServer {
  readonly name: string;
  readonly service: BenchService;
  readonly zone: string;
  readonly url: string;
}

/** What broke a promise so far, by its cause. */
export type BrokenPromises = Readonly<Record<string, number>>;

/** Calls that wait in a backend server, in multiples of its slots. */
const ACCEPT_QUEUE_PER_SLOT = 10;
const IDLE_POLL_INTERVAL_MS = 100;
const IDLE_POLL_COUNT = 50;
const WARM_UP_MS = 2000;
/** Time until the platform has replaced a crashed backend server. */
const REPLACEMENT_DELAY_MS = 300;

/** @returns the sum over all promises of a node's `almondhoist_promise_broken_total` */
async function readBrokenPromises(metricsUrl: string): Promise<number> {
  const text = await fetchText(`${metricsUrl}/metrics`);
  const samples = text.matchAll(/^almondhoist_promise_broken_total(?:\{[^}]*\})? (\S+)/gm);
  return [...samples].reduce((sum, [, value]) => sum + Number(value), 0);
}

/** All processes of one deployment in one variant, and its owner. */
export class Deployment {
  readonly topology: Topology;

  readonly variant: Variant;

  readonly #seed: number;

  readonly #children = new Map<string, Child>();

  #servers: readonly BackendServer[] = [];

  #nodes: Nodes = { entries: [], metrics: [], publish: async () => {} };

  /** Positions of nodes that were stopped on purpose; their metrics cannot be read any more. */
  readonly #stoppedNodes = new Set<number>();

  #serviceControlUrl = '';

  #isStopping = false;

  #configurationChange: ConfigurationChange = { revision: 1, zonesOut: [], withdrawn: [] };

  /**
   * @param topology - what to start
   * @param variant - with nodes or with the baseline
   * @param seed - seed of the service times
   */
  constructor(topology: Topology, variant: Variant, seed: number) {
    this.topology = topology;
    this.variant = variant;
    this.#seed = seed;
  }

  /** @returns the base URLs that callers use */
  get entries(): readonly string[] {
    return this.#nodes.entries;
  }

  /** @returns the base URLs of the metrics listeners */
  get metricsUrls(): readonly string[] {
    return this.#nodes.metrics;
  }

  /** @returns the backend servers */
  get servers(): readonly BackendServer[] {
    return this.#servers;
  }

  /** Starts all processes; on failure the caller still has to stop the deployment. */
  async start(): Promise<void> {
    const { topology } = this;
    const configurationService = this.#registerChild(
      'configuration-service',
      Child.startStandin('configuration-service', {}),
    );
    const { port, controlPort } = await configurationService.readPorts();
    this.#serviceControlUrl = `http://127.0.0.1:${controlPort}`;
    this.#servers = await Promise.all(
      topology.services.flatMap((benchService) =>
        topology.zones.map((zone) => this.#startServer(benchService, zone)),
      ),
    );
    this.#nodes = await startNodes({
      topology,
      variant: this.variant,
      servers: this.#servers,
      configurationServiceUrl: `http://127.0.0.1:${port}`,
      sendServiceControl: (control) => this.#sendServiceControl(control),
      registerChild: (name, child) => this.#registerChild(name, child),
      configuration: () => configurationOf(topology, this.#configurationChange),
    });
    await Promise.all(
      this.#servers.map(async (server, index) => {
        await this.#sendControl(server, { kind: 'node', url: this.entries[index] ?? '' });
        await this.#sendControl(server, { kind: 'warm' });
      }),
    );
  }

  #registerChild(name: string, child: Child): Child {
    this.#children.set(name, child);
    return child;
  }

  #serverSettings(service: BenchService, zone: string, port: number): object {
    const { topology } = this;
    return {
      ...service,
      service: service.name,
      port,
      seed: this.#seed + topology.zones.indexOf(zone) * 100 + topology.services.indexOf(service),
      nodeUrl: '',
      warmUpMs: WARM_UP_MS,
      acceptQueue: service.slots * ACCEPT_QUEUE_PER_SLOT,
      exitsWhenOverrun: false,
      demoKeys: topology.accounts.map(({ key }) => key),
    };
  }

  async #startServer(service: BenchService, zone: string): Promise<BackendServer> {
    const name = `${service.name}-${zone}`;
    const child = this.#registerChild(
      name,
      Child.startStandin('backend-server', this.#serverSettings(service, zone, 0)),
    );
    const { port = 0 } = await child.readPorts();
    const server = { name, service, zone, url: `http://127.0.0.1:${port}` };
    child.onExit(() => this.#restartServer(server, port));
    return server;
  }

  /** Starts a crashed backend server again on its port, as the platform does. */
  async #restartServer(server: BackendServer, port: number): Promise<void> {
    await sleep(REPLACEMENT_DELAY_MS);
    if (this.#isStopping) return;
    const settings = this.#serverSettings(server.service, server.zone, port);
    const child = this.#registerChild(server.name, Child.startStandin('backend-server', settings));
    child.onExit(() => this.#restartServer(server, port));
    try {
      await child.readPorts();
      const url = this.entries[this.#servers.indexOf(server)] ?? '';
      await this.#sendControl(server, { kind: 'node', url });
      await this.#sendControl(server, { kind: 'crash-on-request', enabled: true });
    } catch (error) {
      if (!this.#isStopping) console.log(`replacing ${server.name} failed: ${String(error)}`);
    }
  }

  async #sendControl(server: BackendServer, control: BackendControl): Promise<void> {
    await fetchText(`${server.url}/standin/control`, control);
  }

  async #sendServiceControl(control: ServiceControl): Promise<void> {
    await fetchText(this.#serviceControlUrl, control);
  }

  async #sendControlToAll(
    control: BackendControl,
    isSelected: (server: BackendServer) => boolean = () => true,
  ): Promise<void> {
    await Promise.all(
      this.#servers.filter(isSelected).map((server) => this.#sendControl(server, control)),
    );
  }

  async #reconfigure(change: Partial<ConfigurationChange>): Promise<void> {
    this.#configurationChange = {
      ...this.#configurationChange,
      ...change,
      revision: this.#configurationChange.revision + 1,
    };
    await this.#nodes.publish();
  }

  /**
   * Changes the deployment.
   *
   * @param disturbance - what to change
   */
  async apply(disturbance: Disturbance): Promise<void> {
    switch (disturbance.kind) {
      case 'slow':
        return this.#sendControlToAll(
          disturbance,
          ({ service }) => service.name === disturbance.service,
        );
      case 'zone':
        return this.#reconfigure({
          zonesOut: disturbance.state === 'out' ? [disturbance.zone] : [],
        });
      case 'zone-servers': {
        const isInZone = ({ zone }: BackendServer): boolean => zone === disturbance.zone;
        const enabled = disturbance.state === 'stopped';
        await this.#sendControlToAll({ kind: 'drain', enabled }, isInZone);
        return enabled ? undefined : this.#sendControlToAll({ kind: 'cold' }, isInZone);
      }
      case 'cold':
        return this.#sendControlToAll({ kind: 'cold' }, ({ name }) => name === disturbance.server);
      case 'service':
        return this.#sendServiceControl({ kind: 'down', enabled: disturbance.isDown });
      case 'withdraw':
        return this.#reconfigure({ withdrawn: disturbance.accounts });
      case 'silent':
        return this.#sendControlToAll(
          { kind: 'silent' },
          ({ service }) => service.name === disturbance.service,
        );
      case 'crashes':
        return this.#sendControlToAll({ kind: 'crash-on-request', enabled: disturbance.enabled });
    }
  }

  /** Waits a bounded time until no backend server has work left from an earlier scenario. */
  async waitUntilIdle(): Promise<void> {
    for (let poll = 0; poll < IDLE_POLL_COUNT; poll += 1) {
      const loads = await Promise.all(
        this.#servers.map(async ({ url }) => {
          const load = JSON.parse(await fetchText(`${url}/load`)) as Readonly<{
            running: number;
            queued: number;
          }>;
          return load.running + load.queued;
        }),
      );
      if (loads.every((count) => count === 0)) return;
      await sleep(IDLE_POLL_INTERVAL_MS);
    }
    console.log(`  ${this.variant}: backend servers still work`);
  }

  /**
   * Counts broken promises.
   *
   * @param sinceOrder - first order number that counts; lists of a crashed server are lost
   * @returns counts since the start, except for orders, by cause
   */
  async countBrokenPromises(sinceOrder: number): Promise<BrokenPromises> {
    const readJson = async <T>(url: string): Promise<T> => JSON.parse(await fetchText(url)) as T;
    const runCounts = new Map<string, number>();
    let keysReceived = 0;
    for (const { url, service } of this.#servers) {
      const atMostOnceRoutes = service.paths
        .filter(({ idempotent }) => !idempotent)
        .map(({ method, path }) => `${method} ${path}`);
      const runs = await readJson<readonly OrderRun[]>(`${url}/standin/runs`);
      runs
        .filter(({ path, order }) => atMostOnceRoutes.includes(path) && Number(order) >= sinceOrder)
        .forEach(({ order, path }) => {
          const id = `${service.name} ${path} ${order}`;
          runCounts.set(id, (runCounts.get(id) ?? 0) + 1);
        });
      keysReceived += (await readJson<readonly string[]>(`${url}/standin/received-keys`)).length;
    }
    const ordersRunTwice = [...runCounts.values()].filter((runs) => runs > 1).length;
    const nodeCounts = await Promise.all(
      this.#nodes.metrics
        .filter((_, index) => !this.#stoppedNodes.has(index))
        .map(readBrokenPromises),
    );
    return {
      orders_run_twice: ordersRunTwice,
      keys_received: keysReceived,
      asserted_by_nodes: nodeCounts.reduce((sum, count) => sum + count, 0),
    };
  }

  /**
   * Stops the node beside a backend server as a planned stop.
   *
   * @param name - name of the backend server
   * @returns exit code of the node
   */
  async stopNode(name: string): Promise<number | null> {
    const index = this.#servers.findIndex((server) => server.name === name);
    this.#stoppedNodes.add(index);
    return (await this.#children.get(`node-${name}`)?.stop()) ?? null;
  }

  /** Stops every process by its id; nodes first, since they still need their servers. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    const [serverNames, nodes] = [new Set(this.#servers.map(({ name }) => name)), [] as Child[]];
    this.#children.forEach((child, name) => {
      if (!serverNames.has(name)) nodes.push(child);
    });
    await Promise.all(nodes.map((child) => child.stop()));
    await Promise.all([...this.#children.values()].map((child) => child.stop()));
  }
}
