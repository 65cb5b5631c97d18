import { createServer, type Server } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { connectPlatform } from '../../platform/connect.js';
import type { LogEntry } from '../../src/core/logs/log-entry.js';
import type { SidecarSettings } from '../../src/core/settings/sidecar-settings.js';
import { monotonicClock } from '../../src/runtime/monotonic-clock.js';
import { Sidecar } from '../../src/sidecar/sidecar.js';
import { PlatformBackend } from '../../standin/platform-backend.js';
import { PlatformStore } from '../../standin/platform-store.js';

/** One host of the fleet: a node and its backend server. */
export interface FleetHost {
  readonly ip: string;
  readonly service: string;
  readonly zone: string;
  readonly node: Sidecar;
  readonly backend: PlatformBackend;
  readonly url: string;
  readonly settings: SidecarSettings;
  readonly log: readonly LogEntry[];
}

/** What a test asks of a fleet. */
export interface FleetOptions {
  /** Service and zone of each host. */
  readonly hosts: readonly { readonly service: string; readonly zone: string }[];
  readonly policy?: Readonly<Record<string, unknown>>;
  readonly slots?: number;
}

/** A fleet with its store. */
export interface Fleet {
  readonly store: PlatformStore;
  readonly hosts: readonly FleetHost[];
  /** Writes the entry of a host's backend server. */
  readonly register: (host: FleetHost, change?: Readonly<Record<string, unknown>>) => void;
  readonly call: (host: FleetHost, call: FleetCall) => Promise<FleetAnswer>;
}

/** A request of a caller. */
export interface FleetCall {
  readonly id: string;
  readonly path?: string;
  readonly host?: string;
  readonly method?: 'GET' | 'POST';
  readonly body?: string;
  readonly key?: string | null;
  readonly timeoutMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** The answer that a caller got. */
export interface FleetAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

export const KEY = 'key-of-pulo-0123456789';
export const HOST = 'shop.example';

const SLOTS = 10;
const WAIT_LIMIT_MS = 10_000;
const POLL_MS = 5;

/** A policy with one account, an idempotent route and one that may run at most once. */
export const POLICY = {
  version: 1,
  routes: [
    {
      name: 'look',
      host: HOST,
      prefix: '/look/',
      kind: 'safe',
      timeout: '2s',
      targetLatency: '1s',
      priority: 2,
      service: 'stock',
      attempts: 2,
    },
    {
      name: 'order',
      host: HOST,
      prefix: '/order/',
      kind: 'unsafe',
      timeout: '800ms',
      targetLatency: '1s',
      priority: 0,
      service: 'stock',
      attempts: 2,
    },
    {
      name: 'peek',
      host: HOST,
      prefix: '/peek/',
      kind: 'safe',
      timeout: '1s',
      targetLatency: '300ms',
      priority: 1,
      service: 'desk',
      attempts: 2,
      public: true,
    },
  ],
  services: ['stock', 'desk'].map((name) => ({
    name,
    healthPath: '/healthz',
    maxConnections: 100,
    warmup: '3s',
    warmupPerS: 25,
  })),
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeout: '3s',
    idleTimeout: '15s',
  },
  tenants: [{ name: 'pulo', apiKeys: [KEY], priority: 1, ratePerS: 1000, burst: 1000 }],
};

/**
 * Waits until a condition holds.
 *
 * @param what - what is waited for, for the message of the failure
 * @param holds - the condition
 */
export async function until(what: string, holds: () => boolean): Promise<void> {
  const limit = performance.now() + WAIT_LIMIT_MS;
  while (!holds()) {
    if (performance.now() > limit) throw new Error(`${what} did not come`);
    await sleep(POLL_MS);
  }
}

async function listenOn(server: Server, host: string, port: number): Promise<number> {
  server.listen(port, host);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/** A port that is free now; other processes use other addresses of the loopback range. */
async function freePort(ip: string): Promise<number> {
  const server = createServer();
  const port = await listenOn(server, ip, 0);
  server.close();
  await once(server, 'close');
  return port;
}

/** Addresses of the loopback range that no other test process uses. */
function ownSubnet(): string {
  return `127.${20 + (process.pid % 200)}.${1 + Math.floor(Math.random() * 250)}`;
}

/**
 * Opens a fleet and waits until its nodes know each other. Everything is closed at the end of
 * the test.
 *
 * @param context - the test that owns the fleet
 * @param options - hosts and policy
 * @returns the fleet
 */
export async function openFleet(context: TestContext, options: FleetOptions): Promise<Fleet> {
  const subnet = ownSubnet();
  const store = new PlatformStore();
  const storePort = await listenOn(store.server, `${subnet}.250`, 0);
  const peerPort = await freePort(`${subnet}.1`);
  store.put('op/config', options.policy ?? POLICY);
  const agent = new Agent({ connections: 50 });
  context.after(() => agent.destroy());
  context.after(() => {
    store.server.close();
    store.server.closeAllConnections();
  });

  const register: Fleet['register'] = (host, change = {}) => {
    const { address } = { address: `${host.ip}:${host.settings.backendAddress.port}` };
    store.put(`servers/${host.backend.instance}`, {
      address,
      born: 1_700_000_000_000,
      info: {
        service: host.service,
        version: 'v1',
        zone: host.zone,
        slots: options.slots ?? SLOTS,
      },
      status: { state: 'ready', sequence: 1, warmupLeft: '0ms' },
      ...change,
    });
  };

  const openHost = async (
    { service, zone }: FleetOptions['hosts'][number],
    index: number,
  ): Promise<FleetHost> => {
    const ip = `${subnet}.${index + 1}`;
    const backend = new PlatformBackend(`i-${index + 1}`);
    const backendPort = await listenOn(backend.server, ip, 0);
    const callerPort = await freePort(ip);
    const log: LogEntry[] = [];
    const settings: SidecarSettings = {
      node: `node-${index + 1}`,
      ip,
      zone,
      service,
      callerAddress: { host: ip, port: callerPort },
      peerAddress: { host: ip, port: peerPort },
      readyAddress: { host: ip, port: 0 },
      backendAddress: { host: ip, port: backendPort },
      storeAddress: { host: `${subnet}.250`, port: storePort },
      seeds: [],
      stopDeadlineMs: 3000,
      memoryBytes: 350_000_000,
      retryBudget: { ratio: 0.2, slack: 49, windowMs: 10_000 },
    };
    const platform = connectPlatform(settings.storeAddress, (key, reason) =>
      log.push({ kind: 'event', code: 'publicationUnreadable', details: { key, reason } }),
    );
    const node = new Sidecar(settings, {
      clock: monotonicClock,
      timeOfDay: Date.now,
      random: Math.random,
      log: { write: (entry) => log.push(entry), flush: () => {} },
      ...platform,
    });
    const started = await node.start();
    if (started.isErr()) throw new Error(started.error.code);
    return {
      ip,
      service,
      zone,
      node,
      backend,
      settings,
      log,
      url: `http://${ip}:${callerPort}`,
    };
  };

  const hosts = await Promise.all(options.hosts.map(openHost));
  context.after(() =>
    Promise.all(
      hosts.map(({ backend, node }) => {
        backend.server.close();
        backend.server.closeAllConnections();
        return node.stop();
      }),
    ),
  );
  hosts.forEach((host) => register(host));
  await until('the directory of all hosts', () =>
    hosts.every(({ node }) => node.knownBackendServers === hosts.length && node.isServing),
  );

  const call: Fleet['call'] = async (host, wanted) => {
    const { id, path = '/look/1', method = 'GET', body, key = KEY, timeoutMs = 3000 } = wanted;
    const answer = await request(`${host.url}${path}`, {
      method,
      dispatcher: agent,
      headers: {
        host: wanted.host ?? HOST,
        'attempt-id': id,
        'timeout-ms': String(timeoutMs),
        ...(key === null ? {} : { authorization: `Bearer ${key}` }),
        ...wanted.headers,
      },
      ...(body === undefined ? {} : { body }),
      ...(wanted.signal === undefined ? {} : { signal: wanted.signal }),
    });
    return {
      status: answer.statusCode,
      headers: answer.headers,
      body: await answer.body.text(),
    };
  };
  return { store, hosts, register, call };
}
