import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { openFleet, POLICY, until, type FleetHost } from './fleet.js';

const ZONE = Array.from({ length: 5 }, () => ({ service: 'stock', zone: 'a' }));

/** Longest time for a change to be in force on the users' platform. */
const IN_FORCE_MS = 2000;
const FEED_PATTERN = /^the reader/;

function lastSource({ log }: FleetHost): string {
  return log.reduce((last, entry) => {
    const isSource = entry.kind === 'event' && entry.code === 'sourceChanged';
    return isSource ? String(entry.details['source']) : last;
  }, 'the store');
}

function versionOf({ log }: FleetHost): number {
  return log.reduce((latest, entry) => {
    const isPolicy = entry.kind === 'event' && entry.code === 'policyApplied';
    return isPolicy ? Number(entry.details['version']) : latest;
  }, 0);
}

function followers(hosts: readonly FleetHost[]): readonly FleetHost[] {
  return hosts.filter((host) => FEED_PATTERN.test(lastSource(host)));
}

test('one node of a zone reads the store and the others get changes from it', async (t) => {
  // Guards against calls to the store that grow with the number of nodes of a zone.
  const { hosts, store } = await openFleet(t, { hosts: ZONE });
  await until('four followers', () => followers(hosts).length === 4);
  const before = store.callsByPath.get('/kv-watch') ?? 0;
  store.put('op/config', { ...POLICY, version: 4 });
  await until('the new policy', () => hosts.every((host) => versionOf(host) === 4));
  await sleep(1500);
  const calls = (store.callsByPath.get('/kv-watch') ?? 0) - before;
  // One node that feeds makes a call each 0.8 s, and the waits of this test take up to 2.5 s.
  assert.ok(calls <= 5, `${calls} calls`);
});

test('followers whose reader dies have a change in force in time', async (t) => {
  // Guards against a dead reader that keeps changes from its whole zone.
  const { hosts, store } = await openFleet(t, { hosts: ZONE });
  await until('four followers', () => followers(hosts).length === 4);
  const left = followers(hosts);
  const reader = hosts.find((host) => !left.includes(host));
  assert.ok(reader !== undefined);
  void reader.node.stop();
  store.put('op/config', { ...POLICY, version: 6 });
  const startedAt = performance.now();
  await until('the new policy', () => left.every((host) => versionOf(host) === 6));
  const tookMs = performance.now() - startedAt;
  assert.ok(tookMs < IN_FORCE_MS, `${tookMs} ms`);
  await until('three followers', () => followers(left).length === 3);
});

test('nodes read the store themselves while their reader cannot', async (t) => {
  // Guards against an outage that hides from followers that they know nothing new.
  const { hosts, store } = await openFleet(t, { hosts: ZONE });
  await until('four followers', () => followers(hosts).length === 4);
  store.mode = { kind: 'silent' };
  store.closeWatches();
  await until('no follower', () => followers(hosts).length === 0);
  store.mode = { kind: 'well' };
  store.put('op/config', { ...POLICY, version: 8 });
  await until('the new policy', () => hosts.every((host) => versionOf(host) === 8));
  await until('four followers', () => followers(hosts).length === 4);
});
