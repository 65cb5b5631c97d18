import { setTimeout as sleep } from 'node:timers/promises';
import type { BackendControl, OrderRun } from '../standin/backend-server.js';
import type { ServiceControl } from '../standin/published-values.js';
import { Child, fetchText } from './child.js';
import type { Variant } from './load.js';
import type { Nodes } from './nodes.js';
import { startNodes } from './nodes.js';
import { configurationOf } from './topology.js';
import type { BenchService, ConfigurationChange, Topology } from './topology.js';

/** A fault or a configuration change that is applied while load runs. */
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

/** Address of a backend server stand-in. */
export interface BackendServer {
  readonly name: string;
  readonly service: BenchService;
  readonly zone: string;
  readonly url: string;
}

/** Number of broken promises by cause. */
export type BrokenPromises = Readonly<Record<string, number>>;

/** Length of the accept queue of a backend server, in multiples of its slots. */
const ACCEPT_QUEUE_PER_SLOT = 10;
const IDLE_POLL_INTERVAL_MS = 100;
const IDLE_POLL_COUNT = 50;
const WARM_UP_MS = 2000;
/** Time that the platform takes to replace a crashed backend server. */
const REPLACEMENT_DELAY_MS = 300;

/** @returns a node's `almondhoist_promise_broken_total`, summed over all promises */
async function readBrokenPromises(metricsUrl: string): Promise<number> {
  const text = await fetchText(`${metricsUrl}/metrics`);
  const samples = text.matchAll(/^almondhoist_promise_broken_total(?:\{[^}]*\})? (\S+)/gm);
  return [...samples].reduce((sum, [, value]) => sum + Number(value), 0);
}

/** Starts, controls and stops all processes of one deployment in one variant. */
export class Deployment {
  readonly topology: Topology;

  readonly variant: Variant;

  readonly #seed: number;

  readonly #children = new Map<string, Child>();

  #servers: readonly BackendServer[] = [];

  #nodes: Nodes = { entries: [], metrics: [], publish: async () => {} };

  /** Indexes of nodes after a planned stop, whose metrics can no longer be read. */
  readonly #stoppedNodes = new Set<number>();

  #serviceControlUrl = '';

  #isStopping = false;

  #configurationChange: ConfigurationChange = { revision: 1, zonesOut: [], withdrawn: [] };

  /**
   * @param topology - services, zones and accounts of the deployment
   * @param variant - whether to start nodes or the baseline
   * @param seed - seed of the random service times
   */
  constructor(topology: Topology, variant: Variant, seed: number) {
    this.topology = topology;
    this.variant = variant;
    this.#seed = seed;
  }

  /** @returns base URLs that callers use */
  get entries(): readonly string[] {
    return this.#nodes.entries;
  }

  /** @returns base URLs of the metrics listeners */
  get metricsUrls(): readonly string[] {
    return this.#nodes.metrics;
  }

  /** @returns backend servers of all services and zones */
  get servers(): readonly BackendServer[] {
    return this.#servers;
  }

  /** Starts all processes. After a failure, `stop` has to be called too. */
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

  /** Restarts a crashed backend server on its port, as the platform does. */
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
      if (!this.#isStopping) console.log(`could not restart ${server.name}: ${String(error)}`);
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
   * Applies a fault or a configuration change.
   *
   * @param disturbance - fault or change to apply
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

  /** Waits up to 50 polls until no backend server has work left from an earlier scenario. */
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
    console.log(`  ${this.variant}: backend servers are still busy`);
  }

  /**
   * Counts broken promises by cause. Runs and keys recorded by a backend server are lost when it
   * crashes.
   *
   * @param sinceOrder - first order number to include in the count of orders run twice
   * @returns counts since the processes started; orders are counted from `sinceOrder`
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
   * Performs a planned stop of the node beside a backend server.
   *
   * @param name - name of the backend server
   * @returns exit code of the node, or null when it was killed
   */
  async stopNode(name: string): Promise<number | null> {
    const index = this.#servers.findIndex((server) => server.name === name);
    this.#stoppedNodes.add(index);
    return (await this.#children.get(`node-${name}`)?.stop()) ?? null;
  }

  /** Stops all processes, nodes first, since they need their backend servers while they drain. */
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
