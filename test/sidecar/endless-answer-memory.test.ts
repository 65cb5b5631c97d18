import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { HostProcess, listenOn } from '../../standin/host-process.js';
import { PlatformStore } from '../../standin/platform-store.js';
import { readPeakMemory } from './crowds.js';
import { ENDLESS_ANSWERS, writeEndlessly } from './endless-answers.js';
import { HOST, KEY, POLICY } from './fleet.js';
import { DEPLOY_NODE_OPTIONS } from './platform-host.js';

const SUBNET = `127.${20 + (process.pid % 200)}.251`;
const CALLER_PORT = 7401;

/** Limit in the settings of the stand-in, above which the platform kills the process. */
const MEMORY_LIMIT_BYTES = 350_000_000;

const FAULTY_CALLS = 20;
const SOUND_CALLS = 40;

/** Calls behind the faulty ones, over the 2 s for which a caller of this test waits for an answer. */
const MAX_LAST_CALLS = 20;
const LAST_CALL_INTERVAL_MS = 100;

const PROGRAM = [process.execPath, ...DEPLOY_NODE_OPTIONS, 'dist/js/src/main.js'] as const;

/** Starts a node in a process of its own, beside a stand-in of its backend server. */
async function startHost(context: TestContext, agent: Agent): Promise<HostProcess> {
  const directory = await mkdtemp(join(tmpdir(), 'almondhoist-'));
  const store = new PlatformStore();
  const storePort = await listenOn(store.server, `${SUBNET}.250`);
  const host = await HostProcess.open({
    program: PROGRAM,
    directory,
    ip: `${SUBNET}.1`,
    zone: 'a',
    service: 'stock',
    instance: 'i-1',
    store: `${SUBNET}.250:${storePort}`,
    callerPort: CALLER_PORT,
    peerPort: 7402,
    readyPort: 7403,
  });
  context.after(async () => {
    host.close();
    store.server.close();
    store.server.closeAllConnections();
    await agent.destroy();
    await rm(directory, { recursive: true });
  });
  store.put('op/config', POLICY);
  store.put('servers/i-1', host.storeEntry(1_700_000_000_000));
  host.startNode();
  await host.waitUntilReady(agent);
  return host;
}

for (const part of ['list of headers', 'header value', 'chunked body', 'body without a length']) {
  test(`a node that gets answers with an endless ${part} keeps its memory and goes on to serve`, async (t) => {
    // Guards against a node that keeps all bytes of faulty answers, runs out of memory and takes the
    // requests of all its callers with it.
    const agent = new Agent({ connections: 100 });
    const host = await startHost(t, agent);
    const answer = ENDLESS_ANSWERS[part];
    assert.ok(answer !== undefined);
    host.backend.handleRaw = ({ path }, socket) => {
      if (!path.startsWith('/order/')) return false;
      writeEndlessly(socket, answer);
      return true;
    };
    const call = async (id: string, path: string, method: 'GET' | 'POST'): Promise<number> => {
      const reply = await request(`http://${SUBNET}.1:${CALLER_PORT}${path}`, {
        method,
        dispatcher: agent,
        headers: {
          host: HOST,
          'attempt-id': id,
          'timeout-ms': '2000',
          authorization: `Bearer ${KEY}`,
        },
      });
      await reply.body.dump();
      return reply.statusCode;
    };
    // The gate lets only a few calls run until the first answer.
    assert.equal(await call('first', '/look/1', 'GET'), 200);
    const callAll = (count: number, name: string, path: string, method: 'GET' | 'POST') =>
      Promise.all(Array.from({ length: count }, (_, at) => call(`${name}${at}`, path, method)));
    const [faulty, sound] = await Promise.all([
      callAll(FAULTY_CALLS, 'faulty', '/order/1', 'POST'),
      callAll(SOUND_CALLS, 'sound', '/look/1', 'GET'),
    ]);
    const pid = host.nodePid;
    assert.ok(pid !== null, 'the node has ended');
    const peakBytes = await readPeakMemory(pid);
    t.diagnostic(`${Math.round(peakBytes / 1e6)} MB at the peak`);
    assert.ok(peakBytes < MEMORY_LIMIT_BYTES, `${Math.round(peakBytes / 1e6)} MB at the peak`);
    assert.ok(faulty.every((status) => status >= 500));
    const served = sound.filter((status) => status === 200).length;
    t.diagnostic(`${served} of ${SOUND_CALLS} sound requests served`);
    assert.ok(sound.every((status) => status === 200 || status === 503));
    // A node that has just been full refuses some requests until its pressure has fallen.
    const last: number[] = [];
    while (last.at(-1) !== 200 && last.length < MAX_LAST_CALLS) {
      last.push(await call(`last${last.length}`, '/look/1', 'GET'));
      await sleep(LAST_CALL_INTERVAL_MS);
    }
    assert.equal(last.at(-1), 200, `statuses ${last.join(', ')}`);
  });
}
