import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { test } from 'node:test';
import { newOrderId, openMesh, waitUntil, type Handler, type Mesh } from './mesh.js';

const PARTIAL_BODY = 'part of an answer';
const SHED_HEADERS = { 'x-not-run': 'true' };

/** Handler that counts the requests that reach it. */
class CountingHandler {
  runs = 0;

  readonly handler: Handler;

  constructor(handler: Handler) {
    this.handler = (incoming, response, body) => {
      this.runs += 1;
      return handler(incoming, response, body);
    };
  }
}

const SHORT_ANSWER: Handler = (_, response) => {
  response.writeHead(200, { 'content-length': PARTIAL_BODY.length + 1 });
  response.write(PARTIAL_BODY, () => response.destroy());
};
const SHORT_CHUNKED_ANSWER: Handler = (_, response) => {
  response.writeHead(200, { 'transfer-encoding': 'chunked' });
  response.write(PARTIAL_BODY, () => response.destroy());
};
const TWO_LENGTHS: Handler = (_, response) => {
  response.socket?.end(
    `HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 17\r\n\r\n${PARTIAL_BODY}`,
  );
};
const SHORT_ANSWER_WITHOUT_LENGTH: Handler = (_, response) => {
  response.socket?.end(`HTTP/1.1 200 OK\r\n\r\n${PARTIAL_BODY}`);
};
const SHORT_HEAD: Handler = (_, response) => {
  response.socket?.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n');
};
const NOT_HTTP: Handler = (_, response) => {
  response.socket?.end(`${PARTIAL_BODY}\r\n\r\n`);
};
const STATUS_000: Handler = (_, response) => {
  response.socket?.end(`HTTP/1.1 000 None\r\ncontent-length: 17\r\n\r\n${PARTIAL_BODY}`);
};
const STATUS_099: Handler = (_, response) => {
  response.socket?.end(`HTTP/1.1 099 None\r\ncontent-length: 17\r\n\r\n${PARTIAL_BODY}`);
};
const CLOSED_CONNECTION: Handler = (_, response) => {
  response.destroy();
};
const NO_ANSWER: Handler = () => {};
const SHED_NOT_RUN: Handler = (_, response) => {
  response.writeHead(503, SHED_HEADERS).end();
};
const SHED_PLAIN: Handler = (_, response) => {
  response.writeHead(503).end('busy');
};

interface Case {
  readonly name: string;
  readonly handler: Handler;
  readonly isLate: boolean;
  readonly code: number;
  readonly status: number;
}

function failingCase(name: string, handler: Handler, code: number, status = 502): Case {
  return { name, handler, code, status, isLate: false };
}

const CASES: readonly Case[] = [
  failingCase('short', SHORT_ANSWER, 3003),
  failingCase('short-chunked', SHORT_CHUNKED_ANSWER, 3003),
  failingCase('short-without-length', SHORT_ANSWER_WITHOUT_LENGTH, 3003),
  failingCase('short-head', SHORT_HEAD, 3002),
  failingCase('two-lengths', TWO_LENGTHS, 3002),
  failingCase('no-http', NOT_HTTP, 3002),
  failingCase('status-000', STATUS_000, 3002),
  failingCase('status-099', STATUS_099, 3003),
  failingCase('close', CLOSED_CONNECTION, 3002),
  { ...failingCase('silent', NO_ANSWER, 3001, 504), isLate: true },
];

async function sendOrder(mesh: Mesh, path: string, orderId: string) {
  const headers = ['almondhoist-order-id', orderId];
  return mesh.send(path, { method: 'POST', headers, body: 'oak' });
}

test('a failed answer of a backend server is reported to the caller as a failure', async (context) => {
  // Guards against a truncated answer that passes as a success, a false "not run", and an order
  // that runs twice.
  const counted = CASES.map(({ handler }) => new CountingHandler(handler));
  const shedNotRun = new CountingHandler(SHED_NOT_RUN);
  const shedPlain = new CountingHandler(SHED_PLAIN);
  let isShedding = true;
  const shedFirst = new CountingHandler((incoming, response, body) => {
    if (isShedding) return SHED_NOT_RUN(incoming, response, body);
    response.end('placed');
    return undefined;
  });
  const closeThenShed: CountingHandler = new CountingHandler((incoming, response, body) =>
    (closeThenShed.runs === 1 ? CLOSED_CONNECTION : SHED_NOT_RUN)(incoming, response, body),
  );
  const handlers = {
    ...Object.fromEntries(
      CASES.map(({ name }, index) => [name, counted[index]?.handler ?? NO_ANSWER]),
    ),
    'shed-not-run': shedNotRun.handler,
    'shed-plain': shedPlain.handler,
    'close-then-shed': closeThenShed.handler,
    'shed-first': shedFirst.handler,
    html: ((_, response) => {
      response.writeHead(200, { 'content-type': 'text/html' }).end('{"blocks":3}');
    }) satisfies Handler,
  };
  const mesh = await openMesh(context, { handlers });
  for (const [index, { name, code, status, isLate }] of CASES.entries()) {
    await context.test(`${name}, idempotent`, async () => {
      const got = await mesh.send(`/desk/${isLate ? 'late' : 'read'}/${name}`);
      assert.deepEqual([got.status, got.code, got.isNotRun], [status, code, false]);
    });
    await context.test(`${name}, order`, async () => {
      const before = counted[index]?.runs ?? 0;
      const id = await newOrderId(mesh);
      const path = `/desk/${isLate ? 'late-orders' : 'orders'}/${name}`;
      const first = await sendOrder(mesh, path, id);
      assert.deepEqual([first.status, first.code, first.isNotRun], [status, code, false]);
      const repeat = await sendOrder(mesh, path, id);
      assert.deepEqual([repeat.status, repeat.code, repeat.isNotRun], [status, code, false]);
      assert.equal((counted[index]?.runs ?? 0) - before, 1);
    });
  }
  await context.test('wrong content type', async () => {
    const got = await mesh.send('/desk/read/html');
    // A node does not know the expected content type, so the answer is forwarded unchanged.
    assert.deepEqual([got.code, got.text], [0, '{"blocks":3}']);
    assert.equal(got.headers['content-type'], 'text/html');
  });
  await context.test('shed with the not-run header', async () => {
    const got = await mesh.send('/desk/read/shed-not-run');
    assert.deepEqual([got.status, got.code, got.isNotRun], [503, 2106, true]);
    assert.ok(shedNotRun.runs <= 3, `${shedNotRun.runs} sends with a budget of two retries`);
    const id = await newOrderId(mesh);
    const refused = await sendOrder(mesh, '/desk/orders/shed-first', id);
    assert.deepEqual([refused.code, refused.isNotRun], [2106, true]);
    isShedding = false;
    const sends = shedFirst.runs;
    const placed = await sendOrder(mesh, '/desk/orders/shed-first', id);
    const again = await sendOrder(mesh, '/desk/orders/shed-first', id);
    assert.deepEqual([placed.text, again.text], ['placed', 'placed']);
    assert.equal(shedFirst.runs, sends + 1);
  });
  await context.test('shed without the not-run header', async () => {
    const got = await mesh.send('/desk/read/shed-plain');
    assert.deepEqual([got.status, got.isNotRun], [503, false]);
    assert.ok(shedPlain.runs <= 3, `${shedPlain.runs} sends with a budget of two retries`);
    const sends = shedPlain.runs;
    const id = await newOrderId(mesh);
    for (let index = 0; index < 2; index += 1) {
      const answer = await sendOrder(mesh, '/desk/orders/shed-plain', id);
      assert.deepEqual([answer.status, answer.isNotRun], [503, false]);
    }
    assert.equal(shedPlain.runs, sends + 1);
  });
  await context.test('shed after a failed run on another backend server', async () => {
    const got = await mesh.send('/desk/read/close-then-shed');
    assert.deepEqual([got.status, got.code, got.isNotRun], [502, 3002, false]);
    assert.equal(closeThenShed.runs, 2);
  });
  assert.deepEqual(
    mesh.logLines().filter((line) => line.includes('"codeNumber":9001')),
    [],
  );
});

test('answers that arrive out of order reach their own callers complete', async (context) => {
  // Guards against an answer that reaches the caller of another request over the same link.
  const CALLS = 60;
  const held: { readonly response: ServerResponse; readonly body: string }[] = [];
  const wholeBody = (body: string): string => `${body};`.repeat(300);
  const mesh = await openMesh(context, {
    handlers: {
      crossed: (_, response, body) => {
        held.push({ response, body });
        if (held.length < CALLS) return;
        // Answers the odd calls first, then the even ones in reverse order.
        const odd = held.filter((__, index) => index % 2 === 1);
        const even = held.filter((__, index) => index % 2 === 0).reverse();
        [...odd, ...even].forEach((call) => call.response.end(wholeBody(call.body)));
      },
    },
  });
  const bodies = Array.from({ length: CALLS }, (_, index) => `caller-${index}`);
  const answers = await Promise.all(
    bodies.map((body) => mesh.send('/desk/check/crossed', { method: 'POST', body })),
  );
  assert.deepEqual(
    answers.map(({ text }) => text),
    bodies.map(wholeBody),
  );
});

test('a disconnect of the caller cancels an idempotent call, but not an order', async (context) => {
  // Guards against work whose answer has no receiver, and against an order whose outcome is lost
  // when its caller disconnects.
  let open = 0;
  let started = 0;
  let placed = 0;
  let release = (): void => {};
  const mesh = await openMesh(context, {
    handlers: {
      hold: (_, response) => {
        open += 1;
        started += 1;
        response.once('close', () => {
          open -= 1;
        });
      },
      place: (_, response) => {
        placed += 1;
        release = () => response.end('placed');
      },
    },
  });
  const assertCancelled = async (service: string): Promise<void> => {
    const before = started;
    const abort = new AbortController();
    const call = mesh.send(`/${service}/read/hold`, { signal: abort.signal });
    await waitUntil('call at the backend server', () => started === before + 1);
    abort.abort();
    await assert.rejects(call);
    // The deadline of the route is as long as the polling, so only the cancellation ends the call.
    await waitUntil('closed connection at the backend server', () => open === 0);
    assert.equal(started, before + 1);
  };
  await context.test('idempotent call to another node', () => assertCancelled('desk'));
  await context.test('idempotent call to the own gate', () => assertCancelled('front'));
  await context.test('order', async () => {
    const id = await newOrderId(mesh);
    const headers = ['almondhoist-order-id', id];
    const abort = new AbortController();
    const sent = { method: 'POST', headers, body: 'oak' };
    const call = mesh.send('/desk/orders/place', { ...sent, signal: abort.signal });
    await waitUntil('order at the backend server', () => placed === 1);
    abort.abort();
    await assert.rejects(call);
    const whileRunning = mesh.send('/desk/orders/place', sent);
    release();
    assert.equal((await whileRunning).text, 'placed');
    assert.equal((await mesh.send('/desk/orders/place', sent)).text, 'placed');
    assert.equal(placed, 1);
  });
});
