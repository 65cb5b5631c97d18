import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { test } from 'node:test';
import { LIMITS, startFrontEnd } from './front-end.js';

const TIMEOUT = { timeout: 10_000 };

test(
  'a body that never ends is answered although no route sets a time limit',
  TIMEOUT,
  async (t) => {
    // Guards against bodies for unknown paths that hold memory for as long as their callers like.
    const { listener, port } = await startFrontEnd(t);
    listener.setLimits({ ...LIMITS, idleTimeoutMs: 100 });
    const socket = connect({ port, host: '127.0.0.1' });
    t.after(() => socket.destroy());
    socket.write(
      'POST /unknown HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n',
    );
    const [answer] = (await once(socket, 'data')) as [Buffer];
    assert.match(answer.toString('latin1'), /^HTTP\/1\.1 408 /);
  },
);
