import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Agent } from 'undici';
import { HostProcess } from '../../standin/host-process.js';

const IP = `127.${20 + (process.pid % 200)}.252.1`;
const READY_PORT = 7405;

/** A program that is ready 300 ms after its start and handles no signal. */
const SLOW_PROGRAM = `setTimeout(() => {
  require('node:http').createServer((_, response) => response.end()).listen(${READY_PORT}, '${IP}');
}, 300);`;

test('a node that a reload signal ends during its start is started again', async (t) => {
  // Guards against a host whose node stays down because SIGHUP arrived before its handler was
  // installed; the platform restarts a process that ends.
  const directory = await mkdtemp(join(tmpdir(), 'almondhoist-'));
  const agent = new Agent();
  const host = await HostProcess.open({
    program: [process.execPath, '-e', SLOW_PROGRAM],
    directory,
    ip: IP,
    zone: 'a',
    service: 'stock',
    instance: 'i-1',
    store: `${IP}:1`,
    callerPort: 7403,
    peerPort: 7404,
    readyPort: READY_PORT,
  });
  t.after(async () => {
    host.close();
    await agent.destroy();
    await rm(directory, { recursive: true });
  });
  host.startNode();
  host.signalNode('SIGHUP');
  await assert.doesNotReject(host.waitUntilReady(agent));
});
