import assert from 'node:assert/strict';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { WebSocket } from 'ws';
import { run } from '../../src/cli/run.js';
import { bundleDocument } from '../../src/core/configuration/bundle.js';
import { toDocument } from '../../src/core/configuration/document.js';
import { textDigest } from '../../src/core/configuration/text-digest.js';
import { proveChallenge, type Hello } from '../../src/core/membership/handshake.js';
import { OrderIdentity } from '../../src/core/order/order-id.js';
import { decodeFrame, encodeFrame } from '../../src/runtime/frame-codec.js';
import { valueOf } from '../results.js';
import {
  MAX_BODY_BYTES,
  meshConfiguration,
  newOrderId,
  openMesh,
  PEER_SECRET,
  waitUntil,
  waitUntilLogged,
  type Mesh,
  type MeshRequest,
} from './mesh.js';

async function serves(mesh: Mesh): Promise<void> {
  assert.equal((await mesh.send('/desk/read/still-serving')).code, 0);
}

/** Sends bytes as they are and reads until the node closes the connection. */
async function sendRaw(port: number, text: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let answer = '';
  socket.setEncoding('latin1').on('data', (chunk: string) => {
    answer += chunk;
  });
  socket.on('error', () => {});
  socket.write(text);
  await once(socket, 'close');
  return answer;
}

test('a bad request gets a numbered code and the node goes on serving', async (context) => {
  // Guards against requests that end without a code or that stop the node.
  const mesh = await openMesh(context);
  const orderId = await newOrderId(mesh);
  const foreign = new OrderIdentity(PEER_SECRET).issue(
    {
      home: 'front-1',
      homeIncarnation: 'a',
      caller: { kind: 'account', account: 'workshop-paisley' },
      issuedAt: 0,
    },
    new Uint8Array(16),
  );
  const order = (id: string): MeshRequest => ({
    method: 'POST',
    headers: ['almondhoist-order-id', id],
    body: 'oak',
  });
  const large = 'x'.repeat(MAX_BODY_BYTES + 1);
  const context1 = ['almondhoist-context', 'a~b~c'];
  const cases: readonly (readonly [string, string, MeshRequest, number, number])[] = [
    ['large body', '/desk/check/x', { method: 'POST', body: large }, 413, 2006],
    ['unknown route', '/desk/other', {}, 404, 2001],
    ['unknown service', '/shop/read/x', {}, 404, 2001],
    ['wrong method', '/desk/read/x', { method: 'DELETE' }, 404, 2001],
    ['forged context', '/desk/read/x', { headers: context1 }, 403, 2008],
    ['empty context', '/desk/read/x', { headers: ['almondhoist-context', ''] }, 403, 2008],
    ['forged order', '/desk/orders/x', order(`${orderId.slice(0, -2)}AA`), 400, 2202],
    ['order without form', '/desk/orders/x', order('1'), 400, 2202],
    ['foreign order', '/desk/orders/x', order(foreign), 400, 2202],
    ['order without identifier', '/desk/orders/x', { method: 'POST' }, 428, 2201],
  ];
  for (const [name, target, sent, status, code] of cases) {
    await context.test(name, async () => {
      const got = await mesh.send(target, sent);
      assert.deepEqual([got.status, got.code], [status, code]);
      await serves(mesh);
    });
  }
  const head = 'POST /desk/check/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n';
  const chunk = `${large.length.toString(16)}\r\n${large}\r\n`;
  const raw: readonly (readonly [string, string, number, number])[] = [
    ['large header', `${head}x-a: ${'x'.repeat(40_000)}\r\n\r\n`, 413, 2006],
    ['large chunked body', `${head}transfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`, 413, 2006],
    ['malformed chunk', `${head}transfer-encoding: chunked\r\n\r\nzz\r\n`, 400, 2007],
    ['malformed request line', 'SOME THING\r\n\r\n', 400, 2007],
    ['malformed header', 'GET /desk/read/x HTTP/1.1\r\nhost a\r\n\r\n', 400, 2007],
    ['no host', 'GET /desk/read/x HTTP/1.1\r\nconnection: close\r\n\r\n', 400, 2007],
    ['bad host', 'GET /desk/read/x HTTP/1.1\r\nhost: a b\r\nconnection: close\r\n\r\n', 400, 2007],
    [
      'target',
      'GET http://a/desk/read/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
      400,
      2007,
    ],
  ];
  for (const [name, text, status, code] of raw) {
    await context.test(name, async () => {
      const answer = await sendRaw(mesh.entry.ports.caller, text);
      assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
      assert.match(answer, new RegExp(`\\r\\nalmondhoist-code: ${code}\\r\\n`, 'i'));
      await serves(mesh);
    });
  }
  await context.test('garbage after a request that runs', async () => {
    // The answer belongs to the first request, which has reached a backend server.
    const text = `${head.replace('connection: close\r\n', '')}content-length: 1\r\n\r\noSOME THING\r\n\r\n`;
    assert.doesNotMatch(await sendRaw(mesh.entry.ports.caller, text), /almondhoist-code: 2/i);
    await serves(mesh);
  });
});

test('a peer that breaks the protocol is logged with a code and harms nobody', async (context) => {
  // Guards against a node that trusts or stops at what an unproven process sends it.
  const mesh = await openMesh(context);
  const open = async (): Promise<WebSocket> => {
    const socket = new WebSocket(`ws://127.0.0.1:${mesh.entry.ports.peer}`);
    context.after(() => socket.terminate());
    await once(socket, 'open');
    return socket;
  };
  const nextFrame = async (socket: WebSocket) => {
    const [data] = (await once(socket, 'message')) as [Buffer];
    return valueOf(decodeFrame(data));
  };
  const hello: Hello = {
    kind: 'hello',
    version: 1,
    identity: { node: 'stranger-1', zone: 'clyde-a', incarnation: 'x' },
    nonce: 'nonce-of-the-stranger',
  };
  await context.test('broken frame', async () => {
    const from = mesh.logLines().length;
    const socket = await open();
    socket.send(Buffer.from([0xc1, 0xff, 0x00]));
    await waitUntilLogged(mesh, 4001, from);
    await serves(mesh);
  });
  await context.test('frame before the handshake', async () => {
    const from = mesh.logLines().length;
    const socket = await open();
    socket.send(encodeFrame({ kind: 'leaving', forMs: 1000 }));
    await once(socket, 'close');
    await waitUntilLogged(mesh, 4002, from);
    await serves(mesh);
  });
  await context.test('wrong secret', async () => {
    const from = mesh.logLines().length;
    const socket = await open();
    socket.send(encodeFrame(hello));
    assert.equal((await nextFrame(socket)).kind, 'challenge');
    socket.send(encodeFrame({ kind: 'proof', proof: 'x'.repeat(43) }));
    await once(socket, 'close');
    await waitUntilLogged(mesh, 4002, from);
    await serves(mesh);
  });
  await context.test('broken frame after the handshake', async () => {
    const socket = await open();
    socket.send(encodeFrame(hello));
    const challenge = await nextFrame(socket);
    assert.equal(challenge.kind, 'challenge');
    if (challenge.kind !== 'challenge') return;
    socket.send(encodeFrame(valueOf(proveChallenge({ hello, challenge, secret: PEER_SECRET }))));
    await once(socket, 'message');
    const from = mesh.logLines().length;
    socket.send(encodeFrame({ kind: 'cancel', requestId: 'unknown' }));
    socket.send(Buffer.from('no frame'));
    await waitUntilLogged(mesh, 4001, from);
    assert.equal(socket.readyState, WebSocket.OPEN);
    await serves(mesh);
  });
});

test('a port in use ends the command with the exit code 4 and the code 1101', async (context) => {
  // Guards against a node that starts half, or that hangs when it cannot start.
  const mesh = await openMesh(context);
  const directory = await mkdtemp(join(tmpdir(), 'almondhoist-port-'));
  context.after(() => rm(directory, { recursive: true }));
  const { caller, peer } = mesh.entry.ports;
  for (const [at, listeners] of [
    `caller = "127.0.0.1:${caller}"\npeer = "127.0.0.1:0"`,
    `caller = "127.0.0.1:0"\npeer = "127.0.0.1:${peer}"`,
  ].entries()) {
    const file = join(directory, `${at}.toml`);
    const rest = [
      '[node]\nbackend_server = "desk-9"\nzone = "clyde-a"\n[listen]',
      listeners,
      '[backend_server]\nurl = "http://127.0.0.1:1"',
      '[configuration_service]\nurls = ["http://127.0.0.1:2"]',
      `[fleet]\npeer_secret = "${PEER_SECRET}"\n`,
    ];
    await writeFile(file, rest.join('\n'));
    const errors: string[] = [];
    const code = await run(['node', '--settings', file], {
      print: () => {},
      printError: (text) => errors.push(text),
      readInput: () => Promise.resolve(''),
    });
    assert.equal(code, 4, errors.join('\n'));
    assert.match(errors.join('\n'), /\[1101\]/);
  }
  await serves(mesh);
});

test('a faulty publication changes nothing', async (context) => {
  // Guards against a configuration that is applied in part, or that stops later ones.
  const mesh = await openMesh(context);
  const changed = (revision: number) => {
    const base = meshConfiguration(revision);
    const routes = base.routes.map((one) =>
      one.name === 'check' ? { ...one, path: `/check-${revision}/*` } : one,
    );
    return { ...base, routes };
  };
  const bundle = (revision: number) => valueOf(bundleDocument(toDocument(changed(revision))));
  const unchanged = async () => {
    const from = mesh.logLines().length;
    assert.equal((await mesh.send('/desk/check/x', { method: 'POST', body: 'oak' })).code, 0);
    await serves(mesh);
    const applied = mesh.logLines().slice(from);
    assert.ok(!applied.some((line) => line.includes('"codeNumber":4104')));
  };
  const publishAll = async (revision: number, manifestText: string, cut = '') => {
    for (const [digest, text] of bundle(revision).parts) {
      await mesh.publish(`configuration/parts/${digest}`, cut === '' ? text : cut);
    }
    await mesh.publish('configuration/manifest', manifestText);
  };
  const expectRejected = async (code: number, publish: () => Promise<void>) => {
    const from = mesh.logLines().length;
    await publish();
    await waitUntilLogged(mesh, code, from);
    await unchanged();
  };
  await context.test('malformed', () =>
    expectRejected(4101, () => publishAll(2, bundle(2).manifestText.slice(0, -5))),
  );
  await context.test('part with other content', () =>
    expectRejected(4101, () => publishAll(3, bundle(3).manifestText, '{"entries":{}}')),
  );
  await context.test('wrong digest of the document', () =>
    expectRejected(4101, () => {
      const { manifest } = bundle(4);
      return publishAll(4, JSON.stringify({ ...manifest, digest: textDigest('other') }));
    }),
  );
  await context.test('unknown reference', () =>
    expectRejected(4102, () =>
      mesh.publishConfiguration({ ...changed(5), services: [{ name: 'front' }] }),
    ),
  );
  await context.test('next good one', async () => {
    const from = mesh.logLines().length;
    await mesh.publishConfiguration(changed(9));
    // The watcher applies a revision before the entry hears of it.
    const isEntry = (line: string): boolean =>
      ['"codeNumber":4104', '"node":"front-1"', '"topic":"configuration"'].every((part) =>
        line.includes(part),
      );
    await waitUntil('revision 9 at the entry', () => mesh.logLines().slice(from).some(isEntry));
    const sent = { method: 'POST', body: 'oak' };
    assert.equal((await mesh.send('/desk/check-9/x', sent)).code, 0);
    assert.equal((await mesh.send('/desk/check/x', sent)).code, 2001);
  });
  await context.test('older revision', async () => {
    const from = mesh.logLines().length;
    await mesh.publishConfiguration(changed(8));
    await waitUntilLogged(mesh, 4103, from);
    const sent = { method: 'POST', body: 'oak' };
    assert.equal((await mesh.send('/desk/check-9/x', sent)).code, 0);
    assert.equal((await mesh.send('/desk/check-8/x', sent)).code, 2001);
  });
});
