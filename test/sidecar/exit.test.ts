import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { HostProcess, listenOn } from '../../standin/host-process.js';
import { PlatformStore } from '../../standin/platform-store.js';
import { HOST, KEY, POLICY, until } from './fleet.js';

/** Time from the signal to the kill, as the settings of the stand-in say. */
const GRACE_MS = 6000;
const CALLER_PORT = 7401;

test('a node ends before it is killed although a request is still open', async (t) => {
  // Guards against timers of open requests that keep a stopped process alive until it is killed.
  const subnet = `127.${20 + (process.pid % 200)}.252`;
  const directory = await mkdtemp(join(tmpdir(), 'almondhoist-'));
  const store = new PlatformStore();
  const agent = new Agent();
  const storePort = await listenOn(store.server, `${subnet}.250`);
  const routes = POLICY.routes.map((route) => ({ ...route, timeout: '9s' }));
  store.put('op/config', { ...POLICY, routes });
  const host = await HostProcess.open({
    program: [process.execPath, 'dist/js/src/main.js'],
    directory,
    ip: `${subnet}.1`,
    zone: 'a',
    service: 'stock',
    instance: 'i-1',
    store: `${subnet}.250:${storePort}`,
    callerPort: CALLER_PORT,
    peerPort: 7402,
    readyPort: 7403,
  });
  t.after(async () => {
    host.close();
    store.server.close();
    store.server.closeAllConnections();
    await agent.destroy();
    await rm(directory, { recursive: true });
  });
  store.put('servers/i-1', host.storeEntry(Date.now()));
  host.backend.selectFault = () => 'silent';
  host.startNode();
  await host.waitUntilReady(agent);
  await sleep(500);
  const asked = request(`http://${subnet}.1:${CALLER_PORT}/look/1`, {
    dispatcher: agent,
    headers: {
      host: HOST,
      'attempt-id': 'e1',
      'timeout-ms': '9000',
      authorization: `Bearer ${KEY}`,
    },
  }).then(
    ({ statusCode }) => statusCode,
    () => 0,
  );
  await until('the run', () => host.backend.runs.length === 1);
  const startedAt = performance.now();
  host.signalNode('SIGTERM');
  await host.waitForExit();
  const tookMs = performance.now() - startedAt;
  assert.ok(tookMs < GRACE_MS, `${Math.round(tookMs)} ms`);
  await asked;
});
