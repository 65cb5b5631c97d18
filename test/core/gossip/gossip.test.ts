import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decideGossip, type GossipState } from '../../../src/core/gossip/gossip.js';
import { withTopic } from '../../../src/core/gossip/gossip-state.js';
import { GossipDriver } from './gossip-driver.js';

const CONVERGENCE_LIMIT_MS = 3000;
const NODES = 6;

type Decide = typeof decideGossip;

/** Injected fault: the node discards its version before it handles another one. */
const applyAnyVersion: Decide = (options) => (state: GossipState, message, now) => {
  const isValue = message.kind === 'document-received' || message.kind === 'service-value';
  const forgotten = isValue ? withTopic(state, 'configuration', { current: null }) : state;
  return decideGossip(options)(forgotten, message, now);
};

const action = fc.oneof(
  fc.record({ kind: fc.constant('publish' as const) }),
  fc.record({ kind: fc.constant('stop' as const), node: fc.nat(NODES - 1) }),
  fc.record({ kind: fc.constant('start' as const), node: fc.nat(NODES - 1) }),
  fc.record({ kind: fc.constant('partition' as const), node: fc.nat(NODES - 1), side: fc.nat(2) }),
  fc.record({
    kind: fc.constant('service' as const),
    mode: fc.constantFrom('up' as const, 'down' as const, 'stale' as const),
  }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 10, max: 8000 }) }),
);

type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never;

function perform(driver: GossipDriver, step: Action): void {
  switch (step.kind) {
    case 'publish':
      driver.publish();
      driver.run(driver.now + 50);
      break;
    case 'stop':
      driver.stop(driver.names[step.node] ?? '');
      break;
    case 'start':
      if (!driver.isUp(driver.names[step.node] ?? '')) driver.start(driver.names[step.node] ?? '');
      break;
    case 'partition':
      driver.partition(driver.names[step.node] ?? '', step.side);
      break;
    case 'service':
      driver.setService(step.mode);
      break;
    case 'wait':
      driver.run(driver.now + step.ms);
      break;
  }
}

/** Runs a script under message faults, removes all faults, and lists the violations after 3 s. */
function faultsAfter(script: readonly Action[], seed: number, decide: Decide): readonly string[] {
  const driver = new GossipDriver(NODES, 2, seed, decide);
  driver.network = { loss: 0.2, duplicates: 0.2, delayMinMs: 0, delayMaxMs: 400 };
  driver.publish();
  driver.names.forEach((name) => driver.start(name));
  script.forEach((step) => perform(driver, step));
  driver.network = { loss: 0, duplicates: 0, delayMinMs: 1, delayMaxMs: 3 };
  driver.service = 'up';
  driver.names.forEach((name) => {
    driver.partition(name, 0);
    if (!driver.isUp(name)) driver.start(name);
  });
  driver.run(driver.now + CONVERGENCE_LIMIT_MS);
  const late = driver.names
    .filter((name) => driver.version(name) !== driver.published)
    .map((name) => `${name} has ${driver.version(name)} instead of ${driver.published}`);
  return [...driver.faults, ...late];
}

test('nodes converge on the highest revision within 3 s after recovery and never revert', () => {
  // Guards against missing repair after message faults, restarts, partitions and a stale service.
  fc.assert(
    fc.property(fc.array(action, { maxLength: 30 }), fc.nat(), (script, seed) => {
      assert.deepEqual(faultsAfter(script, seed, decideGossip), []);
    }),
    { seed: 20_261_204, numRuns: 150 },
  );
});

test('the convergence check fails when a node applies any version it receives', () => {
  // Guards against a convergence check that passes for a faulty node.
  const outcome = fc.check(
    fc.property(fc.array(action, { maxLength: 30 }), fc.nat(), (script, seed) => {
      assert.deepEqual(faultsAfter(script, seed, applyAnyVersion), []);
    }),
    { seed: 20_261_204, numRuns: 150 },
  );
  assert.equal(outcome.failed, true);
});

test('one change reaches 100 nodes within 3 s', (context) => {
  // Guards against gossip that delivers a change too late; the diagnostic reports its traffic.
  const driver = new GossipDriver(100, 4, 7);
  driver.publish();
  driver.names.forEach((name) => driver.start(name));
  driver.run(20_000);
  const quietFrom = { reads: driver.reads, watches: driver.watches };
  driver.run(30_000);
  const quiet = {
    reads: driver.reads - quietFrom.reads,
    watches: driver.watches - quietFrom.watches,
  };
  driver.sent.clear();
  const publishedAt = driver.now;
  const { reads, values } = driver;
  driver.publish();
  driver.run(publishedAt + CONVERGENCE_LIMIT_MS);
  const applied = driver.names.map((name) => driver.appliedAt.get(`${name} ${driver.published}`));
  const hops = applied.map((entry) => entry?.hops ?? Number.POSITIVE_INFINITY);
  const times = applied.map((entry) => (entry?.at ?? Number.POSITIVE_INFINITY) - publishedAt);
  const messages = [...driver.sent].filter(([key]) => !key.endsWith(' ping'));
  const kinds = new Map<string, number>();
  messages.forEach(([key, count]) => {
    const kind = key.split(' ')[1] ?? '';
    kinds.set(kind, (kinds.get(kind) ?? 0) + count);
  });
  context.diagnostic(
    `hops ${Math.max(...hops)}, last node after ${Math.max(...times).toFixed(1)} ms, messages per node ` +
      `${[...kinds].map(([kind, count]) => `${kind} ${count / 100}`).join(', ')}, ` +
      `values read at the service ${driver.values - values}, fallback reads ${driver.reads - reads}, in 10 quiet seconds ${quiet.reads} reads and ${quiet.watches} watches`,
  );
  assert.ok(Math.max(...times) <= CONVERGENCE_LIMIT_MS);
  assert.deepEqual(driver.faults, []);
});
