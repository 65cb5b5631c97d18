import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import type { DispatchEnd } from '../../src/core/admission/gate-message.js';
import type { Call } from '../../src/core/model/call.js';
import { BackendClient } from '../../src/runtime/backend-client.js';
import { systemEnvironment } from '../../src/runtime/environment.js';
import { listenOn } from '../../standin/host-process.js';

const BODY = 'part of an answer';

/** Parts of an answer that the backend server sends before it has read the request. */
const EARLY_PARTS: Readonly<Record<string, string>> = {
  'without a length': `HTTP/1.1 200 OK\r\n\r\n${BODY}`,
  'in chunks': `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n${BODY.slice(0, 4)}\r\n`,
  'with a length': `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length + 1}\r\n\r\n${BODY}`,
};

/** Ways in which the backend server ends the connection. */
const ENDS: readonly ((socket: Socket) => void)[] = [
  (socket) => {
    socket.resetAndDestroy();
  },
  (socket) => {
    socket.end();
  },
];

/** An upload that is larger than the buffers of a connection. */
function uploadOf(): Call {
  const now = systemEnvironment.clock.now();
  return {
    requestId: 'upload',
    rootId: 'upload',
    rootHash: 0,
    caller: { kind: 'anonymous' },
    service: 'desk',
    route: 'orders',
    importance: 'normal',
    idempotent: false,
    depth: 0,
    retries: 0,
    deadline: now + 3000,
    startBy: now + 1000,
    fingerprint: 'upload',
    method: 'POST',
    path: '/orders',
    headers: [],
    body: new Uint8Array(8_000_000),
  };
}

/** Sends an upload to a backend server that answers at once and ends the connection. */
async function upload(
  context: TestContext,
  part: string,
  end: (socket: Socket) => void,
): Promise<DispatchEnd> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.write(part, () => end(socket)));
  });
  const port = await listenOn(server, '127.0.0.1');
  return new Promise((resolve) => {
    const client = new BackendClient({
      url: `http://127.0.0.1:${port}`,
      connections: 1,
      openPool: systemEnvironment.openPool,
      maxBodyBytes: 10_000_000,
      clock: systemEnvironment.clock,
      onEvent: (event) => {
        if (event.kind === 'ended') resolve(event.end);
      },
    });
    context.after(async () => {
      await client.close(false);
      server.close();
    });
    client.dispatch(uploadOf(), []);
  });
}

for (const [name, part] of Object.entries(EARLY_PARTS)) {
  test(`an early answer ${name} to an upload whose connection then ends is a failure`, async (t) => {
    // Guards against a part of an answer that passes for a whole one because the upload went on.
    for (const end of ENDS) {
      const result = await upload(t, part, end);
      assert.equal(result.kind, 'failed');
    }
  });
}
