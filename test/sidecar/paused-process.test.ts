import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { HostProcess, listenOn } from '../../standin/host-process.js';
import { PlatformStore } from '../../standin/platform-store.js';
import { HOST, KEY, POLICY, waitFor } from './fleet.js';

const CALLER_PORT = 7401;
const CALLS = 8;

/** Too short to be told from a busy process by a late timer. */
const SHORT_PAUSE_MS = 230;

/** Longer than the bound of half a second after a departure, shorter than the check of links. */
const PAUSE_MS = 700;

/** Longer than a check of a link without an answer, which then counts as lost. */
const LONG_PAUSE_MS = 2000;

interface ProcessPair {
  readonly entry: HostProcess;
  readonly gate: HostProcess;
  /** Sends a call to the entry and leaves after the given time. */
  readonly callAndLeave: (id: string, path: string, afterMs: number) => Promise<void>;
}

/** Starts an entry and, beside the only backend server of another service, a gate. */
async function startPair(context: TestContext, subnetIndex: number): Promise<ProcessPair> {
  const subnet = `127.${20 + (process.pid % 200)}.${subnetIndex}`;
  const directory = await mkdtemp(join(tmpdir(), 'almondhoist-'));
  const store = new PlatformStore();
  const agent = new Agent({ connections: null });
  const storePort = await listenOn(store.server, `${subnet}.250`);
  store.put('op/config', POLICY);
  const open = (at: number, service: string) =>
    HostProcess.open({
      program: [process.execPath, 'dist/js/src/main.js'],
      directory,
      ip: `${subnet}.${at}`,
      zone: 'a',
      service,
      instance: `i-${at}`,
      store: `${subnet}.250:${storePort}`,
      callerPort: CALLER_PORT,
      peerPort: 7402,
      readyPort: 7403,
    });
  const [entry, gate] = await Promise.all([open(1, 'desk'), open(2, 'stock')]);
  const hosts = [entry, gate];
  context.after(async () => {
    hosts.forEach((host) => host.close());
    store.server.close();
    store.server.closeAllConnections();
    await agent.destroy();
    await rm(directory, { recursive: true });
  });
  hosts.forEach((host) => {
    store.put(`servers/${host.options.instance}`, host.storeEntry(Date.now()));
    host.startNode();
  });
  await Promise.all(hosts.map((host) => host.waitUntilReady(agent)));
  const send = (id: string, path: string, signal: AbortSignal | null) =>
    request(`http://${entry.options.ip}:${CALLER_PORT}${path}`, {
      dispatcher: agent,
      method: path.startsWith('/order/') ? 'POST' : 'GET',
      headers: {
        host: HOST,
        'attempt-id': id,
        'timeout-ms': '3000',
        authorization: `Bearer ${KEY}`,
      },
      ...(signal === null ? {} : { signal }),
    }).then(
      async ({ statusCode, body }) => {
        await body.dump();
        return statusCode;
      },
      () => 0,
    );
  // Several connections from the gate to its backend server are open before the pause.
  await sleep(500);
  gate.backend.workMs = 100;
  const warmUp = Array.from({ length: CALLS }, (_, at) => send(`w${at}`, '/look/1', null));
  assert.deepEqual(new Set(await Promise.all(warmUp)), new Set([200]));
  gate.backend.runs.length = 0;
  return {
    entry,
    gate,
    callAndLeave: async (id, path, afterMs) => {
      const controller = new AbortController();
      const answer = send(id, path, controller.signal);
      await sleep(afterMs);
      controller.abort();
      await answer;
    },
  };
}

for (const path of ['/look/1', '/order/1'] as const) {
  for (const pauseMs of [SHORT_PAUSE_MS, PAUSE_MS, LONG_PAUSE_MS]) {
    test(`a gate paused for ${pauseMs} ms does not send ${path} on for callers that left`, async (t) => {
      // Guards against starting calls that waited unread while their callers left.
      const { gate, callAndLeave } = await startPair(t, path === '/look/1' ? 240 : 241);
      gate.signalNode('SIGSTOP');
      const left = Array.from({ length: CALLS }, (_, at) => callAndLeave(`p${at}`, path, 100));
      await Promise.all([...left, sleep(pauseMs)]);
      gate.signalNode('SIGCONT');
      await sleep(500);
      assert.deepEqual(
        gate.backend.runs.map(({ id }) => id),
        [],
      );
    });
  }

  for (const pauseMs of [SHORT_PAUSE_MS, PAUSE_MS]) {
    test(`an entry paused for ${pauseMs} ms while callers of ${path} leave does not send their requests on`, async (t) => {
      // Guards against admitting requests that waited unread together with the end of their callers.
      const { entry, gate, callAndLeave } = await startPair(t, path === '/look/1' ? 242 : 243);
      entry.signalNode('SIGSTOP');
      const left = Array.from({ length: CALLS }, (_, at) => callAndLeave(`p${at}`, path, 100));
      await Promise.all([...left, sleep(pauseMs)]);
      entry.signalNode('SIGCONT');
      await sleep(500);
      assert.deepEqual(
        gate.backend.runs.map(({ id }) => id),
        [],
      );
    });
  }
}

test('a paused node serves again within a second', async (t) => {
  // Guards against a wait after a pause that refuses the requests of callers that are still there.
  const { gate, entry } = await startPair(t, 244);
  gate.signalNode('SIGSTOP');
  await sleep(PAUSE_MS);
  gate.signalNode('SIGCONT');
  const answer = await request(`http://${entry.options.ip}:${CALLER_PORT}/look/2`, {
    headers: {
      host: HOST,
      'attempt-id': 'r1',
      'timeout-ms': '1000',
      authorization: `Bearer ${KEY}`,
    },
  });
  await answer.body.dump();
  assert.equal(answer.statusCode, 200);
  await waitFor('the run', () => gate.backend.runs.length === 1);
});
