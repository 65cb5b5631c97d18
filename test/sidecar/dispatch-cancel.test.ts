import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { DispatchTask } from '../../src/sidecar/dispatch-task.js';
import { waitFor } from './fleet.js';
import { callOf, startGate } from './gate.js';

async function runToEnd(gate: DispatchTask, requestId: string): Promise<void> {
  await new Promise((resolve) => {
    gate.submit(callOf(requestId, 'idempotent'), resolve);
  });
}

for (const repeatability of ['idempotent', 'at-most-once'] as const) {
  test(`an ${repeatability} call cancelled while its connection opens is not sent`, async (t) => {
    // Guards against sending a request to the backend server after its caller has left.
    const { gate, backend } = await startGate(t);
    gate.cancel(gate.submit(callOf('a1', repeatability), () => {}));
    await sleep(100);
    assert.deepEqual(backend.runs, []);
    assert.equal(gate.pendingCalls, 0);
  });

  test(`an ${repeatability} call cancelled in the read that brought it is not sent`, async (t) => {
    // Guards against sending calls that waited unread in a paused node until their callers left.
    const { gate, backend } = await startGate(t);
    await runToEnd(gate, 'b1');
    gate.cancel(gate.submit(callOf('b2', repeatability), () => {}));
    await sleep(100);
    assert.deepEqual(
      backend.runs.map(({ id }) => id),
      ['b1'],
    );
    assert.equal(gate.pendingCalls, 0);
  });
}

test('a running at-most-once call is not aborted when its caller leaves', async (t) => {
  // Guards against breaking off an order at which the backend server is at work.
  const { gate, backend } = await startGate(t);
  backend.workMs = 50;
  const callId = gate.submit(callOf('c1', 'at-most-once'), () => {});
  await waitFor('the run', () => backend.runs.length === 1);
  gate.cancel(callId);
  await waitFor('the end of the run', () => gate.pendingCalls === 0);
  assert.deepEqual(backend.abandonedIds, []);
});

test('a call held after a pause is not sent when it is cancelled meanwhile', async (t) => {
  // Guards against starting calls whose cancellations are read after them.
  const { gate, backend } = await startGate(t);
  await runToEnd(gate, 'd1');
  gate.hold();
  const callId = gate.submit(callOf('d2', 'at-most-once'), () => {});
  gate.submit(callOf('d3', 'at-most-once'), () => {});
  await sleep(30);
  assert.equal(backend.runs.length, 1);
  gate.cancel(callId);
  gate.release();
  await waitFor('the run of the other call', () => backend.runs.length === 2);
  assert.deepEqual(
    backend.runs.map(({ id }) => id),
    ['d1', 'd3'],
  );
});
