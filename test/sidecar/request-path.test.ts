import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST, KEY, startFleet, waitFor } from './fleet.js';

const ONE_HOST = [{ service: 'stock', zone: 'a' }] as const;
const TWO_HOSTS = [
  { service: 'stock', zone: 'a' },
  { service: 'stock', zone: 'b' },
] as const;

test('a request is forwarded to a backend server of its service and the response returned in full', async (t) => {
  // Guards against losing the method, the body or the identity of a request on its way.
  const fleet = await startFleet(t, { hosts: [{ service: 'desk', zone: 'a' }, ...ONE_HOST] });
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
  // Guards against running a request without a valid key, on an unknown route or with a large body.
  const fleet = await startFleet(t, { hosts: ONE_HOST });
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

const RESPONSE_FAULTS = [
  'reset',
  'truncated',
  'unframed',
  'unframed-cut',
  'unframed-reset',
  'foreign',
  'unsigned',
] as const;

for (const fault of RESPONSE_FAULTS) {
  test(`a response with the fault "${fault}" is retried for an idempotent request only`, async (t) => {
    // Guards against returning an invalid response as success, and against running an order twice.
    const fleet = await startFleet(t, { hosts: TWO_HOSTS });
    const [host, other] = fleet.hosts;
    assert.ok(host !== undefined && other !== undefined);
    const failed = new Set<string>();
    const failOnce = ({ id }: { readonly id: string }) => {
      if (failed.has(id)) return 'none';
      failed.add(id);
      return fault;
    };
    host.backend.selectFault = failOnce;
    other.backend.selectFault = failOnce;
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

test('a second response on a connection is not returned for the next request', async (t) => {
  // Guards against taking a surplus response for the response to the next request.
  const fleet = await startFleet(t, { hosts: ONE_HOST });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  host.backend.selectFault = ({ id }) => (id === 'e1' ? 'extra' : 'none');
  const first = await fleet.call(host, { id: 'e1' });
  const second = await fleet.call(host, { id: 'e2', path: '/order/1', method: 'POST', body: 'x' });
  assert.equal(first.headers['attempt-id'], 'e1');
  assert.notEqual(second.headers['attempt-id'], 'e1');
  assert.ok(second.status === 502 || second.headers['attempt-id'] === 'e2');
});

test('a request that all backend servers shed is refused as not run, with a Retry-After header', async (t) => {
  // Guards against a refusal without a retry delay, after which all callers retry at once.
  const fleet = await startFleet(t, { hosts: TWO_HOSTS });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  for (const { backend } of fleet.hosts) backend.selectFault = () => 'shed';
  const answer = await fleet.call(host, { id: 'f1', path: '/order/1', method: 'POST', body: 'x' });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal(fleet.hosts.flatMap(({ backend }) => backend.runs).length, 0);
});

test('a request without a response from its backend server ends at the timeout of its route', async (t) => {
  // Guards against keeping a caller waiting for longer than the policy allows.
  const fleet = await startFleet(t, { hosts: ONE_HOST });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  host.backend.selectFault = () => 'silent';
  const startedAt = performance.now();
  const answer = await fleet.call(host, { id: 'g1', path: '/order/1', method: 'POST', body: 'x' });
  const tookMs = performance.now() - startedAt;
  assert.equal(answer.status, 504);
  assert.ok(tookMs >= 780 && tookMs < 1300, `took ${tookMs} ms`);
});

test('a disconnect of the caller aborts an idempotent request at its backend server', async (t) => {
  // Guards against running a request whose response has no recipient any more.
  const fleet = await startFleet(t, { hosts: [{ service: 'desk', zone: 'a' }, ...ONE_HOST] });
  const [desk, stock] = fleet.hosts;
  assert.ok(desk !== undefined && stock !== undefined);
  stock.backend.workMs = 1500;
  const controller = new AbortController();
  const call = fleet.call(desk, { id: 'h1', signal: controller.signal }).catch(() => null);
  await waitFor('the run', () => stock.backend.runs.length === 1);
  controller.abort();
  await call;
  await waitFor('the end of the run', () => stock.backend.abandonedIds.includes('h1'));
});

test('only one at-most-once request fails when the backend server drops idle connections', async (t) => {
  // Guards against losing every order that follows an idle period on a half-open connection.
  const fleet = await startFleet(t, { hosts: ONE_HOST });
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

test('nodes follow the directory beside odd entries of another writer', async (t) => {
  // Guards against a node that ends, or stops to follow changes, because of one odd entry.
  const fleet = await startFleet(t, { hosts: [{ service: 'desk', zone: 'a' }, ...TWO_HOSTS] });
  const [desk, first, second] = fleet.hosts;
  assert.ok(desk !== undefined && first !== undefined && second !== undefined);
  const entry = (address: string) => ({
    address,
    born: 1,
    info: { service: 'stock', version: 'v1', zone: 'a', slots: 1000 },
    status: { state: 'ready', sequence: 1, warmupLeft: '0ms' },
  });
  ['127.0.0.1:99999', 'no address', '127.0.0.1', '999.1.1.1:80', '[::1:80', ':80'].forEach(
    (address, at) => fleet.store.put(`servers/odd-${at}`, entry(address)),
  );
  fleet.store.put('servers/odd-deep', `${'['.repeat(100_000)}${']'.repeat(100_000)}`);
  fleet.store.remove(`servers/${first.backend.instance}`);
  await waitFor('the removal', () => desk.node.backendServerCount === 2);
  const answers = await Promise.all(
    Array.from({ length: 20 }, (_, at) => fleet.call(desk, { id: `o${at}` })),
  );
  assert.deepEqual(new Set(answers.map(({ status }) => status)), new Set([200]));
  assert.equal(second.backend.runs.length, 20);
});

test('an earlier refusal that is sent again is not taken for the answer to the next request', async (t) => {
  // Guards against reporting an order as not run while the backend server runs it.
  const fleet = await startFleet(t, { hosts: ONE_HOST });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  host.backend.isRepeatingRefusals = true;
  host.backend.selectFault = ({ id }) => (id === 'q1' ? 'shed' : 'none');
  const order = async (id: string): Promise<number> => {
    const answer = await fleet.call(host, { id, path: '/order/1', method: 'POST', body: 'x' });
    return answer.status;
  };
  assert.equal(await order('q1'), 503);
  assert.equal(await order('q2'), 200);
  assert.deepEqual(
    host.backend.runs.map(({ id }) => id),
    ['q2'],
  );
});

test('a 503 that does not say that the request was not run is a failure', async (t) => {
  // Guards against passing on a status that promises the caller that its order has not run.
  const fleet = await startFleet(t, { hosts: TWO_HOSTS });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  for (const { backend } of fleet.hosts) backend.selectFault = () => 'busy';
  const answer = await fleet.call(host, { id: 'r1', path: '/order/1', method: 'POST', body: 'x' });
  assert.equal(answer.status, 502);
  assert.equal(fleet.hosts.flatMap(({ backend }) => backend.runs).length, 1);
});

test('a connection is not used again after the answer to another request', async (t) => {
  // Guards against a connection on which each answer belongs to the request before.
  const fleet = await startFleet(t, { hosts: ONE_HOST });
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  host.backend.selectFault = ({ id }) => (id === 's1' ? 'foreign' : 'none');
  await fleet.call(host, { id: 's1', path: '/order/1', method: 'POST', body: 'x' });
  await fleet.call(host, { id: 's2', path: '/order/1', method: 'POST', body: 'x' });
  const [first, second] = host.backend.runs;
  assert.notEqual(first?.senderPort, second?.senderPort);
});
