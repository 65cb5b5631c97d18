import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Outcome } from '../../../src/core/model/call.js';
import {
  decideOrders,
  initialOrderLedger,
  ORDER_LIFETIME_MS,
  type OrderLedger,
} from '../../../src/core/order/order-ledger.js';
import type { OrderEffect, OrderMessage } from '../../../src/core/order/order-message.js';

type Decide = typeof decideOrders;

const answered = (size: number): Outcome => ({
  kind: 'answered',
  status: 201,
  headers: [['x-order', '7']],
  body: new Uint8Array(size),
});
const refused: Outcome = { kind: 'refused', code: 'overloaded', retryAfterMs: 10 };
const failed: Outcome = { kind: 'failed', code: 'linkLost' };

/** Feeds messages to a ledger and returns the effects of each. */
function replay(messages: readonly OrderMessage[], ledger: OrderLedger = initialOrderLedger()) {
  let state = ledger;
  return messages.map((message, index) => {
    const { state: next, effects } = decideOrders(state, message, index);
    state = next;
    return effects;
  });
}

const begin = (orderId: string, requestId: string, fingerprint = 'f'): OrderMessage => ({
  kind: 'begin',
  orderId,
  requestId,
  fingerprint,
  ageMs: 0,
});
const settled = (orderId: string, requestId: string, outcome: Outcome): OrderMessage => ({
  kind: 'settled',
  orderId,
  requestId,
  outcome,
});

test('a repeated request waits for the running order and gets its answer', () => {
  // Guards against a second run while the first is in progress.
  const outcome = answered(3);
  const steps = replay([
    begin('o', 'a'),
    begin('o', 'b'),
    settled('o', 'a', outcome),
    begin('o', 'c'),
  ]);
  assert.deepEqual(steps, [
    [{ kind: 'run', orderId: 'o', requestId: 'a' }],
    [],
    [
      { kind: 'answer', requestId: 'a', outcome },
      { kind: 'answer', requestId: 'b', outcome },
    ],
    [{ kind: 'answer', requestId: 'c', outcome }],
  ]);
});

test('a failed order is not run again, and the late end of an earlier run changes nothing', () => {
  // Guards against a second run after a lost link, and against a late refusal of an earlier run
  // that marks the present run as not run.
  const steps = replay([
    begin('o', 'a'),
    settled('o', 'a', refused),
    begin('o', 'b'),
    settled('o', 'a', refused),
    settled('o', 'b', failed),
    begin('o', 'c'),
  ]);
  assert.deepEqual(steps[2], [{ kind: 'run', orderId: 'o', requestId: 'b' }]);
  assert.deepEqual(steps[3], []);
  assert.deepEqual(steps[5], [{ kind: 'answer', requestId: 'c', outcome: failed }]);
});

test('an answer too large to keep is not run again and keeps status and headers', () => {
  // Guards against a ledger that removes an order because of the size of its answer.
  const steps = replay([begin('o', 'a'), settled('o', 'a', answered(65_537)), begin('o', 'b')]);
  const kept = { status: 201, headers: [['x-order', '7']] };
  assert.deepEqual(steps[2], [
    { kind: 'reject', requestId: 'b', code: 'orderAnswerDropped', kept },
  ]);
});

test('a full ledger rejects new orders and evicts only orders that did not run', () => {
  // Guards the bound on memory, and against the eviction of an order that ran.
  const steps = replay(
    [
      begin('o1', 'a'),
      begin('o2', 'b'),
      begin('o3', 'c'),
      settled('o1', 'a', refused),
      begin('o3', 'd'),
      begin('o2', 'e', 'other'),
    ],
    initialOrderLedger({ maxRecords: 2 }),
  );
  assert.deepEqual(steps[2], [{ kind: 'reject', requestId: 'c', code: 'ordersFull' }]);
  assert.deepEqual(steps[4], [{ kind: 'run', orderId: 'o3', requestId: 'd' }]);
  assert.deepEqual(steps[5], [{ kind: 'reject', requestId: 'e', code: 'orderMismatch' }]);
});

const action = fc.record({
  kind: fc.constantFrom('send', 'send', 'send', 'end', 'end', 'restart', 'wait', 'abandon'),
  order: fc.nat(5),
  pick: fc.nat(1000),
  outcome: fc.constantFrom(answered(1), answered(70_000), refused, failed),
  ms: fc.integer({ min: 1, max: ORDER_LIFETIME_MS / 2 }),
});

interface Running {
  readonly orderId: string;
  readonly requestId: string;
}

/** Counts the runs of every order that reached a backend server, and collects violations. */
function runOrders(
  actions: readonly (typeof action extends fc.Arbitrary<infer T> ? T : never)[],
  decide: Decide,
) {
  const runs = new Map<string, number>();
  const violations: string[] = [];
  let running: Running[] = [];
  let ledger = initialOrderLedger({ maxRecords: 4 });
  let incarnation = 0;
  let now = 0;
  const deliver = (message: OrderMessage) => {
    const { state, effects } = decide(ledger, message, now);
    ledger = state;
    effects.forEach((effect: OrderEffect) => {
      if (effect.kind === 'run') {
        running = [...running, { orderId: effect.orderId, requestId: effect.requestId }];
      }
      if (effect.kind === 'violation') violations.push(effect.detail);
    });
  };
  actions.forEach(({ kind, order, pick: choice, outcome, ms }, serial) => {
    // Identifiers of another incarnation are refused before they reach the ledger.
    const orderId = `${order % 3 === 0 ? 0 : incarnation}-${order}`;
    if (kind === 'send' && orderId.startsWith(`${incarnation}-`)) {
      deliver({
        kind: 'begin',
        orderId,
        requestId: `r${serial}`,
        fingerprint: orderId,
        ageMs: now,
      });
    } else if (kind === 'end') {
      const ended = running[choice % Math.max(1, running.length)];
      if (ended === undefined) return;
      running = running.filter((each) => each !== ended);
      if (outcome.kind !== 'refused') runs.set(ended.orderId, (runs.get(ended.orderId) ?? 0) + 1);
      deliver({ kind: 'settled', ...ended, outcome });
      // A repeated report of the end must have no effect.
      deliver({ kind: 'settled', ...ended, outcome: refused });
    } else if (kind === 'restart') {
      incarnation += 1;
      now = 0;
      ledger = initialOrderLedger({ maxRecords: 4 });
    } else if (kind === 'wait') {
      now += ms;
      deliver({ kind: 'tick' });
    } else if (kind === 'abandon') {
      deliver({ kind: 'abandoned', orderId, requestId: `r${choice}` });
    }
  });
  running.forEach(({ orderId }) => runs.set(orderId, (runs.get(orderId) ?? 0) + 1));
  const repeatedOrders = [...runs].filter(([, count]) => count > 1).map(([orderId]) => orderId);
  return [...violations, ...repeatedOrders];
}

const orderProperty = (decide: Decide) =>
  fc.property(fc.array(action, { minLength: 20, maxLength: 80 }), (actions) => {
    assert.deepEqual(runOrders(actions, decide), []);
  });
const parameters = { seed: 20_261_204, numRuns: 500 };

test('no order runs twice under repeated requests, restarts of the home and failed runs', () => {
  // Guards at-most-once against any sequence of requests, run ends, restarts, waits and cancels.
  fc.assert(orderProperty(decideOrders), parameters);
});

test('the at-most-once check detects a ledger that loses records', () => {
  // Guards against a check that cannot fail: the ledger drops the records of answered orders.
  const lossyLedger: Decide = (state, message, now) => {
    const { state: next, effects } = decideOrders(state, message, now);
    const records = next.records.filter((record) => record.state.kind === 'running');
    return { state: { ...next, records }, effects };
  };
  const { failed: isFailed, errorInstance } = fc.check(orderProperty(lossyLedger), parameters);
  assert.equal(isFailed, true);
  assert.ok(errorInstance instanceof assert.AssertionError);
});
