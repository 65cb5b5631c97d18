import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { startFrontEnd } from './front-end.js';

/** Time for which a caller waits for its answer. */
const PATIENCE_MS = 1000;

/** Processor time of a request, which the handler spends before it answers. */
const COST_MS = 10;

/** Requests a second: three times what the costs allow. */
const RATE_PER_S = 300;

const LENGTH_MS = 6000;

/** Requests that are sent in this last part of the time show the state that lasts. */
const JUDGED_MS = 3000;

/**
 * Callers in a thread of their own, so that they keep their time while the listener is busy. Each
 * request has a connection of its own, and its caller leaves when it has waited for too long.
 */
const CALLERS = `
const { request } = require('node:http');
const { parentPort, workerData } = require('node:worker_threads');
const { port, ratePerS, lengthMs, judgedMs, patienceMs } = workerData;
const startedAt = performance.now();
let sent = 0;
let open = 0;
let isOver = false;
const result = { judged: 0, served: 0 };
function end() {
  open -= 1;
  if (isOver && open === 0) parentPort.postMessage(result);
}
function send() {
  const isJudged = performance.now() - startedAt >= lengthMs - judgedMs;
  if (isJudged) result.judged += 1;
  open += 1;
  const call = request({ host: '127.0.0.1', port, path: '/' + sent, agent: false });
  const timer = setTimeout(() => call.destroy(), patienceMs);
  call.on('response', (response) => {
    if (isJudged && response.statusCode === 200) result.served += 1;
    response.resume();
  });
  call.on('error', () => {});
  call.on('close', () => {
    clearTimeout(timer);
    end();
  });
  call.end();
  sent += 1;
}
const ticker = setInterval(() => {
  const elapsed = performance.now() - startedAt;
  while (sent < (Math.min(elapsed, lengthMs) * ratePerS) / 1000) send();
  if (elapsed < lengthMs) return;
  clearInterval(ticker);
  isOver = true;
}, 5);
`;

test('a node with three times the connections that it can serve answers callers that still wait', async (t) => {
  // Guards against a node that accepts the oldest connections only, whose callers have left.
  const startedAt = performance.now();
  let handled = 0;
  const frontEnd = await startFrontEnd(t, {
    onHandled: (path) => {
      if (performance.now() - startedAt >= LENGTH_MS - JUDGED_MS) handled += 1;
      const until = performance.now() + COST_MS;
      while (performance.now() < until);
      frontEnd.answer(path);
    },
  });
  const workerData = {
    port: frontEnd.port,
    ratePerS: RATE_PER_S,
    lengthMs: LENGTH_MS,
    judgedMs: JUDGED_MS,
    patienceMs: PATIENCE_MS,
  };
  const worker = new Worker(CALLERS, { eval: true, workerData });
  const [result] = (await once(worker, 'message')) as [{ judged: number; served: number }];
  await worker.terminate();
  // The share does not depend on the processor time that the machine gives to the test.
  assert.ok(
    result.served > 0 && result.served >= handled / 2,
    `${result.served} of ${handled} handled requests were answered in time`,
  );
});
