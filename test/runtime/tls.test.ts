import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';
import { request } from 'undici';
import { WebSocket } from 'ws';
import { readTls } from '../../src/runtime/tls-material.js';
import { newOrderId, openMesh } from './mesh.js';

const FILES = {
  certificateFile: 'test/fixtures/tls/node.pem',
  keyFile: 'test/fixtures/tls/node.key',
  authorityFile: 'test/fixtures/tls/authority.pem',
};

test('with TLS, callers and peers are served over TLS only', async (context) => {
  // Guards against listeners that accept plain text or unknown certificates although TLS is set.
  const tls = await readTls(FILES);
  assert.ok(tls !== null);
  const mesh = await openMesh(context, { tls });
  const { caller, peer } = mesh.entry.ports;
  await context.test('caller listener', async () => {
    assert.match(mesh.entry.url, /^https:/);
    const body = 'over two links';
    // The entry sends the call to another node, so this covers wss as well.
    assert.equal((await mesh.send('/desk/check/x', { method: 'POST', body })).text, body);
    const headers = ['almondhoist-order-id', await newOrderId(mesh)];
    assert.equal((await mesh.send('/desk/orders/x', { method: 'POST', headers, body })).text, body);
    await assert.rejects(request(`http://127.0.0.1:${caller}/desk/read/x`));
  });
  const outcome = async (url: string, options: object): Promise<string> => {
    const socket = new WebSocket(url, options);
    context.after(() => socket.terminate());
    const failed = new Promise<string>((resolve) => {
      // The server rejects a client certificate after the client's part of the TLS handshake.
      socket.on('error', () => resolve('refused'));
      socket.on('close', () => resolve('refused'));
    });
    return Promise.race([failed, once(socket, 'open').then(() => 'open')]);
  };
  await context.test('peer listener', async () => {
    const { cert, key, ca } = tls;
    assert.equal(await outcome(`ws://127.0.0.1:${peer}`, {}), 'refused');
    assert.equal(await outcome(`wss://127.0.0.1:${peer}`, { ca }), 'refused');
    assert.equal(await outcome(`wss://127.0.0.1:${peer}`, { ca, cert, key }), 'open');
    assert.equal((await mesh.send('/desk/read/x')).code, 0);
  });
});
