import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request as sendRequest } from 'node:http';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST, KEY, POLICY, startFleet, type FleetHost } from './fleet.js';

/** A node with this memory holds request bodies of 3 MB together. */
const MEMORY_BYTES = 10_000_000;

/** Uploads that together are larger than what the node holds. */
const UPLOADS = 5;
const UPLOAD_BYTES = 900_000;
const BLOCK_BYTES = 90_000;
const BLOCK_INTERVAL_MS = 50;

const UPLOAD_TIMEOUT_MS = 3000;
const ORDER_TIMEOUT_MS = 800;

/** The platform allows half a second beyond the timeout of the route. */
const LATE_MS = 500;

const UPLOAD_POLICY = {
  ...POLICY,
  routes: [
    ...POLICY.routes,
    {
      name: 'plan',
      host: HOST,
      prefix: '/plan/',
      kind: 'upload',
      timeout: `${UPLOAD_TIMEOUT_MS}ms`,
      targetLatency: '1s',
      priority: 1,
      service: 'stock',
      attempts: 2,
    },
  ],
};

interface UploadEnd {
  readonly status: number;
  readonly tookMs: number;
}

/** Sends a body in blocks, with a pause between them, and reads the status of its answer. */
async function upload(
  { ip, settings }: FleetHost,
  id: string,
  { isChunked, blocks }: { readonly isChunked: boolean; readonly blocks: number },
): Promise<UploadEnd> {
  const startedAt = performance.now();
  const request = sendRequest({
    host: ip,
    port: settings.callerAddress.port,
    path: '/plan/1',
    method: 'POST',
    agent: false,
    headers: {
      host: HOST,
      'attempt-id': id,
      'timeout-ms': '6000',
      authorization: `Bearer ${KEY}`,
      ...(isChunked ? {} : { 'content-length': UPLOAD_BYTES }),
    },
  });
  request.on('error', () => {});
  const answered = once(request, 'response').then(([answer]) => {
    answer.resume();
    return { status: Number(answer.statusCode), tookMs: performance.now() - startedAt };
  });
  for (let block = 0; block < blocks; block += 1) {
    request.write(Buffer.alloc(BLOCK_BYTES));
    await sleep(BLOCK_INTERVAL_MS);
  }
  if (blocks * BLOCK_BYTES === UPLOAD_BYTES) request.end();
  const end = await answered;
  request.destroy();
  return end;
}

for (const isChunked of [false, true]) {
  const form = isChunked ? 'in chunks' : 'with a length';
  test(`uploads ${form} that together exceed the memory are served one after the other`, async (t) => {
    // Guards against uploads that wait for each other, and hold up small requests, until their
    // callers leave.
    const { hosts, call } = await startFleet(t, {
      hosts: [{ service: 'stock', zone: 'a' }],
      policy: UPLOAD_POLICY,
      memoryBytes: MEMORY_BYTES,
    });
    const [host] = hosts;
    assert.ok(host !== undefined);
    const blocks = UPLOAD_BYTES / BLOCK_BYTES;
    const uploads = Array.from({ length: UPLOADS }, (_, at) =>
      upload(host, `u${at}`, { isChunked, blocks }),
    );
    await sleep(blocks * BLOCK_INTERVAL_MS + 100);
    const startedAt = performance.now();
    const order = { path: '/order/1', method: 'POST', body: 'x'.repeat(1200) } as const;
    const answer = await call(host, { ...order, id: 'o1' });
    const orderMs = performance.now() - startedAt;
    assert.equal(answer.status, 200);
    assert.ok(orderMs <= ORDER_TIMEOUT_MS + LATE_MS, `order after ${Math.round(orderMs)} ms`);
    const ends = await Promise.all(uploads);
    assert.deepEqual(
      ends.map(({ status }) => status),
      ends.map(() => 200),
    );
  });
}

test('an upload whose caller stops sending is answered at the timeout of its route', async (t) => {
  // Guards against a request that is never answered because its body never becomes whole.
  const { hosts } = await startFleet(t, {
    hosts: [{ service: 'stock', zone: 'a' }],
    policy: UPLOAD_POLICY,
  });
  const [host] = hosts;
  assert.ok(host !== undefined);
  const { status, tookMs } = await upload(host, 'u1', { isChunked: false, blocks: 2 });
  assert.equal(status, 408);
  assert.ok(tookMs >= UPLOAD_TIMEOUT_MS - LATE_MS && tookMs <= UPLOAD_TIMEOUT_MS + LATE_MS);
});
