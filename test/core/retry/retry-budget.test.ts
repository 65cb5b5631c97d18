import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  acquireRetry,
  emptyRetryBudget,
  recordRequest,
} from '../../../src/core/retry/retry-budget.js';
import { createRandom } from '../../../standin/process.js';

const BOUND = { ratio: 0.2, slack: 49, windowMs: 10_000 };
const NODES = 17;

test('many nodes with few requests each use the bound that they share', () => {
  // Guards against shares below one retry, which no node of a large fleet may ever use.
  const nodes = 195;
  const bound = { ratio: 0.2, slack: 213, windowMs: 10_000 };
  const random = createRandom(3);
  let granted = 0;
  for (let node = 0; node < nodes; node += 1) {
    const offset = random();
    let budget = emptyRetryBudget;
    for (let now = 0; now < bound.windowMs; now += 6000) {
      budget = recordRequest(budget, bound, now);
      const grant = acquireRetry(budget, bound, { nodes, offset }, now);
      budget = grant.budget;
      granted += grant.isGranted ? 1 : 0;
    }
  }
  const allowed = bound.ratio * nodes * 2 + bound.slack;
  assert.ok(granted <= allowed, `${granted} of ${allowed}`);
  // 0.4 of the bound is used by direct retries; the rest is left for the calls of repeated runs.
  assert.ok(granted >= 0.3 * allowed, `${granted} of ${allowed}`);
});

test('the retries of a node stay below its share of the bound in every window', () => {
  // Guards against retries that increase an overload when all requests fail.
  let budget = emptyRetryBudget;
  const requestsAt: number[] = [];
  const retriesAt: number[] = [];
  for (let now = 0; now < 30_000; now += 20) {
    budget = recordRequest(budget, BOUND, now);
    requestsAt.push(now);
    const grant = acquireRetry(budget, BOUND, { nodes: NODES, offset: 0.99 }, now);
    budget = grant.budget;
    if (grant.isGranted) retriesAt.push(now);
  }
  const count = (instants: readonly number[], from: number) =>
    instants.filter((at) => at >= from && at < from + BOUND.windowMs).length;
  requestsAt.forEach((from) => {
    const allowed = BOUND.ratio * count(requestsAt, from) + BOUND.slack / NODES;
    assert.ok(count(retriesAt, from) <= allowed + 1, `too many retries from ${from} ms on`);
  });
  assert.ok(retriesAt.length > 0);
});
