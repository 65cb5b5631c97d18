import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import type { Fault } from '../../src/core/errors/fault.js';
import { listen } from '../../src/runtime/listen.js';

const HOST = '127.0.0.1';
const RETRY_MS = 5000;

async function holdPort(t: TestContext) {
  const holder = createServer();
  holder.listen(0, HOST);
  await once(holder, 'listening');
  t.after(() => holder.close());
  return { holder, address: { host: HOST, port: (holder.address() as AddressInfo).port } };
}

test('an address that is in use for a moment is bound as soon as it is free', async (t) => {
  // Guards against a node that ends at its start because its former process has not ended yet.
  const { holder, address } = await holdPort(t);
  const server = createServer();
  t.after(() => server.close());
  const faults: Fault[] = [];
  const bound = await listen(server, address, {
    kind: 'retry',
    forMs: RETRY_MS,
    signal: new AbortController().signal,
    onFault: (fault) => {
      faults.push(fault);
      holder.close();
    },
  });
  assert.equal(bound.unwrapOr(0), address.port);
  assert.deepEqual(
    faults.map(({ code }) => code),
    ['addressInUse'],
  );
  server.emit('error', new Error('accept ENFILE'));
  assert.equal(faults.length, 2, 'an error of a listening server is reported');
});

test('the attempts to bind an address end when the start is aborted', async (t) => {
  // Guards against a stop that waits for an address of a node that is still starting.
  const { address } = await holdPort(t);
  const abort = new AbortController();
  const bound = await listen(createServer(), address, {
    kind: 'retry',
    forMs: RETRY_MS,
    signal: abort.signal,
    onFault: () => abort.abort(),
  });
  assert.ok(bound.isErr());
});
