import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { QuotaAccount } from '../../src/core/policy/policy.js';
import { QuotaTask, REPORT_INTERVAL_MS } from '../../src/sidecar/quota-task.js';
import { createRandom } from '../../standin/process.js';

/** Bounds of the platform for a window, and the account of its example configuration. */
const WINDOW_MS = 5000;
const OVER_SHARE = 0.25;
const SLACK = 20;
const ACCOUNT: QuotaAccount = {
  name: 'pulo',
  keys: [],
  priority: 0,
  ratePerSecond: 106,
  burst: 106,
};
const BOUND =
  ((ACCOUNT.ratePerSecond * WINDOW_MS) / 1000 + ACCOUNT.burst) * (1 + OVER_SHARE) + SLACK;

/** Usual demand of an account, and that of one that sends many times its usual. */
const USUAL_PER_SECOND = ACCOUNT.ratePerSecond / 1.6;
const HOT_PER_SECOND = USUAL_PER_SECOND * 7.5;

/** Time until a node takes a peer behind a cut as unreachable: a ping and its time-out. */
const DETECTION_MS = 1100;
const TICK_MS = 10;
const LENGTH_MS = 24_000;
const CUT_FROM_MS = 6000;
const CUT_UNTIL_MS = 18_000;

/** When and how much of the rate has to be granted again after the cut. */
const RECOVERED_MS = 20_000;
const RECOVERED_SHARE = 0.9;

interface Cut {
  readonly nodes: number;
  /** Number of nodes on the smaller side of the cut. */
  readonly minority: number;
  /** Whether the node that adds up the usage is on the smaller side. */
  readonly hasAggregator: boolean;
  readonly perSecond: number;
}

interface CutResult {
  readonly admittedAt: readonly number[];
  readonly refused: number;
}

/** Plays a fleet through a cut in made-up time. The first node that is reachable adds up the usage. */
function playCut({ nodes, minority, hasAggregator, perSecond }: Cut): CutResult {
  let now = 0;
  const sideOf = (node: number): boolean =>
    hasAggregator ? node < minority : node >= nodes - minority;
  const isCut = (from: number, to: number): boolean =>
    now >= CUT_FROM_MS && now < CUT_UNTIL_MS && sideOf(from) !== sideOf(to);
  const isUnreachable = (from: number, to: number): boolean =>
    now >= CUT_FROM_MS + DETECTION_MS && isCut(from, to);
  const indexes = Array.from({ length: nodes }, (_, index) => index);
  const tasks: readonly QuotaTask[] = indexes.map((own) => {
    const links = indexes.filter((other) => other !== own);
    return new QuotaTask({
      node: String(own),
      clock: { now: () => now },
      nodes: () => nodes,
      aggregator: () => {
        const first = links.find((other) => other < own && !isUnreachable(own, other));
        return first === undefined ? null : String(first);
      },
      preferredAggregator: () => (own === 0 ? null : '0'),
      sendUsage: (address, usages) => {
        const to = Number(address);
        if (isCut(own, to)) return;
        const totals = tasks[to]?.addNodeReport(String(own), usages) ?? [];
        tasks[own]?.send({ kind: 'totals', totals });
      },
      broadcastTotals: (totals) => {
        links.forEach((to) => {
          if (!isCut(own, to)) tasks[to]?.send({ kind: 'totals', totals });
        });
      },
    });
  });
  tasks.forEach((task) => task.send({ kind: 'accounts', accounts: [ACCOUNT] }));
  const random = createRandom(7);
  const admittedAt: number[] = [];
  let refused = 0;
  for (; now < LENGTH_MS; now += TICK_MS) {
    if (now % REPORT_INTERVAL_MS === 0) tasks.forEach((task) => task.send({ kind: 'report-due' }));
    for (let left = (perSecond * TICK_MS) / 1000; left > 0; left -= 1) {
      const task = tasks[Math.floor(random() * nodes)];
      if (random() < left && task !== undefined) {
        if (task.spendToken(ACCOUNT) === null) admittedAt.push(now);
        else refused += 1;
      }
    }
  }
  tasks.forEach((task) => task.close());
  return { admittedAt, refused };
}

function busiestWindow(admittedAt: readonly number[]): number {
  let from = 0;
  return admittedAt.reduce((most, at, index) => {
    while ((admittedAt[from] ?? at) <= at - WINDOW_MS) from += 1;
    return Math.max(most, index - from + 1);
  }, 0);
}

const CUTS = [
  { nodes: 3, minority: 1 },
  { nodes: 4, minority: 2 },
  { nodes: 17, minority: 6 },
  { nodes: 60, minority: 21 },
  { nodes: 195, minority: 68 },
].flatMap((cut) => [
  { ...cut, hasAggregator: true },
  { ...cut, hasAggregator: false },
]);

CUTS.forEach(({ nodes, minority, hasAggregator }) => {
  const name = `a cut of ${minority} of ${nodes} nodes, ${hasAggregator ? 'with' : 'without'} the one that adds up`;
  test(`${name}, keeps an account within its quota`, () => {
    // Guards against two sides of a cut that each grant the whole rate, and against totals of a node
    // that no longer adds up the usage.
    const { admittedAt } = playCut({ nodes, minority, hasAggregator, perSecond: HOT_PER_SECOND });
    const most = busiestWindow(admittedAt);
    assert.ok(most <= BOUND, `${most} requests in 5 s, bound ${BOUND}`);
    const served = admittedAt.filter((at) => at >= RECOVERED_MS).length;
    const rate = (ACCOUNT.ratePerSecond * (LENGTH_MS - RECOVERED_MS)) / 1000;
    assert.ok(served >= rate * RECOVERED_SHARE, `${served} of ${rate} requests after the cut`);
  });
});

/** Share of the requests inside the rate that may be refused; the pages call each a loss. */
const REFUSED_SHARE = 0.02;

test('an account inside its rate is served on both sides of a cut', () => {
  // Guards against shares of the rate that shrink below what an account usually needs.
  const cut = { nodes: 17, minority: 6, hasAggregator: true, perSecond: USUAL_PER_SECOND };
  const { admittedAt, refused } = playCut(cut);
  const share = refused / (refused + admittedAt.length);
  assert.ok(share <= REFUSED_SHARE, `${share.toFixed(3)} refused`);
});
