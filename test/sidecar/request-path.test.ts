import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST, KEY, openFleet, until } from './fleet.js';

const ONE_HOST = [{ service: 'stock', zone: 'a' }] as const;
const TWO_HOSTS = [
  { service: 'stock', zone: 'a' },
  { service: 'stock', zone: 'b' },
] as const;

test('a request reaches a backend server of its service and its answer comes back whole', async (t) => {
  // Guards against a path that loses method, body or identity of a request.
  const fleet = await openFleet(t, { hosts: [{ service: 'desk', zone: 'a' }, ...ONE_HOST] });
  const [desk, stock] = fleet.hosts;
  assert.ok(desk !== undefined && stock !== undefined);
  const answer = await fleet.call(desk, {
    id: 'a1',
    path: '/order/7?x=1',
    method: 'POST',
    body: 'four blocks',
    headers: { 'tenant-id': 'forged', 'caller-service': 'forged', 'x-other': 'kept' },
  });
  assert.equal(answer.status, 200);
  assert.equal(answer.headers['response-signature'], 'signed-a1');
  assert.equal(answer.body, '{"whole":true}');
  const [run] = stock.backend.runs;
  assert.equal(run?.path, '/order/7?x=1');
  assert.equal(run?.body, 'four blocks');
  assert.equal(run?.headers.host, HOST);
  assert.equal(run?.headers['tenant-id'], 'pulo');
  assert.equal(run?.headers['caller-service'], 'desk');
  assert.equal(run?.headers['target-instance'], stock.backend.instance);
  assert.equal(run?.headers['x-other'], 'kept');
  assert.equal(run?.headers.authorization, undefined);
  assert.ok(Number(run?.headers['timeout-ms']) <= 800);
});

test('requests that the policy does not allow are refused without reaching a backend server', async (t) => {
  // Guards against a request that runs without a key, or on a route that does not exist.
  const fleet = await openFleet(t, { hosts: ONE_HOST });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  const statusOf = async (call: Parameters<typeof fleet.call>[1]) =>
    (await fleet.call(host, call)).status;
  assert.equal(await statusOf({ id: 'b1', path: '/nothing/' }), 404);
  assert.equal(await statusOf({ id: 'b2', host: 'other.example' }), 404);
  assert.equal(await statusOf({ id: 'b3', key: null }), 401);
  assert.equal(await statusOf({ id: 'b4', key: `${KEY}x` }), 401);
  assert.equal(
    await statusOf({ id: 'b5', path: '/order/', method: 'POST', body: 'x'.repeat(1_000_001) }),
    413,
  );
  assert.equal(host.backend.runs.length, 0);
});

const WRONG_ANSWERS = [
  'reset',
  'truncated',
  'unframed',
  'unframed-cut',
  'unframed-reset',
  'foreign',
  'unsigned',
] as const;

for (const how of WRONG_ANSWERS) {
  test(`an answer that is ${how} is repeated for an idempotent request only`, async (t) => {
    // Guards against a wrong answer passed on as success, and against a second run of an order.
    const fleet = await openFleet(t, { hosts: TWO_HOSTS });
    const [host, other] = fleet.hosts;
    assert.ok(host !== undefined && other !== undefined);
    const failed = new Set<string>();
    const once = ({ id }: { readonly id: string }) => {
      if (failed.has(id)) return 'none';
      failed.add(id);
      return how;
    };
    host.backend.selectFault = once;
    other.backend.selectFault = once;
    const look = await fleet.call(host, { id: 'c1' });
    assert.equal(look.status, 200);
    assert.equal(look.body, '{"whole":true}');
    const order = await fleet.call(host, { id: 'c2', path: '/order/1', method: 'POST', body: 'x' });
    assert.equal(order.status, 502);
    const runs = [...host.backend.runs, ...other.backend.runs];
    assert.equal(runs.filter(({ id }) => id === 'c1').length, 2);
    assert.equal(runs.filter(({ id }) => id === 'c2').length, 1);
  });
}

test('a second answer on a connection never answers the next request', async (t) => {
  // Guards against an extra answer that is taken for the answer of the next request.
  const fleet = await openFleet(t, { hosts: ONE_HOST });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  host.backend.selectFault = ({ id }) => (id === 'e1' ? 'extra' : 'none');
  const first = await fleet.call(host, { id: 'e1' });
  const second = await fleet.call(host, { id: 'e2', path: '/order/1', method: 'POST', body: 'x' });
  assert.equal(first.headers['attempt-id'], 'e1');
  assert.notEqual(second.headers['attempt-id'], 'e1');
  assert.ok(second.status === 502 || second.headers['attempt-id'] === 'e2');
});

test('a request that is shed everywhere is refused as not run and says when to return', async (t) => {
  // Guards against a refusal without a time, after which all callers return at once.
  const fleet = await openFleet(t, { hosts: TWO_HOSTS });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  for (const { backend } of fleet.hosts) backend.selectFault = () => 'shed';
  const answer = await fleet.call(host, { id: 'f1', path: '/order/1', method: 'POST', body: 'x' });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal(fleet.hosts.flatMap(({ backend }) => backend.runs).length, 0);
});

test('a silent run ends with the final answer at the timeout of its route', async (t) => {
  // Guards against a caller that is held past the time that the operators allow.
  const fleet = await openFleet(t, { hosts: ONE_HOST });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  host.backend.selectFault = () => 'silent';
  const startedAt = performance.now();
  const answer = await fleet.call(host, { id: 'g1', path: '/order/1', method: 'POST', body: 'x' });
  const tookMs = performance.now() - startedAt;
  assert.equal(answer.status, 504);
  assert.ok(tookMs >= 780 && tookMs < 1300, `took ${tookMs} ms`);
});

test('a caller that leaves ends an idempotent run at its backend server', async (t) => {
  // Guards against work that goes on for nobody.
  const fleet = await openFleet(t, { hosts: [{ service: 'desk', zone: 'a' }, ...ONE_HOST] });
  const [desk, stock] = fleet.hosts;
  assert.ok(desk !== undefined && stock !== undefined);
  stock.backend.workMs = 1500;
  const controller = new AbortController();
  const call = fleet.call(desk, { id: 'h1', signal: controller.signal }).catch(() => null);
  await until('the run', () => stock.backend.runs.length === 1);
  controller.abort();
  await call;
  await until('the end of the run', () => stock.backend.abandonedIds.includes('h1'));
});

test('at-most-once requests are not sent twice on connections that the server forgets', async (t) => {
  // Guards against every order after a pause being lost on a connection that looks open.
  const fleet = await openFleet(t, { hosts: ONE_HOST });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  host.backend.idleResetAfterMs = 150;
  const order = async (id: string): Promise<number> => {
    const answer = await fleet.call(host, { id, path: '/order/1', method: 'POST', body: 'x' });
    return answer.status;
  };
  assert.equal(await order('i1'), 200);
  await sleep(300);
  assert.equal(await order('i2'), 502);
  assert.equal(await order('i3'), 200);
  await sleep(300);
  assert.equal(await order('i4'), 200);
});
