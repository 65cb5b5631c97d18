import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { waitFor } from './fleet.js';
import { BODY_LIMIT_BYTES, get, RawCaller, startFrontEnd } from './front-end.js';

function post(path: string, bytes: number, headers = ''): string {
  return `POST ${path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: ${path}\r\nContent-Length: ${bytes}\r\n${headers}\r\n${'x'.repeat(bytes)}`;
}

function chunked(path: string, bytes: number): string {
  return `POST ${path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: ${path}\r\nTransfer-Encoding: chunked\r\n\r\n${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n0\r\n\r\n`;
}

test('answers go out in the order of the requests, whose work does not wait', async (t) => {
  // Guards against answers that the caller takes for those of other requests.
  const { port, handled, answer } = await startFrontEnd(t);
  const caller = new RawCaller(t, port);
  caller.socket.write(get('/a') + get('/b') + get('/c'));
  await waitFor('the requests', () => handled.length === 3);
  answer('/c');
  answer('/b');
  await sleep(50);
  assert.deepEqual(caller.answers, []);
  answer('/a');
  await waitFor('the answers', () => caller.answers.length === 3);
  assert.deepEqual(
    caller.summary,
    ['/a', '/b', '/c'].map((path) => [200, path, false]),
  );
  assert.equal(caller.isEnded, false);
});

/** Bytes behind open requests that are refused, with the status that the caller has to see. */
const UNREADABLE: Readonly<Record<string, readonly [string, number]>> = {
  'a line that is no request': ['no request at all\r\n\r\n', 400],
  'a body with a broken chunk': [
    'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    400,
  ],
  'headers over the limit': [get('/x', `X-Large: ${'x'.repeat(70_000)}\r\n`), 413],
  'a body over the limit': [post('/x', BODY_LIMIT_BYTES + 1), 413],
  'chunks over the limit': [chunked('/x', BODY_LIMIT_BYTES + 1), 413],
  'headers that never end': ['GET /x HTTP/1.1\r\nHost:', 408],
};

for (const [name, [bytes, status]] of Object.entries(UNREADABLE)) {
  test(`requests ahead of ${name} are answered before the refusal`, async (t) => {
    // Guards against a refusal in the place of an answer, which tells a caller that its order failed.
    const { port, handled, cancelled, answer } = await startFrontEnd(t);
    const caller = new RawCaller(t, port);
    caller.socket.write(get('/a') + get('/b') + bytes);
    await waitFor('the requests', () => handled.length === 2);
    if (status === 408) await sleep(2500);
    answer('/b');
    await sleep(50);
    assert.deepEqual(caller.answers, []);
    answer('/a');
    await waitFor('the end of the connection', () => caller.isEnded);
    assert.deepEqual(caller.summary, [
      [200, '/a', false],
      [200, '/b', false],
      [status, '', true],
    ]);
    assert.deepEqual(cancelled, []);
  });
}

test('nothing behind a refusal that closes the connection is handled', async (t) => {
  // Guards against an order that runs although its caller takes it as unread and sends it again.
  const { port, handled, answer } = await startFrontEnd(t);
  const caller = new RawCaller(t, port);
  caller.socket.write(get('/a') + post('/x', BODY_LIMIT_BYTES + 1) + get('/b'));
  await waitFor('the first request', () => handled.length === 1);
  await sleep(50);
  answer('/a');
  await waitFor('the end of the connection', () => caller.isEnded);
  assert.deepEqual(handled, ['/a']);
  assert.deepEqual(
    caller.summary.map(([status, , isLast]) => [status, isLast]),
    [
      [200, false],
      [413, true],
    ],
  );
});

test('nothing behind a request that asks to close the connection is handled', async (t) => {
  // Guards against an order that runs although its caller takes it as unread and sends it again.
  const { port, handled, answer } = await startFrontEnd(t);
  const caller = new RawCaller(t, port);
  caller.socket.write(get('/a') + get('/b', 'Connection: close\r\n') + get('/c'));
  await waitFor('the requests', () => handled.length === 2);
  await sleep(50);
  answer('/a');
  answer('/b');
  await waitFor('the end of the connection', () => caller.isEnded);
  assert.deepEqual(handled, ['/a', '/b']);
  assert.deepEqual(caller.summary, [
    [200, '/a', false],
    [200, '/b', true],
  ]);
});

test('a planned stop answers each request that was read and closes behind the last one', async (t) => {
  // Guards against requests that ran and whose answers were thrown away by the stop.
  const { port, handled, answer, setStopping } = await startFrontEnd(t);
  const caller = new RawCaller(t, port);
  caller.socket.write(get('/a') + get('/b') + get('/c'));
  await waitFor('the requests', () => handled.length === 3);
  answer('/b');
  setStopping();
  caller.socket.write(get('/d'));
  await sleep(50);
  answer('/a');
  await sleep(50);
  assert.equal(caller.isEnded, false);
  answer('/c');
  await waitFor('the end of the connection', () => caller.isEnded);
  assert.deepEqual(handled, ['/a', '/b', '/c']);
  assert.deepEqual(caller.summary, [
    [200, '/a', false],
    [200, '/b', false],
    [200, '/c', true],
  ]);
});

test('a request that crosses a planned stop on an idle connection is answered', async (t) => {
  // Guards against a kept connection that closes under a request which was just sent.
  const { port, handled, answer, setStopping } = await startFrontEnd(t);
  const caller = new RawCaller(t, port);
  await once(caller.socket, 'connect');
  setStopping();
  caller.socket.write(get('/a'));
  await waitFor('the request', () => handled.length === 1);
  answer('/a');
  await waitFor('the end of the connection', () => caller.isEnded);
  assert.deepEqual(caller.summary, [[200, '/a', true]]);
});

test('requests that arrive in a row wait for a pause hold and then start in order', async (t) => {
  // Guards against a row of requests that loses its order when a process has stood still.
  const { port, handled, answer, setHeld, listener } = await startFrontEnd(t);
  const caller = new RawCaller(t, port);
  setHeld(true);
  caller.socket.write(get('/a') + get('/b'));
  await sleep(50);
  assert.deepEqual(handled, []);
  setHeld(false);
  listener.release();
  assert.deepEqual(handled, ['/a', '/b']);
  answer('/b');
  answer('/a');
  await waitFor('the answers', () => caller.answers.length === 2);
  assert.deepEqual(
    caller.summary.map(([, body]) => body),
    ['/a', '/b'],
  );
});

test('a connection has a bounded number of open requests and goes on when they are answered', async (t) => {
  // Guards against one connection that takes the memory and the gates of a whole node.
  const { port, handled, answer } = await startFrontEnd(t);
  const caller = new RawCaller(t, port);
  const paths = Array.from({ length: 3000 }, (_, at) => `/${at}`);
  caller.socket.write(paths.map((path) => get(path, `X-Fill: ${'x'.repeat(200)}\r\n`)).join(''));
  await waitFor('the first requests', () => handled.length > 0);
  await sleep(200);
  assert.ok(handled.length <= 100, `${handled.length} requests are open`);
  for (let next = 0; next < paths.length; next += 1) {
    await waitFor(`request ${next}`, () => handled.length > next);
    answer(`/${next}`);
    assert.ok(handled.length - next <= 100);
  }
  await waitFor('the answers', () => caller.answers.length === paths.length);
  assert.deepEqual(
    caller.answers.map(({ body }) => body),
    paths,
  );
});

test('answers that wait behind a slow one hold back further requests by their size', async (t) => {
  // Guards against one connection that fills the memory with large answers behind a slow request.
  const { port, handled, answer } = await startFrontEnd(t);
  const caller = new RawCaller(t, port);
  const paths = Array.from({ length: 60 }, (_, at) => `/${at}`);
  caller.socket.write(paths.map((path) => get(path)).join(''));
  await waitFor('the first requests', () => handled.length > 1);
  const large = 'y'.repeat(500_000);
  handled.slice(1).forEach((path) => answer(path, large));
  await sleep(50);
  const before = handled.length;
  caller.socket.write(get('/more'));
  await sleep(100);
  assert.equal(handled.length, before);
  answer('/0');
  await waitFor('the next request', () => handled.includes('/more'));
});

for (const how of ['reset', 'closed'] as const) {
  test(`a hundred requests of a connection that is ${how} are all ended`, async (t) => {
    // Guards against work that goes on for a caller that has left.
    const { port, handled, cancelled } = await startFrontEnd(t);
    const caller = new RawCaller(t, port);
    caller.socket.write(Array.from({ length: 100 }, (_, at) => get(`/${at}`)).join(''));
    await waitFor('the requests', () => handled.length > 0);
    await sleep(50);
    if (how === 'reset') caller.socket.resetAndDestroy();
    else caller.socket.destroy();
    await sleep(100);
    const open = handled.length;
    await waitFor('the cancellations', () => cancelled.length === open);
    assert.deepEqual([...cancelled].sort(), [...handled].sort());
  });
}

test('the last answer arrives whole although further requests are on their way', async (t) => {
  // Guards against a close with unread bytes, which resets the connection under its last answer.
  const { port, handled, answer, setStopping } = await startFrontEnd(t);
  const caller = new RawCaller(t, port);
  let wasReset = false;
  caller.socket.on('error', () => {
    wasReset = true;
  });
  caller.socket.write(get('/a'));
  await waitFor('the request', () => handled.length === 1);
  setStopping();
  const body = 'z'.repeat(3_000_000);
  answer('/a', body);
  const filler = Array.from({ length: 200 }, () => get('/late')).join('');
  for (let round = 0; round < 20; round += 1) {
    caller.socket.write(filler);

    await sleep(2);
  }
  await waitFor('the end of the connection', () => caller.isEnded || wasReset);
  assert.equal(caller.answers[0]?.body.length, body.length);
  assert.equal(wasReset, false);
  assert.deepEqual(handled, ['/a']);
});
