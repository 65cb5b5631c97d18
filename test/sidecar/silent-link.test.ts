import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { MeshFrame } from '../../src/core/exchange/mesh-frame.js';
import type { MeshTask } from '../../src/sidecar/mesh-task.js';
import { listenOn } from '../../standin/host-process.js';
import { waitFor } from './fleet.js';
import { LinkProxy } from './link-proxy.js';
import { createMesh } from './mesh.js';

/** Time after a reset of its connections from which the platform holds a node to its bounds. */
const TOUCH_MS = 3000;

const SEND_INTERVAL_MS = 250;
const STATUS: MeshFrame = { kind: 'status', revision: 1, isStoreLost: false };

interface LinkedPair {
  readonly proxy: LinkProxy;
  readonly sender: MeshTask;
  readonly address: string;
  /** Instants at which the receiver got a status. */
  readonly receivedAt: readonly number[];
  /** Reasons for which the sender lost its link. */
  readonly losses: readonly string[];
}

/** Starts two nodes, one of which sends the other its status and expects no answer. */
async function startPair(context: TestContext): Promise<LinkedPair> {
  const receivedAt: number[] = [];
  const losses: string[] = [];
  const receiver = createMesh('receiver', (event) => {
    if (event.kind === 'frame' && event.frame.kind === 'status') receivedAt.push(performance.now());
  });
  const sender = createMesh('sender', (event) => {
    if (event.kind === 'link-lost') losses.push(event.reason);
  });
  const proxy = new LinkProxy(await listenOn(receiver.server, '127.0.0.1'));
  const address = `127.0.0.1:${await listenOn(proxy.server, '127.0.0.1')}`;
  const interval = setInterval(() => sender.sendFrame(address, STATUS), SEND_INTERVAL_MS);
  context.after(() => {
    clearInterval(interval);
    sender.close();
    receiver.close();
    proxy.server.close();
  });
  await waitFor('a first status', () => receivedAt.length > 0);
  return { proxy, sender, address, receivedAt, losses };
}

test('messages reach a peer again after the link to it fell silent', async (t) => {
  // Guards against reports of usage that are lost for good, as no call tells that a link is silent.
  const { proxy, receivedAt } = await startPair(t);
  proxy.silence();
  const silencedAt = performance.now();
  await waitFor('a status on a new link', () => (receivedAt.at(-1) ?? 0) > silencedAt);
  const tookMs = performance.now() - silencedAt;
  assert.ok(tookMs <= TOUCH_MS, `${Math.round(tookMs)} ms`);
});

test('a link on which a peer has nothing to answer stays open', async (t) => {
  // Guards against giving up a working link because messages in one direction get no answer.
  const { sender, address, losses } = await startPair(t);
  const link = sender.findOpenLink(address);
  await sleep(TOUCH_MS);
  assert.equal(sender.findOpenLink(address), link);
  assert.deepEqual(losses, []);
});
