import assert from 'node:assert/strict';
import { test } from 'node:test';
import { canServeUntil } from '../../src/sidecar/graceful-stop.js';
import { POLICY, startFleet, waitFor, type FleetOptions } from './fleet.js';

const STOP = { startedAt: 1000, deadlineMs: 6000 } as const;

test('a request late in a stop is taken only if its deadline lies before the exit', () => {
  // Guards against taking work that the exit breaks off, and against refusing what can be finished.
  assert.ok(canServeUntil(null, 100_000, 1000));
  assert.ok(canServeUntil(STOP, 9000, 3500));
  assert.ok(canServeUntil(STOP, 6500, 5000));
  assert.ok(!canServeUntil(STOP, 6600, 5000));
  assert.ok(!canServeUntil(STOP, 9000, 5000));
});

/** Requests may take longer than the rest of a stop. */
const SLOW_POLICY = {
  ...POLICY,
  routes: POLICY.routes.map((route) => ({ ...route, timeout: '10s' })),
};

const HOSTS: Readonly<Record<string, FleetOptions['hosts']>> = {
  'at its own gate': [{ service: 'stock', zone: 'a' }],
  'at the gate of another node': [
    { service: 'desk', zone: 'a' },
    { service: 'stock', zone: 'a' },
  ],
};

for (const [where, hosts] of Object.entries(HOSTS)) {
  test(`a request that still runs ${where} when a stopping node exits is answered as a failure`, async (t) => {
    // Guards against connections that are closed without an answer, and against a false "not run".
    const fleet = await startFleet(t, { hosts, policy: SLOW_POLICY });
    const [entry] = fleet.hosts;
    const { backend } = fleet.hosts.at(-1) ?? assert.fail('no host');
    assert.ok(entry !== undefined);
    backend.workMs = 8000;
    const stopped = entry.node.stop();
    const answers = ['/look/1', '/order/1'].map((path, at) =>
      fleet.call(entry, { id: `s${at}`, path, timeoutMs: 9000 }),
    );
    await waitFor('the runs', () => backend.runs.length === answers.length);
    assert.equal(await stopped, false);
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    assert.deepEqual(statuses, [502, 502]);
    assert.equal(backend.runs.length, answers.length);
  });
}
