import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  acquireRetry,
  emptyRetryBudget,
  recordRequest,
} from '../../../src/core/retry/retry-budget.js';

const BOUND = { ratio: 0.2, slack: 49, windowMs: 10_000 };
const NODES = 17;

test('the repeats of a node stay below its share of the bound in every window', () => {
  // Guards against repeats that increase an overload when all requests fail.
  let budget = emptyRetryBudget;
  const requestsAt: number[] = [];
  const repeatsAt: number[] = [];
  for (let now = 0; now < 30_000; now += 20) {
    budget = recordRequest(budget, BOUND, now);
    requestsAt.push(now);
    const grant = acquireRetry(budget, BOUND, NODES, now);
    budget = grant.budget;
    if (grant.isGranted) repeatsAt.push(now);
  }
  const count = (instants: readonly number[], from: number) =>
    instants.filter((at) => at >= from && at < from + BOUND.windowMs).length;
  requestsAt.forEach((from) => {
    const allowed = BOUND.ratio * count(requestsAt, from) + BOUND.slack / NODES;
    assert.ok(count(repeatsAt, from) <= allowed + 1, `too many repeats from ${from} ms on`);
  });
  assert.ok(repeatsAt.length > 0);
});
