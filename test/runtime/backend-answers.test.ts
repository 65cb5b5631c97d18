import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { test } from 'node:test';
import { newOrderId, openMesh, waitUntil, type Handler, type Mesh } from './mesh.js';

const PART = 'part of an answer';
const SHED = { 'x-not-run': 'true' };

/** Counts the requests of a handler, which is how often the node had them run. */
class Counted {
  runs = 0;

  readonly handler: Handler;

  constructor(handler: Handler) {
    this.handler = (incoming, response, body) => {
      this.runs += 1;
      return handler(incoming, response, body);
    };
  }
}

const SHORT: Handler = (_, response) => {
  response.writeHead(200, { 'content-length': PART.length + 1 });
  response.write(PART, () => response.destroy());
};
const SHORT_CHUNKED: Handler = (_, response) => {
  response.writeHead(200, { 'transfer-encoding': 'chunked' });
  response.write(PART, () => response.destroy());
};
const TWO_LENGTHS: Handler = (_, response) => {
  response.socket?.end(`HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 17\r\n\r\n${PART}`);
};
const NO_HTTP: Handler = (_, response) => {
  response.socket?.end(`${PART}\r\n\r\n`);
};
const CLOSE: Handler = (_, response) => {
  response.destroy();
};
const SILENT: Handler = () => {};
const SHED_NOT_RUN: Handler = (_, response) => {
  response.writeHead(503, SHED).end();
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

function failing(name: string, handler: Handler, code: number, status = 502): Case {
  return { name, handler, code, status, isLate: false };
}

const CASES: readonly Case[] = [
  failing('short', SHORT, 3003),
  failing('short-chunked', SHORT_CHUNKED, 3003),
  failing('two-lengths', TWO_LENGTHS, 3002),
  failing('no-http', NO_HTTP, 3002),
  failing('close', CLOSE, 3002),
  { ...failing('silent', SILENT, 3001, 504), isLate: true },
];

async function order(mesh: Mesh, path: string, orderId: string) {
  const headers = ['almondhoist-order-id', orderId];
  return mesh.send(path, { method: 'POST', headers, body: 'oak' });
}

test('a failed answer of a backend server is a failure for the caller', async (context) => {
  // Guards against a shorter success, a wrong "not run", and an order that runs twice.
  const counted = CASES.map(({ handler }) => new Counted(handler));
  const shedNotRun = new Counted(SHED_NOT_RUN);
  const shedPlain = new Counted(SHED_PLAIN);
  let isShedding = true;
  const shedFirst = new Counted((incoming, response, body) => {
    if (isShedding) return SHED_NOT_RUN(incoming, response, body);
    response.end('placed');
    return undefined;
  });
  const closeThenShed: Counted = new Counted((incoming, response, body) =>
    (closeThenShed.runs === 1 ? CLOSE : SHED_NOT_RUN)(incoming, response, body),
  );
  const handlers = {
    ...Object.fromEntries(CASES.map(({ name }, at) => [name, counted[at]?.handler ?? SILENT])),
    'shed-not-run': shedNotRun.handler,
    'shed-plain': shedPlain.handler,
    'close-then-shed': closeThenShed.handler,
    'shed-first': shedFirst.handler,
    html: ((_, response) => {
      response.writeHead(200, { 'content-type': 'text/html' }).end('{"blocks":3}');
    }) satisfies Handler,
  };
  const mesh = await openMesh(context, { handlers });
  for (const [at, { name, code, status, isLate }] of CASES.entries()) {
    await context.test(`${name}, idempotent`, async () => {
      const got = await mesh.send(`/desk/${isLate ? 'late' : 'read'}/${name}`);
      assert.deepEqual([got.status, got.code, got.isNotRun], [status, code, false]);
    });
    await context.test(`${name}, order`, async () => {
      const before = counted[at]?.runs ?? 0;
      const id = await newOrderId(mesh);
      const path = `/desk/${isLate ? 'late-orders' : 'orders'}/${name}`;
      const first = await order(mesh, path, id);
      assert.deepEqual([first.status, first.code, first.isNotRun], [status, code, false]);
      const repeat = await order(mesh, path, id);
      assert.deepEqual([repeat.status, repeat.code, repeat.isNotRun], [status, code, false]);
      assert.equal((counted[at]?.runs ?? 0) - before, 1);
    });
  }
  await context.test('wrong content type', async () => {
    const got = await mesh.send('/desk/read/html');
    // A node knows no right content type, so the caller gets the whole answer as it was given.
    assert.deepEqual([got.code, got.text], [0, '{"blocks":3}']);
    assert.equal(got.headers['content-type'], 'text/html');
  });
  await context.test('shed without running', async () => {
    const got = await mesh.send('/desk/read/shed-not-run');
    assert.deepEqual([got.status, got.code, got.isNotRun], [503, 2106, true]);
    assert.ok(shedNotRun.runs <= 3, `${shedNotRun.runs} sends with a budget of two retries`);
    const id = await newOrderId(mesh);
    const refused = await order(mesh, '/desk/orders/shed-first', id);
    assert.deepEqual([refused.code, refused.isNotRun], [2106, true]);
    isShedding = false;
    const sends = shedFirst.runs;
    const placed = await order(mesh, '/desk/orders/shed-first', id);
    const again = await order(mesh, '/desk/orders/shed-first', id);
    assert.deepEqual([placed.text, again.text], ['placed', 'placed']);
    assert.equal(shedFirst.runs, sends + 1);
  });
  await context.test('shed without saying that it did not run', async () => {
    const got = await mesh.send('/desk/read/shed-plain');
    assert.deepEqual([got.status, got.isNotRun], [503, false]);
    assert.ok(shedPlain.runs <= 3, `${shedPlain.runs} sends with a budget of two retries`);
    const sends = shedPlain.runs;
    const id = await newOrderId(mesh);
    for (let at = 0; at < 2; at += 1) {
      const answer = await order(mesh, '/desk/orders/shed-plain', id);
      assert.deepEqual([answer.status, answer.isNotRun], [503, false]);
    }
    assert.equal(shedPlain.runs, sends + 1);
  });
  await context.test('shed after a run that failed elsewhere', async () => {
    const got = await mesh.send('/desk/read/close-then-shed');
    assert.deepEqual([got.status, got.code, got.isNotRun], [502, 3002, false]);
    assert.equal(closeThenShed.runs, 2);
  });
  assert.deepEqual(
    mesh.logLines().filter((line) => line.includes('"codeNumber":9001')),
    [],
  );
});

test('answers that come in another order reach their own callers whole', async (context) => {
  // Guards against an answer that reaches the caller of another request over the same link.
  const CALLS = 60;
  const held: { readonly response: ServerResponse; readonly body: string }[] = [];
  const whole = (body: string): string => `${body};`.repeat(300);
  const mesh = await openMesh(context, {
    handlers: {
      crossed: (_, response, body) => {
        held.push({ response, body });
        if (held.length < CALLS) return;
        // Every second one first, the others backwards.
        const odd = held.filter((__, at) => at % 2 === 1);
        const even = held.filter((__, at) => at % 2 === 0).reverse();
        [...odd, ...even].forEach((call) => call.response.end(whole(call.body)));
      },
    },
  });
  const bodies = Array.from({ length: CALLS }, (_, at) => `caller-${at}`);
  const answers = await Promise.all(
    bodies.map((body) => mesh.send('/desk/check/crossed', { method: 'POST', body })),
  );
  assert.deepEqual(
    answers.map(({ text }) => text),
    bodies.map(whole),
  );
});

test('a caller that goes away cancels its call, and an order runs on', async (context) => {
  // Guards against work for nobody, and against an order whose outcome is lost with its caller.
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
  const cancel = async (service: string): Promise<void> => {
    const before = started;
    const abort = new AbortController();
    const call = mesh.send(`/${service}/read/hold`, { signal: abort.signal });
    await waitUntil('call at the backend server', () => started === before + 1);
    abort.abort();
    await assert.rejects(call);
    // The deadline of the route is as long as the polls, so it is not what ends the call.
    await waitUntil('closed connection at the backend server', () => open === 0);
    assert.equal(started, before + 1);
  };
  await context.test('idempotent call to another node', () => cancel('desk'));
  await context.test('idempotent call to the own gate', () => cancel('front'));
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
