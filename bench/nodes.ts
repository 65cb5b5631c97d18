import { randomUUID } from 'node:crypto';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'smol-toml';
import { bundleDocument } from '../src/core/configuration/bundle.js';
import { toDocument } from '../src/core/configuration/document.js';
import type { Host } from '../src/core/model/host.js';
import type { Configuration } from '../src/core/model/configuration.js';
import type { ServiceControl } from '../standin/published-values.js';
import { Child, findFreePorts, waitUntilListening } from './child.js';
import type { BackendServer } from './deployment.js';
import type { Variant } from './load.js';
import type { Topology } from './topology.js';

/** Addresses of the nodes or baseline processes, in the order of their backend servers. */
export interface Nodes {
  /** Base URLs that callers use. */
  readonly entries: readonly string[];
  /** Base URLs of the metrics listeners. */
  readonly metrics: readonly string[];
  /** Publishes the current configuration. */
  readonly publish: () => Promise<void>;
}

/** Deployment to start nodes for, and access to the processes that it already runs. */
export interface NodesOptions {
  readonly topology: Topology;
  readonly variant: Variant;
  readonly servers: readonly BackendServer[];
  readonly configurationServiceUrl: string;
  readonly sendServiceControl: (control: ServiceControl) => Promise<void>;
  /** Adds a process to those that stop with the deployment, and returns it. */
  readonly registerChild: (name: string, child: Child) => Child;
  /** Returns the current configuration. */
  readonly configuration: () => Configuration;
}

/** Each node listens for callers, for peers and for metrics requests. */
const LISTENERS_PER_NODE = 3;
/** Shorter than the time after which the benchmark kills a process. */
const STOP_DEADLINE_MS = 3000;
const BINARY_PATH = fileURLToPath(new URL('../../almondhoist', import.meta.url));

async function startPassThroughNodes({
  topology,
  servers,
  registerChild,
}: NodesOptions): Promise<Nodes> {
  const settings = {
    port: 0,
    keys: topology.accounts.map(({ key }) => key),
    contextToken: randomUUID(),
    services: Object.fromEntries(
      topology.services.map(({ name }) => [
        name,
        servers.filter(({ service }) => service.name === name).map(({ url }) => url),
      ]),
    ),
  };
  const entries = await Promise.all(
    servers.map(async ({ name }) => {
      const child = registerChild(`node-${name}`, Child.startStandin('pass-through', settings));
      return `http://127.0.0.1:${(await child.readPorts())['port']}`;
    }),
  );
  // The baseline has no configuration that could change while it runs.
  return { entries, metrics: [], publish: async () => {} };
}

async function publishConfiguration({
  configuration,
  sendServiceControl,
}: NodesOptions): Promise<void> {
  const bundle = bundleDocument(toDocument(configuration()));
  if (bundle.isErr())
    throw new Error(`cannot bundle the configuration: ${JSON.stringify(bundle.error)}`);
  const { parts, manifestText } = bundle.value;
  for (const [digest, text] of parts) {
    await sendServiceControl({ kind: 'publish', name: `configuration/parts/${digest}`, text });
  }
  await sendServiceControl({ kind: 'publish', name: 'configuration/manifest', text: manifestText });
}

async function publishHosts(hosts: readonly Host[], options: NodesOptions): Promise<void> {
  for (const zone of options.topology.zones) {
    const text = JSON.stringify({ version: 1, hosts: hosts.filter((host) => host.zone === zone) });
    await options.sendServiceControl({ kind: 'publish', name: `hosts/${zone}`, text });
  }
}

async function startAlmondhoistNodes(options: NodesOptions): Promise<Nodes> {
  const { servers, registerChild, configurationServiceUrl } = options;
  const ports = await findFreePorts(servers.length * LISTENERS_PER_NODE);
  const address = (index: number, listener: number): string =>
    `127.0.0.1:${ports[index * LISTENERS_PER_NODE + listener]}`;
  const hosts = servers.map((server, index): Host => ({
    backendServer: server.name,
    service: server.service.name,
    zone: server.zone,
    peerAddress: address(index, 1),
    state: 'live',
  }));
  await publishHosts(hosts, options);
  await publishConfiguration(options);
  const directory = await mkdtemp(join(tmpdir(), 'almondhoist-bench-'));
  const peerSecret = randomUUID();
  await Promise.all(
    servers.map(async ({ name, zone, url }, index) => {
      const file = join(directory, `${name}.toml`);
      const settings = {
        node: { backend_server: name, zone },
        listen: { caller: address(index, 0), peer: address(index, 1), metrics: address(index, 2) },
        backend_server: { url },
        configuration_service: { urls: [configurationServiceUrl] },
        fleet: {
          peer_secret: peerSecret,
          seeds: hosts.slice(0, 2).map((host) => host.peerAddress),
        },
        limits: { stop_deadline_ms: STOP_DEADLINE_MS },
      };
      await writeFile(file, stringify(settings));
      const child = registerChild(
        `node-${name}`,
        new Child(BINARY_PATH, ['node', '--settings', file]),
      );
      child.discardOutput();
      await waitUntilListening(`http://${address(index, 0)}/`, child);
    }),
  );
  return {
    entries: servers.map((_, index) => `http://${address(index, 0)}`),
    metrics: servers.map((_, index) => `http://${address(index, 2)}`),
    publish: () => publishConfiguration(options),
  };
}

/**
 * Starts one node, or one baseline process, beside each backend server.
 *
 * @param options - deployment, variant and backend servers
 * @returns addresses of the started processes
 */
export async function startNodes(options: NodesOptions): Promise<Nodes> {
  switch (options.variant) {
    case 'pass-through':
      return startPassThroughNodes(options);
    case 'almondhoist':
      return startAlmondhoistNodes(options);
  }
}
