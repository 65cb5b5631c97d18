import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { CallerListener } from '../../src/runtime/caller-listener.js';

const CALLERS = 20;
const CHUNKS = 30_000;

/** A hundred times the bytes of the bodies. */
const MAX_HELD_BYTES = 100 * CALLERS * CHUNKS;

test('bodies in very small chunks take no more memory than a multiple of their bytes', async (t) => {
  // Guards against a buffer of its own for each chunk of a body of the own interface.
  const unexpected = () => assert.fail('no request is complete');
  const { server } = new CallerListener({
    clock: { now: () => 0 },
    tls: null,
    maxBodyBytes: 1_048_576,
    newRequestId: () => 'a-1',
    handle: unexpected,
    refuseTooLarge: unexpected,
    refuseMalformed: unexpected,
    issueOrder: unexpected,
    onAbandoned: () => {},
    isStopping: () => false,
    onConnectionsDropped: () => {},
  });
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  let read = 0;
  server.on('request', (incoming) => {
    incoming.on('data', (chunk: Buffer) => {
      read += chunk.length;
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const before = process.memoryUsage();
  const head = 'POST /desk/orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
  const chunks = Buffer.from('1\r\nx\r\n'.repeat(CHUNKS));
  for (let caller = 0; caller < CALLERS; caller += 1) {
    const socket = connect({ port, host: '127.0.0.1' });
    t.after(() => socket.destroy());
    socket.write(head);
    socket.write(chunks);
  }
  while (read < CALLERS * CHUNKS) await sleep(10);
  const after = process.memoryUsage();
  const heldBytes = after.heapUsed + after.external - before.heapUsed - before.external;
  t.diagnostic(`${Math.round(heldBytes / 1e6)} MB`);
  assert.ok(heldBytes < MAX_HELD_BYTES, `${heldBytes} of ${MAX_HELD_BYTES} bytes`);
});
