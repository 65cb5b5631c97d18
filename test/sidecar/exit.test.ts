import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { waitFor } from './fleet.js';
import { GRACE_MS, openPlatformHost } from './platform-host.js';

test('a node exits within the grace period with a request in flight', async (t) => {
  // Guards against timers of requests in flight that keep the process alive until it is killed.
  const { host, agent, send } = await openPlatformHost(t, { subnet: 252 });
  host.backend.selectFault = () => 'silent';
  host.startNode();
  await host.waitUntilReady(agent);
  await sleep(500);
  const pendingRequest = send('e1');
  await waitFor('the run', () => host.backend.runs.length === 1);
  const startedAt = performance.now();
  host.signalNode('SIGTERM');
  await host.waitForExit();
  const tookMs = performance.now() - startedAt;
  assert.ok(tookMs < GRACE_MS, `${Math.round(tookMs)} ms`);
  await pendingRequest;
});

test('a second stop signal does not cut a request in flight', async (t) => {
  // Guards against a stop signal whose default action ends the process during a planned stop.
  const { host, agent, send } = await openPlatformHost(t, { subnet: 253 });
  host.backend.workMs = 1500;
  host.startNode();
  await host.waitUntilReady(agent);
  await sleep(500);
  const status = send('e1');
  await waitFor('the run', () => host.backend.runs.length === 1);
  host.signalNode('SIGTERM');
  await sleep(200);
  host.signalNode('SIGTERM');
  assert.equal(await status, 200);
  await host.waitForExit();
});
