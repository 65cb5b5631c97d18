import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { POLICY, startFleet, waitFor, type FleetHost, type FleetOptions } from './fleet.js';

/** Time after a reset of its connections from which the platform holds a node to its bounds. */
const TOUCH_MS = 3000;

/** Limit of the platform for the time until a change is in force on every node. */
const MAX_PROPAGATION_MS = 2000;

/** Each round begins at another point of the read cycle of a node. */
const ROUNDS = 4;
const SETTLE_MS = 1150;

function appliedVersion({ log }: FleetHost): number {
  return log.reduce((latest, entry) => {
    const isPolicy = entry.kind === 'event' && entry.code === 'policyApplied';
    return isPolicy ? Number(entry.details['version']) : latest;
  }, 0);
}

function isFollower({ log }: FleetHost): boolean {
  const sources = log.filter((entry) => entry.kind === 'event' && entry.code === 'sourceChanged');
  const last = sources.at(-1);
  return last?.kind === 'event' && String(last.details['source']).startsWith('the reader');
}

/** Silences all connections to the store in several rounds, each followed by a change. */
async function measureDelays(
  context: TestContext,
  hosts: FleetOptions['hosts'],
): Promise<readonly number[]> {
  const fleet = await startFleet(context, { hosts });
  const delays: number[] = [];
  for (let round = 1; round <= ROUNDS; round += 1) {
    const version = POLICY.version + round;
    await sleep(SETTLE_MS);
    const silencedAt = performance.now();
    fleet.store.silenceConnections();
    // The earliest change that has to be in force once the nodes are held to their bounds.
    await sleep(TOUCH_MS - MAX_PROPAGATION_MS);
    fleet.store.put('op/config', { ...POLICY, version });
    await waitFor(`version ${version}`, () =>
      fleet.hosts.every((host) => appliedVersion(host) === version),
    );
    delays.push(Math.round(performance.now() - silencedAt));
  }
  context.diagnostic(`in force after ${delays.join(', ')} ms`);
  return delays;
}

test('nodes alone in their zones apply a change after their store connections fall silent', async (t) => {
  // Guards against a withdrawn key that works on as long as a node waits on a silent connection.
  const zones = ['a', 'b', 'c'].map((zone) => ({ service: 'stock', zone }));
  const delays = await measureDelays(t, zones);
  assert.ok(
    delays.every((delayMs) => delayMs <= TOUCH_MS),
    `${delays.join(', ')} ms`,
  );
});

test('nodes that share a reader apply a change after their store connections fall silent', async (t) => {
  // Guards against a reader that keeps old values in force while its store connection is silent.
  const zone = Array.from({ length: 5 }, () => ({ service: 'stock', zone: 'a' }));
  const delays = await measureDelays(t, zone);
  assert.ok(
    delays.every((delayMs) => delayMs <= TOUCH_MS),
    `${delays.join(', ')} ms`,
  );
});

test('a node that follows a reader keeps no connection to the store', async (t) => {
  // Guards against a follower that replaces its reader and first waits on a silent connection.
  const zone = Array.from({ length: 5 }, () => ({ service: 'stock', zone: 'a' }));
  const { hosts, store } = await startFleet(t, { hosts: zone });
  await waitFor('four followers', () => hosts.filter(isFollower).length === 4);
  // A follower closes its connection after its last call and the pause that follows it.
  await sleep(SETTLE_MS);
  assert.equal(store.connectionCount, 1);
});
