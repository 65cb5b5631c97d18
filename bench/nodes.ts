import { randomUUID } from 'node:crypto';
import type { Configuration } from '../src/core/model/configuration.js';
import type { ServiceControl } from '../standin/published-values.js';
import { Child } from './child.js';
import type { Server } from './deployment.js';
import type { Variant } from './load.js';
import type { Topology } from './topology.js';

/** The senders beside the backend servers, in the order of the backend servers. */
export interface Nodes {
  readonly entries: readonly string[];
  /** Base URLs of the metrics listeners. */
  readonly metrics: readonly string[];
  /** Publishes the configuration as it is now. */
  readonly publish: () => Promise<void>;
}

/** What the senders are started with. */
export interface NodesOptions {
  readonly topology: Topology;
  readonly variant: Variant;
  readonly servers: readonly Server[];
  readonly configurationServiceUrl: string;
  readonly control: (control: ServiceControl) => Promise<void>;
  readonly own: (name: string, child: Child) => Child;
  readonly configuration: (hashKey: (key: string) => string) => Configuration;
}

async function startPassThrough({ topology, servers, own }: NodesOptions): Promise<Nodes> {
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
      const child = own(`node-${name}`, Child.standin('pass-through', settings));
      return `http://127.0.0.1:${(await child.ports())['port']}`;
    }),
  );
  // The baseline has no configuration; operators cannot change it while it runs.
  return { entries, metrics: [], publish: async () => {} };
}

/**
 * Starts one sender beside each backend server.
 *
 * @param options - deployment, variant and backend servers
 * @returns their addresses
 */
export async function startNodes(options: NodesOptions): Promise<Nodes> {
  switch (options.variant) {
    case 'pass-through':
      return startPassThrough(options);
    case 'almondhoist':
      throw new Error('the almondhoist node cannot be started yet');
  }
}
