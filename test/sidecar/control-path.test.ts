import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KEY, openFleet, POLICY, until, type Fleet, type FleetHost } from './fleet.js';

const TWO_HOSTS = [
  { service: 'stock', zone: 'a' },
  { service: 'stock', zone: 'b' },
] as const;

function hasEvent({ log }: FleetHost, code: string): boolean {
  return log.some((entry) => entry.kind === 'event' && entry.code === code);
}

function versionOf({ log }: FleetHost): number {
  return log.reduce((latest, entry) => {
    const isPolicy = entry.kind === 'event' && entry.code === 'policyApplied';
    return isPolicy ? Number(entry.details['version']) : latest;
  }, 0);
}

function hostsOf(fleet: Fleet): readonly [FleetHost, FleetHost] {
  const [first, second] = fleet.hosts;
  assert.ok(first !== undefined && second !== undefined);
  return [first, second];
}

test('a withdrawn key stops working on open connections', async (t) => {
  // Guards against a key that works for as long as its connection is open.
  const fleet = await openFleet(t, { hosts: TWO_HOSTS });
  const [host] = hostsOf(fleet);
  assert.equal((await fleet.call(host, { id: 'k1' })).status, 200);
  const [account] = POLICY.tenants;
  const tenants = [{ ...account, apiKeys: ['another'] }];
  fleet.store.put('op/config', { ...POLICY, version: 5, tenants });
  await until('the new policy', () => versionOf(host) === 5);
  assert.equal((await fleet.call(host, { id: 'k2' })).status, 401);
  assert.equal((await fleet.call(host, { id: 'k3', key: 'another' })).status, 200);
});

test('an older configuration never replaces a newer one', async (t) => {
  // Guards against a configuration that reverts.
  const fleet = await openFleet(t, { hosts: TWO_HOSTS });
  const [host] = hostsOf(fleet);
  fleet.store.put('op/config', { ...POLICY, version: 9 });
  await until('version 9', () => versionOf(host) === 9);
  fleet.store.put('op/config', { ...POLICY, version: 8, routes: [] });
  fleet.store.put('op/evacuate/none', {});
  await until('the evacuation', () => {
    const [last] = host.log.slice(-1);
    return last?.kind === 'event' && last.details['zonesOut'] === 'none';
  });
  assert.equal((await fleet.call(host, { id: 'v1' })).status, 200);
});

test('a zone that is taken out gets no request, and gets some again when it is back', async (t) => {
  // Guards against work that operators have asked to keep away from a zone.
  const fleet = await openFleet(t, { hosts: TWO_HOSTS });
  const [host, other] = hostsOf(fleet);
  fleet.store.put('op/evacuate/a', {});
  await until('the closed gate', () => hasEvent(host, 'accessClosed') && !host.node.isServing);
  const before = host.backend.runs.length;
  for (let at = 0; at < 10; at += 1) {
    assert.equal((await fleet.call(host, { id: `z${at}` })).status, 200);
  }
  assert.equal(host.backend.runs.length, before);
  assert.equal(other.backend.runs.length, 10);
  const checks = host.backend.healthChecks;
  fleet.store.remove('op/evacuate/a');
  await until('the open gate', () => host.node.isServing);
  // It may have become cold meanwhile, so its health is asked before the first request.
  assert.ok(host.backend.healthChecks > checks);
});

test('a backend server that leaves gets no request from any node', async (t) => {
  // Guards against requests that a leaving backend server cannot finish.
  const fleet = await openFleet(t, { hosts: TWO_HOSTS });
  const [host, other] = hostsOf(fleet);
  fleet.register(host, { status: { state: 'draining', sequence: 2, warmupLeft: '0ms' } });
  await until('the closed gates', () => !host.node.isServing);
  await fleet.call(other, { id: 'l0' });
  const before = host.backend.runs.length;
  for (const node of [host, other]) {
    assert.equal((await fleet.call(node, { id: `l${node.ip}` })).status, 200);
  }
  assert.equal(host.backend.runs.length, before);
});

for (const mood of [
  { kind: 'refusing', status: 503 },
  { kind: 'refusing', status: 429 },
  { kind: 'losing' },
] as const) {
  const name = mood.kind === 'losing' ? 'loses answers' : `answers ${mood.status}`;
  test(`a store that ${name} stops nothing, and is read again afterwards`, async (t) => {
    // Guards against an outage of the store that becomes an outage of everything.
    const fleet = await openFleet(t, { hosts: TWO_HOSTS });
    const [host] = hostsOf(fleet);
    fleet.store.mode = mood;
    fleet.store.closeWatches();
    await until('the loss', () => hasEvent(host, 'storeLost'));
    assert.equal((await fleet.call(host, { id: 's1' })).status, 200);
    fleet.store.mode = { kind: 'well' };
    fleet.store.put('op/config', { ...POLICY, version: 7 });
    await until('the new policy', () => versionOf(host) === 7);
    assert.ok(hasEvent(host, 'storeRegained'));
  });
}

test('a history that the store dropped is followed by a fresh listing', async (t) => {
  // Guards against changes that are missed for ever.
  const fleet = await openFleet(t, { hosts: TWO_HOSTS });
  const [host] = hostsOf(fleet);
  fleet.store.pageSize = 1;
  fleet.store.mode = { kind: 'refusing', status: 503 };
  fleet.store.closeWatches();
  await until('the loss', () => hasEvent(host, 'storeLost'));
  fleet.store.put('op/config', { ...POLICY, version: 3 });
  fleet.store.compact();
  fleet.store.mode = { kind: 'well' };
  await until('the new policy', () => versionOf(host) === 3);
});

test('an entry that cannot be read names no backend server and harms no other', async (t) => {
  // Guards against one broken writer that takes the directory with it.
  const fleet = await openFleet(t, { hosts: TWO_HOSTS });
  const [host] = hostsOf(fleet);
  fleet.store.put('servers/i-broken', '{"address":4');
  await until('the line', () => hasEvent(host, 'publicationUnreadable'));
  assert.equal((await fleet.call(host, { id: 'r1' })).status, 200);
});

test('a backend server that is replaced at its address gets no request for the old one', async (t) => {
  // Guards against requests that reach another service through an address that is used again.
  const fleet = await openFleet(t, { hosts: TWO_HOSTS });
  const [host, other] = hostsOf(fleet);
  host.backend.instance = 'i-new';
  for (let at = 0; at < 5; at += 1) {
    assert.equal((await fleet.call(host, { id: `n${at}` })).status, 200);
  }
  assert.equal(host.backend.runs.length, 0);
  assert.equal(other.backend.runs.length, 5);
  fleet.register(host, { born: 1_800_000_000_000 });
  await until('the new entry', () => host.node.knownBackendServers === 3 && host.node.isServing);
  for (let at = 0; at < 50 && host.backend.runs.length === 0; at += 1) {
    assert.equal((await fleet.call(host, { id: `m${at}` })).status, 200);
  }
  assert.ok(host.backend.runs.length > 0);
});

test('a stopping node answers what it has and takes no work that it could not finish', async (t) => {
  // Guards against requests that are cut off by a planned stop.
  const fleet = await openFleet(t, { hosts: TWO_HOSTS });
  const [host, other] = hostsOf(fleet);
  host.backend.workMs = 700;
  const running = fleet.call(host, {
    id: 'p1',
    path: '/order/1',
    method: 'POST',
    body: 'x',
    key: KEY,
  });
  await until('the run', () => host.backend.runs.length + other.backend.runs.length === 1);
  const stopped = host.node.stop();
  assert.equal(host.node.isReady, false);
  const late = await fleet.call(host, { id: 'p2' });
  assert.equal(late.status, 200);
  assert.equal(late.headers['connection'], 'close');
  assert.equal((await running).status, 200);
  assert.equal(await stopped, true);
});
