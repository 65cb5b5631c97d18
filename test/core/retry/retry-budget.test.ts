import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  acquireRetry,
  emptyRetryBudget,
  recordRequest,
} from '../../../src/core/retry/retry-budget.js';

const BOUND = { ratio: 0.2, slack: 49, windowMs: 10_000 };
const NODES = 17;

test('the retries of a node stay below its share of the bound in every window', () => {
  // Guards against retries that increase an overload when all requests fail.
  let budget = emptyRetryBudget;
  const requestsAt: number[] = [];
  const retriesAt: number[] = [];
  for (let now = 0; now < 30_000; now += 20) {
    budget = recordRequest(budget, BOUND, now);
    requestsAt.push(now);
    const grant = acquireRetry(budget, BOUND, NODES, now);
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
