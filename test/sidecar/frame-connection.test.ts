import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import * as fc from 'fast-check';
import { FrameConnection } from '../../src/sidecar/frame-connection.js';
import { listenOn } from '../../standin/host-process.js';
import { waitFor } from './fleet.js';

const MAX_FRAME_BYTES = 200_000;

/** A connection that was accepted, and the raw socket at its other end. */
async function acceptRaw(context: TestContext) {
  const server = createServer();
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const port = await listenOn(server, '127.0.0.1');
  const raw = connect(port, '127.0.0.1');
  const [socket] = await accepted;
  const connection = new FrameConnection(socket, { maxFrameBytes: MAX_FRAME_BYTES });
  const frames: string[] = [];
  const closed: string[] = [];
  connection.start({
    onOpened: () => {},
    onFrame: (bytes) => frames.push(bytes.toString('latin1')),
    onClosed: (reason) => closed.push(reason),
  });
  context.after(() => {
    raw.destroy();
    connection.close();
    server.close();
  });
  return { raw, connection, frames, closed };
}

function encode(frame: string): Buffer {
  const bytes = Buffer.from(frame, 'latin1');
  const length = Buffer.alloc(4);
  length.writeUInt32BE(bytes.length);
  return Buffer.concat([length, bytes]);
}

test('frames arrive whole and in order, however the network cuts them', async (t) => {
  // Guards against a frame that is read from the middle of another one.
  const { raw, frames } = await acceptRaw(t);
  raw.setNoDelay(true);
  const part = fc.record({
    frame: fc.string({ maxLength: 40 }),
    cut: fc.integer({ min: 1, max: 9 }),
  });
  const parts = fc.sample(part, { numRuns: 300, seed: 5 });
  const bytes = Buffer.concat(parts.map(({ frame }) => encode(frame)));
  let at = 0;
  for (let index = 0; at < bytes.length; index += 1) {
    const { cut } = parts[index % parts.length] ?? { cut: 1 };
    raw.write(bytes.subarray(at, at + cut));
    at += cut;
    // Lets the bytes leave in segments of their own.
    if (index % 20 === 0) await nextTurn();
  }
  await waitFor('the frames', () => frames.length === parts.length);
  assert.deepEqual(
    frames,
    parts.map(({ frame }) => Buffer.from(frame, 'latin1').toString('latin1')),
  );
});

test('frames pass between two connections at every size', async (t) => {
  // Guards against a large frame that is sent or joined another way than a small one.
  const received: Buffer[] = [];
  const server = createServer((socket) => {
    const connection = new FrameConnection(socket, { maxFrameBytes: MAX_FRAME_BYTES });
    connection.start({
      onOpened: () => {},
      onFrame: (bytes) => connection.send(bytes),
      onClosed: () => {},
    });
  });
  const port = await listenOn(server, '127.0.0.1');
  const limits = { timeoutMs: 1000, maxFrameBytes: MAX_FRAME_BYTES };
  const connection = FrameConnection.open(`127.0.0.1:${port}`, limits);
  const sizes = [0, 1, 16_383, 16_384, 16_385, 70_000, MAX_FRAME_BYTES];
  const sent = sizes.map((size, index) => Buffer.alloc(size, index + 1));
  connection.start({
    onOpened: () => sent.forEach((frame) => connection.send(frame)),
    onFrame: (bytes) => received.push(Buffer.from(bytes)),
    onClosed: () => {},
  });
  t.after(() => {
    connection.close();
    server.close();
  });
  await waitFor('the frames', () => received.length === sizes.length);
  assert.ok(received.every((bytes, index) => bytes.equals(sent[index] ?? Buffer.alloc(0))));
});

test('a frame above the limit closes the connection', async (t) => {
  // Guards against memory for a frame that a faulty peer or another protocol announces.
  const { raw, frames, closed, connection } = await acceptRaw(t);
  raw.write('GET / HTTP/1.1\r\n\r\n');
  await waitFor('the close', () => closed.length === 1);
  assert.deepEqual(frames, []);
  assert.match(closed[0] ?? '', /frame of \d+ bytes/);
  assert.equal(connection.isOpen, false);
});

test('a connection that its peer ended sends nothing more', async (t) => {
  // Guards against a call that counts as sent, and so as possibly run, on a connection that ends.
  const { raw, closed, connection } = await acceptRaw(t);
  raw.end();
  await waitFor('the end', () => !connection.isOpen);
  await waitFor('the close', () => closed.length === 1);
});
