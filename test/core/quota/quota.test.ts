import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { QuotaAccount } from '../../../src/core/policy/policy.js';
import {
  addReport,
  emptyAggregator,
  listOverRateTotals,
} from '../../../src/core/quota/aggregator.js';
import {
  admit,
  applyTotals,
  emptyQuotas,
  takeReport,
  type QuotaState,
} from '../../../src/core/quota/quota.js';
import {
  emptyLedger,
  isReportOverdue,
  recordAnswer,
  recordReport,
} from '../../../src/core/quota/report-ledger.js';
import { createRandom } from '../../../standin/process.js';

const NODES = 17;
const REPORT_MS = 250;
const WINDOW_MS = 5000;

function account(ratePerSecond: number, burst: number): QuotaAccount {
  return { name: 'pulo', keys: [], priority: 0, ratePerSecond, burst };
}

interface Simulation {
  readonly asked: number;
  /** Requests that one bucket shared by all nodes would have admitted. */
  readonly allowed: number;
  readonly admittedAt: readonly number[];
}

/** Simulates requests that arrive at random nodes, with usage reports to one aggregator. */
function simulate(
  limits: QuotaAccount,
  perSecond: number,
  lengthMs: number,
  isPartitioned = false,
): Simulation {
  const random = createRandom(3);
  const accounts = new Map([[limits.name, limits]]);
  const nodes: QuotaState[] = Array.from({ length: NODES }, () => emptyQuotas);
  let aggregate = emptyAggregator;
  const view = { nodes: NODES, isAggregatorReachable: !isPartitioned, isReportOverdue: false };
  const admittedAt: number[] = [];
  let asked = 0;
  let allowed = 0;
  let tokens = limits.burst;
  for (let now = 0; now < lengthMs; now += 1) {
    tokens = Math.min(limits.burst, tokens + limits.ratePerSecond / 1000);
    if (random() < perSecond / 1000) {
      const at = Math.floor(random() * NODES);
      const step = admit(nodes[at] ?? emptyQuotas, limits, view, now);
      nodes[at] = step.state;
      asked += 1;
      if (tokens >= 1) {
        tokens -= 1;
        allowed += 1;
      }
      if (step.isAdmitted) admittedAt.push(now);
    }
    const overRateTotals =
      !isPartitioned && now % REPORT_MS === 0
        ? listOverRateTotals(aggregate, accounts, 1, now)
        : [];
    for (const [at, before] of nodes.entries()) {
      const state =
        overRateTotals.length === 0
          ? before
          : applyTotals(before, overRateTotals, accounts, view, now);
      nodes[at] = state;
      if (isPartitioned || now % REPORT_MS !== (at * 13) % REPORT_MS) continue;
      const report = takeReport(state);
      const added = addReport(aggregate, String(at), report.usages, accounts, 1, now);
      aggregate = added.state;
      nodes[at] = applyTotals(report.state, added.totals, accounts, view, now);
    }
  }
  return { asked, allowed, admittedAt };
}

/** Largest number of admitted requests in any window of 5 s. */
function countWorstWindow({ admittedAt }: Simulation): number {
  return admittedAt.reduce((most, from) => {
    const within = admittedAt.filter((at) => at >= from && at < from + WINDOW_MS).length;
    return Math.max(most, within);
  }, 0);
}

function computeBound({ ratePerSecond, burst }: QuotaAccount): number {
  return ((ratePerSecond * WINDOW_MS) / 1000 + burst) * 1.25 + 20;
}

test('an account at seven times its rate stays below its bound in every window', () => {
  // Guards against each node admitting the rate of the whole account.
  for (const limits of [account(10, 10), account(50, 50), account(145, 145)]) {
    const played = simulate(limits, 7 * limits.ratePerSecond, 15_000);
    assert.ok(
      countWorstWindow(played) <= computeBound(limits),
      `${limits.ratePerSecond}/s: ${countWorstWindow(played)}`,
    );
    // Guards against keeping the bound by refusing requests within the rate.
    const seconds = 15;
    assert.ok(played.admittedAt.length >= 0.9 * limits.ratePerSecond * seconds);
  }
});

test('all nodes together stay below the bound without an aggregator', () => {
  // Guards against an account exceeding its rate during a network partition.
  for (const limits of [account(20, 20), account(145, 145)]) {
    const played = simulate(limits, 7 * limits.ratePerSecond, 10_000, true);
    assert.ok(
      countWorstWindow(played) <= computeBound(limits),
      `${limits.ratePerSecond}/s: ${countWorstWindow(played)}`,
    );
  }
});

test('at most 2% of the requests that one shared bucket would admit are refused', () => {
  // Guards against shares too small for demand that is spread unevenly over the nodes.
  for (const limits of [account(5, 5), account(20, 20), account(145, 145)]) {
    const { allowed, admittedAt } = simulate(limits, 0.6 * limits.ratePerSecond, 60_000);
    const refused = 1 - admittedAt.length / allowed;
    assert.ok(
      refused <= 0.02,
      `${limits.ratePerSecond}/s: ${(100 * refused).toFixed(1)}% wrongly refused`,
    );
  }
});

/** Time until the link to a host that lost power is detected as lost. */
const SILENCE_MS = 1400;

/** Simulates an aggregator that stops answering when the demand of an account rises. */
function simulateSilence(limits: QuotaAccount, times: number, silentAt: number): Simulation {
  const random = createRandom(5);
  const accounts = new Map([[limits.name, limits]]);
  const nodes = Array.from({ length: NODES }, () => ({ quotas: emptyQuotas, ledger: emptyLedger }));
  const aggregates = new Map([
    ['first', emptyAggregator],
    ['second', emptyAggregator],
  ]);
  const admittedAt: number[] = [];
  let asked = 0;
  for (let now = 0; now < silentAt + 6000; now += 1) {
    const address = now < silentAt + SILENCE_MS ? 'first' : 'second';
    const isSilent = address === 'first' && now >= silentAt;
    const perSecond = limits.ratePerSecond * (now < silentAt ? 0.75 : times);
    const viewOf = (ledger: typeof emptyLedger) => ({
      nodes: NODES,
      isAggregatorReachable: true,
      isReportOverdue: isReportOverdue(ledger, now),
    });
    if (random() < perSecond / 1000) {
      const node = nodes[Math.floor(random() * NODES)];
      if (node !== undefined) {
        const step = admit(node.quotas, limits, viewOf(node.ledger), now);
        node.quotas = step.state;
        asked += 1;
        if (step.isAdmitted) admittedAt.push(now);
      }
    }
    for (const [at, node] of nodes.entries()) {
      if (now % REPORT_MS !== (at * 13) % REPORT_MS) continue;
      const report = takeReport(node.quotas);
      const { ledger, usages } = recordReport(node.ledger, address, report.usages, now);
      node.quotas = report.state;
      node.ledger = ledger;
      if (isSilent || usages.length === 0) continue;
      const known = aggregates.get(address) ?? emptyAggregator;
      const added = addReport(known, String(at), usages, accounts, 1, now);
      aggregates.set(address, added.state);
      node.ledger = recordAnswer(ledger);
      node.quotas = applyTotals(node.quotas, added.totals, accounts, viewOf(node.ledger), now);
    }
  }
  return { asked, allowed: asked, admittedAt };
}

test('an account whose demand rises while the aggregator is silent stays below its bound', () => {
  // Guards against nodes that keep using the totals from before the rise, and against a new
  // aggregator that has no record of the requests admitted in the meantime.
  for (const limits of [account(50, 50), account(145, 145), account(195, 195)]) {
    for (const times of [3, 5]) {
      const played = simulateSilence(limits, times, 2000);
      assert.ok(
        countWorstWindow(played) <= computeBound(limits),
        `${limits.ratePerSecond}/s at ${times} times: ${countWorstWindow(played)} of ${computeBound(limits)}`,
      );
    }
  }
});

test('unanswered reports are sent again to a new aggregator only', () => {
  // Guards against losing usage together with an aggregator, and against a slow aggregator that
  // counts usage twice.
  const usage = { account: 'pulo', admitted: 3, demanded: 4 };
  const first = recordReport(emptyLedger, 'first', [usage], 0);
  const again = recordReport(first.ledger, 'first', [usage], 250);
  assert.deepEqual(again.usages, [usage]);
  assert.equal(isReportOverdue(again.ledger, 250), true);
  const moved = recordReport(again.ledger, 'second', [], 500);
  assert.deepEqual(moved.usages, [{ account: 'pulo', admitted: 6, demanded: 8 }]);
  assert.equal(isReportOverdue(recordAnswer(moved.ledger), 900), false);
});

test('a new aggregator without usage records does not grant the burst again', () => {
  // Guards against an account gaining a burst with each restart of the aggregator.
  const limits = account(100, 100);
  const accounts = new Map([[limits.name, limits]]);
  const view = { nodes: NODES, isAggregatorReachable: true, isReportOverdue: false };
  const used = { account: limits.name, tokens: -10, demandPerSecond: 300, share: 0.5 };
  const fresh = { account: limits.name, tokens: 100, demandPerSecond: 10, share: 0.5 };
  const told = applyTotals(emptyQuotas, [used], accounts, view, 0);
  let state = applyTotals(told, [fresh], accounts, view, 250);
  let admitted = 0;
  for (let request = 0; request < 100; request += 1) {
    const step = admit(state, limits, view, 250);
    state = step.state;
    admitted += step.isAdmitted ? 1 : 0;
  }
  // The rate refills 25 tokens in 250 ms, from -10 to 15.
  assert.ok(admitted <= 15, `${admitted} requests`);
});

[8, 72, 140, 1000].forEach((count) => {
  // Guards against a price of a request that grows with the accounts, by copies of their quotas.
  test(`a request and a report pass over none of ${count} accounts`, (context) => {
    const names = Array.from({ length: count }, (_, index) => `account-${index}`);
    const all = new Map(names.map((name) => [name, { ...account(10, 20), name }] as const));
    const view = { nodes: NODES, isAggregatorReachable: true, isReportOverdue: false };
    const usages = names.map((name) => ({ account: name, admitted: 1, demanded: 1 }));
    const total = addReport(emptyAggregator, 'node-1', usages, all, 1, 0);
    const quotas = applyTotals(emptyQuotas, total.totals, all, view, 0);
    const passes = context.mock.method(Map.prototype, Symbol.iterator);
    const { isAdmitted, state } = admit(
      quotas,
      { ...account(10, 20), name: 'account-0' },
      view,
      10,
    );
    addReport(total.state, 'node-2', usages.slice(0, 1), all, 1, 10);
    assert.equal(passes.mock.callCount(), 0);
    assert.ok(isAdmitted);
    assert.equal(state.size, count);
  });
});
