import assert from 'node:assert/strict';
import { get, type IncomingMessage } from 'node:http';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST, KEY, POLICY, startFleet, waitFor, type FleetHost } from './fleet.js';

/** Larger than what the sockets of both ends buffer. */
const ANSWER_BYTES = 16_000_000;
const READ_BYTES_PER_S = 3_200_000;
const READ_INTERVAL_MS = 10;
const REQUEST_TIMEOUT_MS = 8000;

/** As on the users' platform. */
const STOP_DEADLINE_MS = 6000;

const POLICY_OF_LARGE_ANSWERS = {
  ...POLICY,
  routes: POLICY.routes.map((route) => ({ ...route, timeout: `${REQUEST_TIMEOUT_MS}ms` })),
};

interface SlowRead {
  /** Whether the head of the answer was received. */
  readonly hasBegun: () => boolean;
  readonly finished: Promise<{ readonly bytes: number; readonly isComplete: boolean }>;
}

async function readAtRate(answer: IncomingMessage): Promise<number> {
  let bytes = 0;
  const startedAt = performance.now();
  answer.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    const dueMs = (bytes / READ_BYTES_PER_S) * 1000 - (performance.now() - startedAt);
    if (dueMs < READ_INTERVAL_MS) return;
    answer.pause();
    setTimeout(() => answer.resume(), dueMs);
  });
  await new Promise<void>((resolve) => {
    answer.once('close', resolve);
  });
  return bytes;
}

/** Sends a request and reads its answer slowly. */
function readSlowly({ ip, settings }: FleetHost, id: string): SlowRead {
  let hasBegun = false;
  const finished = new Promise<{ bytes: number; isComplete: boolean }>((resolve, reject) => {
    const request = get(
      {
        host: ip,
        port: settings.callerAddress.port,
        path: '/look/1',
        agent: false,
        headers: {
          host: HOST,
          'attempt-id': id,
          'timeout-ms': String(REQUEST_TIMEOUT_MS),
          authorization: `Bearer ${KEY}`,
        },
      },
      (answer) => {
        hasBegun = true;
        answer.on('error', () => {});
        void readAtRate(answer).then((bytes) => resolve({ bytes, isComplete: answer.complete }));
      },
    );
    request.on('error', reject);
  });
  return { hasBegun: () => hasBegun, finished };
}

test('a stopping node delivers the answers that its callers still read', async (t) => {
  // Guards against a planned stop that cuts an answer because its caller reads slowly.
  const fleet = await startFleet(t, {
    hosts: [{ service: 'stock', zone: 'a' }],
    policy: POLICY_OF_LARGE_ANSWERS,
    stopDeadlineMs: STOP_DEADLINE_MS,
  });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  host.backend.handleRaw = ({ id }, socket) => {
    socket.write(
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Signature: s\r\nContent-Length: ${ANSWER_BYTES}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(ANSWER_BYTES));
    return true;
  };
  const reads = ['s1', 's2'].map((id) => readSlowly(host, id));
  await waitFor('the heads of the answers', () => reads.every(({ hasBegun }) => hasBegun()));
  await sleep(100);
  const stopped = host.node.stop();
  const results = await Promise.all(reads.map(({ finished }) => finished));
  assert.deepEqual(
    results,
    reads.map(() => ({ bytes: ANSWER_BYTES, isComplete: true })),
  );
  assert.equal(await stopped, true);
});
