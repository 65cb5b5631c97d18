import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { open, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { promisify } from 'node:util';
import type { UnexpectedExit } from '../../standin/host-process.js';
import { openPlatformHost } from '../sidecar/platform-host.js';

/** Subnet of the host; the other tests that start processes use other ones. */
const SUBNET = 254;

/** Module loader that waits for the end of a file before it loads the commands. */
function createHoldingLoader(file: string): string {
  const hooks = `import { readFile } from 'node:fs/promises';
    export async function load(url, context, nextLoad) {
      if (url.endsWith('/cli/run.js')) await readFile(${JSON.stringify(file)});
      return nextLoad(url, context);
    }`;
  const register = `import { register } from 'node:module';
    register(${JSON.stringify(`data:text/javascript,${encodeURIComponent(hooks)}`)});`;
  return `data:text/javascript,${encodeURIComponent(register)}`;
}

test('SIGHUP does not end a node whose modules are still being loaded', async (t) => {
  // Guards against a process that ends by itself when its settings change shortly after its start.
  const fifo = join(tmpdir(), `almondhoist-hold-${process.pid}`);
  const { host, agent } = await openPlatformHost(t, {
    subnet: SUBNET,
    nodeOptions: ['--import', createHoldingLoader(fifo)],
  });
  await promisify(execFile)('mkfifo', [fifo]);
  t.after(() => rm(fifo));
  const exits: UnexpectedExit[] = [];
  host.onUnexpectedExit = (exit) => exits.push(exit);
  host.startNode();
  // Opening a named pipe waits for its reader.
  const hold = await open(fifo, 'w');
  host.signalNode('SIGHUP');
  await hold.close();
  await host.waitUntilReady(agent);
  assert.deepEqual(exits, []);
});
