import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { HostProcess, listenOn } from '../standin/host-process.js';
import { CALLER_LIMITS, serviceDescription } from '../standin/platform-policy.js';
import { PlatformStore } from '../standin/platform-store.js';

const SUBNET = '127.77.1';
const STORE_IP = `${SUBNET}.250`;
const ZONES = ['a', 'a', 'b', 'b'] as const;
const CALLER_PORT = 7401;
const PEER_PORT = 7402;
const READY_PORT = 7403;
const KEY = 'key-of-workshop-paisley';
const HOST = 'stock.example';
/** Target for a configuration change to take effect on all nodes. */
const CONFIGURATION_LIMIT_MS = 2000;

const POLICY = {
  version: 1,
  routes: [
    { name: 'look', prefix: '/look/', kind: 'safe', priority: 2 },
    { name: 'order', prefix: '/order/', kind: 'unsafe', priority: 0 },
  ].map((route) => ({
    ...route,
    host: HOST,
    timeout: '2s',
    targetLatency: '1s',
    service: 'stock',
    attempts: 2,
  })),
  services: [serviceDescription('stock')],
  limits: CALLER_LIMITS,
  tenants: [{ name: 'paisley', apiKeys: [KEY], priority: 0, ratePerS: 100, burst: 100 }],
};

const agent = new Agent();
const store = new PlatformStore();

async function startHost(
  directory: string,
  storePort: number,
  index: number,
): Promise<HostProcess> {
  const host = await HostProcess.open({
    program: ['dist/almondhoist'],
    directory,
    ip: `${SUBNET}.${index + 1}`,
    zone: ZONES[index] ?? 'a',
    service: 'stock',
    instance: `i-${index + 1}`,
    store: `${STORE_IP}:${storePort}`,
    callerPort: CALLER_PORT,
    peerPort: PEER_PORT,
    readyPort: READY_PORT,
  });
  store.put(`servers/${host.backend.instance}`, host.storeEntry(Date.now()));
  host.startNode();
  return host;
}

async function requestStatus(
  { options }: HostProcess,
  path: string,
  id: string,
  key = KEY,
): Promise<number> {
  const isOrder = path.startsWith('/order/');
  const response = await request(`http://${options.ip}:${CALLER_PORT}${path}`, {
    dispatcher: agent,
    method: isOrder ? 'POST' : 'GET',
    ...(isOrder ? { body: 'one block' } : {}),
    headers: {
      host: HOST,
      'attempt-id': id,
      'timeout-ms': '3000',
      authorization: `Bearer ${key}`,
    },
  });
  await response.body.dump();
  return response.statusCode;
}

function printResult(hasPassed: boolean, text: string): boolean {
  console.log(`${hasPassed ? 'ok    ' : 'BROKEN'} ${text}`);
  return hasPassed;
}

async function runSteps(hosts: readonly HostProcess[]): Promise<boolean> {
  const [first, , third] = hosts;
  if (first === undefined || third === undefined) throw new Error('the demo requires four hosts');
  const countRuns = (id: string) =>
    hosts.flatMap(({ backend }) => backend.runs).filter((run) => run.id === id).length;
  const validKeyStatus = await requestStatus(first, '/look/42', 'demo-1');
  const invalidKeyStatus = await requestStatus(first, '/look/42', 'demo-2', 'wrong');
  for (const { backend } of hosts) {
    backend.selectFault = ({ id }) => (id === 'demo-3' ? 'reset' : 'none');
  }
  const lostAnswerStatus = await requestStatus(first, '/order/7', 'demo-3');
  store.put('op/evacuate/a', {});
  await sleep(CONFIGURATION_LIMIT_MS);
  const runsBefore = first.backend.runs.length;
  const zoneOutStatus = await requestStatus(first, '/look/43', 'demo-4');
  const isBackendUnused = first.backend.runs.length === runsBefore;
  third.signalNode('SIGKILL');
  const afterKillStatus = await requestStatus(first, '/look/44', 'demo-5');
  return [
    printResult(validKeyStatus === 200, `a lookup with a valid key: ${validKeyStatus}`),
    printResult(
      invalidKeyStatus === 401,
      `the same lookup with an unknown key: ${invalidKeyStatus}`,
    ),
    printResult(
      lostAnswerStatus === 502 && countRuns('demo-3') === 1,
      `an order whose answer is lost: ${lostAnswerStatus}, number of runs: ${countRuns('demo-3')}`,
    ),
    printResult(
      zoneOutStatus === 200 && isBackendUnused,
      `a lookup while zone a is out of service: ${zoneOutStatus}`,
    ),
    printResult(
      afterKillStatus === 200,
      `a lookup after the node of another host was killed: ${afterKillStatus}`,
    ),
  ].every(Boolean);
}

/**
 * Starts four nodes of the binary beside stand-ins of the platform and checks their responses.
 *
 * @returns whether all checks passed
 */
export async function runPlatformDemo(): Promise<boolean> {
  const directory = await mkdtemp(join(tmpdir(), 'almondhoist-'));
  const storePort = await listenOn(store.server, STORE_IP);
  store.put('op/config', POLICY);
  console.log('starting 4 nodes, 4 backend servers and a store on loopback addresses');
  const hosts = await Promise.all(ZONES.map((_, index) => startHost(directory, storePort, index)));
  try {
    await Promise.all(hosts.map((host) => host.waitUntilReady(agent)));
    // Nodes read the health of each backend server before its first request.
    await sleep(CONFIGURATION_LIMIT_MS);
    return await runSteps(hosts);
  } finally {
    hosts.forEach((host) => host.close());
    store.server.close();
    store.server.closeAllConnections();
    await agent.destroy();
    await rm(directory, { recursive: true });
  }
}
