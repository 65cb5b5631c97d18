import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TestContext } from 'node:test';
import { Agent, request } from 'undici';
import { HostProcess, listenOn } from '../../standin/host-process.js';
import { PlatformStore } from '../../standin/platform-store.js';
import { HOST, KEY, POLICY } from './fleet.js';

/** Time from the stop signal to the kill, as in the settings of the stand-in platform. */
export const GRACE_MS = 6000;

const ROUTE_TIMEOUT = '9s';
const CALLER_PORT = 7401;
const PEER_PORT = 7402;
const READY_PORT = 7403;

/** Options of Node.js in the deploy file, whose heap limit keeps a node below that of the platform. */
export const DEPLOY_NODE_OPTIONS: readonly string[] = [
  '--max-old-space-size=192',
  '--max-semi-space-size=1',
  '--no-wasm-tier-up',
  '--no-wasm-dynamic-tiering',
];

/** Options of a host. */
export interface PlatformHostOptions {
  /** Last number of the subnet of the host; each test uses its own. */
  readonly subnet: number;
  /** Options of Node.js in front of the program. */
  readonly nodeOptions?: readonly string[];
  /** File descriptor for the log of the node. */
  readonly logFile?: number;
  /** Memory of the host in megabytes, as its settings state it. */
  readonly memoryMb?: number;
  /** Descriptors that the node may open, as its settings state it. */
  readonly maxFds?: number;
}

/** One host of the stand-in platform, whose node is not started yet. */
export interface PlatformHost {
  readonly host: HostProcess;
  readonly agent: Agent;
  /** Settings file of the node. */
  readonly settingsFile: string;
  readonly ip: string;
  /** Ports of the node, in the order callers, peers, readiness. */
  readonly ports: readonly [number, number, number];
  /** Sends a request with the identifier `id` and returns its status, 0 for no answer. */
  readonly send: (id: string) => Promise<number>;
}

/**
 * Opens a store and one host, and closes them after the test.
 *
 * @param t - context of the test
 * @param options - the subnet and options of Node.js
 * @returns the host
 */
export async function openPlatformHost(
  t: TestContext,
  { subnet: lastNumber, nodeOptions = [], ...log }: PlatformHostOptions,
): Promise<PlatformHost> {
  const subnet = `127.${20 + (process.pid % 200)}.${lastNumber}`;
  const ip = `${subnet}.1`;
  const directory = await mkdtemp(join(tmpdir(), 'almondhoist-'));
  const store = new PlatformStore();
  const agent = new Agent();
  const storePort = await listenOn(store.server, `${subnet}.250`);
  const routes = POLICY.routes.map((route) => ({ ...route, timeout: ROUTE_TIMEOUT }));
  store.put('op/config', { ...POLICY, routes });
  const host = await HostProcess.open({
    ...log,
    program: [process.execPath, ...nodeOptions, 'dist/js/src/main.js'],
    directory,
    ip,
    zone: 'a',
    service: 'stock',
    instance: 'i-1',
    store: `${subnet}.250:${storePort}`,
    callerPort: CALLER_PORT,
    peerPort: PEER_PORT,
    readyPort: READY_PORT,
  });
  t.after(async () => {
    host.close();
    store.server.close();
    store.server.closeAllConnections();
    await agent.destroy();
    await rm(directory, { recursive: true });
  });
  store.put('servers/i-1', host.storeEntry(Date.now()));
  const send = (id: string): Promise<number> =>
    request(`http://${ip}:${CALLER_PORT}/look/1`, {
      dispatcher: agent,
      headers: {
        host: HOST,
        'attempt-id': id,
        'timeout-ms': '9000',
        authorization: `Bearer ${KEY}`,
      },
    }).then(
      async ({ statusCode, body }) => {
        await body.dump();
        return statusCode;
      },
      () => 0,
    );
  const settingsFile = join(directory, `${ip}.toml`);
  return { host, agent, settingsFile, ip, ports: [CALLER_PORT, PEER_PORT, READY_PORT], send };
}
