import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startFleet, type FleetCall } from './fleet.js';

const SLOTS = 6;
const ROUTE_TIMEOUT_MS = 2000;
const ANSWER_GRACE_MS = 500;

const HOSTS = [
  { service: 'desk', zone: 'a' },
  { service: 'stock', zone: 'a' },
];

test('a server that never answers what it cannot run gets no more than it can run', async (t) => {
  // Guards against callers that wait in vain while a server is full and says nothing.
  const fleet = await startFleet(t, { hosts: HOSTS, slots: SLOTS });
  const [desk, stock] = fleet.hosts;
  assert.ok(desk !== undefined && stock !== undefined);
  stock.backend.capacity = SLOTS;
  stock.backend.workMs = 60;
  const startedAt = performance.now();
  const answers = await Promise.all(
    Array.from({ length: 120 }, (_, at) => fleet.call(desk, { id: `f${at}`, path: '/look/1' })),
  );
  assert.deepEqual(stock.backend.unansweredIds, []);
  assert.ok(performance.now() - startedAt <= ROUTE_TIMEOUT_MS + ANSWER_GRACE_MS);
  const statuses = new Set(answers.map(({ status }) => status));
  assert.ok([...statuses].every((status) => status === 200 || status === 503));
  assert.ok(statuses.has(200));
});

test('a connection on which a server fell silent is given up, and others go on', async (t) => {
  // Guards against a slot and a connection that stay taken after one request without an answer.
  const fleet = await startFleet(t, { hosts: HOSTS, slots: SLOTS });
  const [desk, stock] = fleet.hosts;
  assert.ok(desk !== undefined && stock !== undefined);
  stock.backend.capacity = 0;
  const silent = await fleet.call(desk, { id: 's1', path: '/order/1', method: 'POST', body: 'x' });
  assert.equal(silent.status, 504);
  stock.backend.capacity = null;
  const served = await Promise.all(
    Array.from({ length: SLOTS }, (_, at) => fleet.call(desk, { id: `g${at}`, path: '/look/1' })),
  );
  assert.deepEqual(
    served.map(({ status }) => status),
    served.map(() => 200),
  );
  assert.deepEqual(stock.backend.unansweredIds, ['s1']);
});

const SILENT_CALLS: Readonly<Record<string, Omit<FleetCall, 'id'>>> = {
  'at-most-once': { path: '/order/1', method: 'POST', body: 'x' },
  idempotent: { timeoutMs: 600 },
};

for (const [kind, silentCall] of Object.entries(SILENT_CALLS)) {
  test(`one ${kind} request without an answer closes the connections that fell silent with it`, async (t) => {
    // Guards against a request lost on each of the pooled connections, one after the other.
    const fleet = await startFleet(t, { hosts: HOSTS, slots: SLOTS });
    const [desk, stock] = fleet.hosts;
    assert.ok(desk !== undefined && stock !== undefined);
    stock.backend.workMs = 60;
    const callAll = async (name: string): Promise<readonly number[]> => {
      const calls = Array.from({ length: SLOTS }, (_, at) =>
        fleet.call(desk, { id: `${name}${at}` }),
      );
      return (await Promise.all(calls)).map(({ status }) => status);
    };
    await callAll('h');
    await callAll('i');
    stock.backend.silenceConnections();
    const silent = await fleet.call(desk, { id: 'j', ...silentCall });
    assert.equal(silent.status, 504);
    const statuses = await callAll('k');
    assert.deepEqual(
      statuses,
      statuses.map(() => 200),
    );
    assert.deepEqual(stock.backend.unansweredIds, ['j']);
  });
}
