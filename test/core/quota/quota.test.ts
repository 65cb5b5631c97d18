import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { QuotaAccount } from '../../../src/core/policy/policy.js';
import { addReport, emptyAggregator, overdrawn } from '../../../src/core/quota/aggregator.js';
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
  noteAnswer,
  noteReport,
} from '../../../src/core/quota/report-ledger.js';
import { createRandom } from '../../../standin/process.js';

const NODES = 17;
const REPORT_MS = 250;
const WINDOW_MS = 5000;

function account(ratePerSecond: number, burst: number): QuotaAccount {
  return { name: 'pulo', keys: [], priority: 0, ratePerSecond, burst };
}

interface Play {
  readonly asked: number;
  /** Requests that one bucket for the whole fleet would have admitted. */
  readonly allowed: number;
  readonly admittedAt: readonly number[];
}

/** Plays a demand that comes at random to the nodes, with reports to one aggregator. */
function play(limits: QuotaAccount, perSecond: number, lengthMs: number, isCut = false): Play {
  const random = createRandom(3);
  const accounts = new Map([[limits.name, limits]]);
  const nodes: QuotaState[] = Array.from({ length: NODES }, () => emptyQuotas);
  let aggregate = emptyAggregator;
  const view = { nodes: NODES, isAggregatorHeard: !isCut, isReportOverdue: false };
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
    const hot = !isCut && now % REPORT_MS === 0 ? overdrawn(aggregate, accounts, now) : [];
    for (const [at, before] of nodes.entries()) {
      const state = hot.length === 0 ? before : applyTotals(before, hot, accounts, view, now);
      nodes[at] = state;
      if (isCut || now % REPORT_MS !== (at * 13) % REPORT_MS) continue;
      const report = takeReport(state);
      const added = addReport(aggregate, String(at), report.usages, accounts, now);
      aggregate = added.state;
      nodes[at] = applyTotals(report.state, added.totals, accounts, view, now);
    }
  }
  return { asked, allowed, admittedAt };
}

/** Most admitted requests in any window, against what the bound of the platform leaves. */
function worstWindow({ admittedAt }: Play): number {
  return admittedAt.reduce((most, from) => {
    const within = admittedAt.filter((at) => at >= from && at < from + WINDOW_MS).length;
    return Math.max(most, within);
  }, 0);
}

function bound({ ratePerSecond, burst }: QuotaAccount): number {
  return ((ratePerSecond * WINDOW_MS) / 1000 + burst) * 1.25 + 20;
}

test('an account at seven times its rate stays below its bound in every window', () => {
  // Guards against nodes that each admit what the account may send in all.
  for (const limits of [account(10, 10), account(50, 50), account(145, 145)]) {
    const played = play(limits, 7 * limits.ratePerSecond, 15_000);
    assert.ok(
      worstWindow(played) <= bound(limits),
      `${limits.ratePerSecond}/s: ${worstWindow(played)}`,
    );
    // Guards against a bound that is kept by refusing what the account may send.
    const seconds = 15;
    assert.ok(played.admittedAt.length >= 0.9 * limits.ratePerSecond * seconds);
  }
});

test('without an aggregator the nodes together still stay below the bound', () => {
  // Guards against an account that gains by a partition.
  for (const limits of [account(20, 20), account(145, 145)]) {
    const played = play(limits, 7 * limits.ratePerSecond, 10_000, true);
    assert.ok(
      worstWindow(played) <= bound(limits),
      `${limits.ratePerSecond}/s: ${worstWindow(played)}`,
    );
  }
});

test('an account is hardly ever refused what one bucket for the fleet would admit', () => {
  // Guards against shares so small that uneven demand is refused.
  for (const limits of [account(5, 5), account(20, 20), account(145, 145)]) {
    const { allowed, admittedAt } = play(limits, 0.6 * limits.ratePerSecond, 60_000);
    const refused = 1 - admittedAt.length / allowed;
    assert.ok(
      refused <= 0.02,
      `${limits.ratePerSecond}/s: ${(100 * refused).toFixed(1)}% refused wrongfully`,
    );
  }
});

/** Time in which the link to a host without power is not known to be lost. */
const SILENCE_MS = 1400;

/** Plays an aggregator that falls silent at the instant at which an account becomes busy. */
function playSilence(limits: QuotaAccount, times: number, silentAt: number): Play {
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
      isAggregatorHeard: true,
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
      const { ledger, usages } = noteReport(node.ledger, address, report.usages, now);
      node.quotas = report.state;
      node.ledger = ledger;
      if (isSilent || usages.length === 0) continue;
      const known = aggregates.get(address) ?? emptyAggregator;
      const added = addReport(known, String(at), usages, accounts, now);
      aggregates.set(address, added.state);
      node.ledger = noteAnswer(ledger);
      node.quotas = applyTotals(node.quotas, added.totals, accounts, viewOf(node.ledger), now);
    }
  }
  return { asked, allowed: asked, admittedAt };
}

test('an account that becomes busy while the aggregator is silent stays below its bound', () => {
  // Guards against nodes that go on with what was told of a calm account, each for itself, and
  // against a new aggregator that knows nothing of what was let in meanwhile.
  for (const limits of [account(50, 50), account(145, 145), account(195, 195)]) {
    for (const times of [3, 5]) {
      const played = playSilence(limits, times, 2000);
      assert.ok(
        worstWindow(played) <= bound(limits),
        `${limits.ratePerSecond}/s at ${times} times: ${worstWindow(played)} of ${bound(limits)}`,
      );
    }
  }
});

test('what an aggregator has not answered goes to the next one, and only to that', () => {
  // Guards against usage that is lost with an aggregator, and against usage that a slow one
  // counts twice.
  const usage = { account: 'pulo', admitted: 3, demanded: 4 };
  const first = noteReport(emptyLedger, 'first', [usage], 0);
  const again = noteReport(first.ledger, 'first', [usage], 250);
  assert.deepEqual(again.usages, [usage]);
  assert.equal(isReportOverdue(again.ledger, 250), true);
  const moved = noteReport(again.ledger, 'second', [], 500);
  assert.deepEqual(moved.usages, [{ account: 'pulo', admitted: 6, demanded: 8 }]);
  assert.equal(isReportOverdue(noteAnswer(moved.ledger), 900), false);
});

test('a new aggregator that knows of no usage does not give an account its burst again', () => {
  // Guards against an account that gains with each restart of the aggregator.
  const limits = account(100, 100);
  const accounts = new Map([[limits.name, limits]]);
  const view = { nodes: NODES, isAggregatorHeard: true, isReportOverdue: false };
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
  // 250 ms of the rate bring the account from -10 to 15 tokens.
  assert.ok(admitted <= 15, `${admitted} requests`);
});
