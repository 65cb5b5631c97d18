import { setTimeout as sleep } from 'node:timers/promises';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { request } from 'undici';
import type { BrokenPromises, Deployment } from './deployment.js';
import { LoadPool } from './load-pool.js';
import { nowMs } from './load.js';
import type { RequestRecord } from './load.js';
import type { BenchEvent, Scenario } from './scenarios.js';
import { DEADLINE_MS, computeCapacityPerS } from './topology.js';

/** Measured figures of one scenario in one variant. */
export interface ScenarioResult {
  readonly name: string;
  readonly deployment: string;
  readonly variant: string;
  readonly offered_per_s: number;
  readonly goodput_per_s: number;
  readonly capacity_per_s: number;
  /** Null without a recovery phase, or when recovery was not reached (see `recovered`). */
  readonly recovery_s: number | null;
  readonly recovered: boolean | null;
  readonly worst_account_served_fraction: number;
  readonly wrongful_refusal_fraction: number;
  readonly added_latency_ms: { readonly p50: number; readonly p99: number } | null;
  readonly broken_promises: BrokenPromises;
}

/** Fraction of the goodput before the disturbance that counts as recovered. */
const RECOVERED_FRACTION = 0.95;
const RECOVERY_WINDOW_MS = 1000;
const RECOVERY_STEP_MS = 100;
const LATENCY_PAIR_COUNT = 200;
const LATENCY_PAIR_INTERVAL_MS = 2;
const MICROSECONDS_PER_MS = 1000;

function goodputBetween(records: readonly RequestRecord[], fromMs: number, toMs: number): number {
  const good = records.filter(
    ({ isGood, endedMs }) => isGood && endedMs >= fromMs && endedMs < toMs,
  );
  return (good.length * 1000) / (toMs - fromMs);
}

function setRates(load: LoadPool, { topology }: Deployment, perSecond: number): void {
  const total = topology.accounts.reduce((sum, { ratePerSecond }) => sum + ratePerSecond, 0);
  topology.accounts.forEach((account) => {
    load.setRate(account, (perSecond * account.ratePerSecond) / total);
  });
}

async function applyEvent(
  event: BenchEvent,
  deployment: Deployment,
  load: LoadPool,
): Promise<void> {
  const { accounts } = deployment.topology;
  switch (event.kind) {
    case 'disturb':
      return deployment.apply(event.disturbance);
    case 'offer':
      return setRates(load, deployment, event.perSecond);
    case 'exceed-rate':
      return accounts
        .filter(({ name }) => name === event.account)
        .forEach((account) => load.setRate(account, account.ratePerSecond * event.rateFactor));
    case 'crash-request':
      return accounts.slice(0, 1).forEach((account) => load.sendCrashRequest(account));
  }
}

/** @returns seconds from the end of the disturbance to recovery, or null after the limit */
async function waitForRecovery(
  load: LoadPool,
  startMs: number,
  recovery: NonNullable<Scenario['recovery']>,
): Promise<number | null> {
  const [beforeFrom, beforeTo] = recovery.before;
  // Few requests complete in the first 500 ms, which would lower the mean.
  const goodputBefore = goodputBetween(
    load.records,
    startMs + beforeFrom + 500,
    startMs + beforeTo,
  );
  for (let afterMs = 0; afterMs <= recovery.limitMs; afterMs += RECOVERY_STEP_MS) {
    const fromMs = startMs + recovery.endMs + afterMs;
    await sleep(fromMs + RECOVERY_WINDOW_MS - nowMs());
    const currentGoodput = goodputBetween(load.records, fromMs, fromMs + RECOVERY_WINDOW_MS);
    // Without goodput before the disturbance, recovery is undefined.
    if (goodputBefore > 0 && currentGoodput >= goodputBefore * RECOVERED_FRACTION)
      return afterMs / 1000;
  }
  return null;
}

function worstServedFraction(records: readonly RequestRecord[], names: readonly string[]): number {
  const fractions = names.map((name) => {
    const accountRecords = records.filter(({ account }) => account === name);
    return accountRecords.length === 0
      ? 1
      : accountRecords.filter(({ isGood }) => isGood).length / accountRecords.length;
  });
  return Math.min(...fractions);
}

/**
 * Counts refusals of attempts within the rate of their account. For an account above its rate it is
 * arbitrary which attempts are within it, so attempts admitted above the rate offset refusals.
 */
function countWrongfulRefusals(records: readonly RequestRecord[]): number {
  const netRefusals = new Map<string, number>();
  records.forEach(({ account, refusedWithinRate, admittedAboveRate }) => {
    netRefusals.set(
      account,
      (netRefusals.get(account) ?? 0) + refusedWithinRate - admittedAboveRate,
    );
  });
  return [...netRefusals.values()].reduce((sum, count) => sum + Math.max(0, count), 0);
}

async function recordLatency(histogram: Histogram, url: string, key?: string): Promise<void> {
  const startMs = nowMs();
  const response = await request(url, {
    headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
    signal: AbortSignal.timeout(DEADLINE_MS),
  });
  await response.body.dump();
  if (response.statusCode !== 200) return;
  histogram.recordValue((nowMs() - startMs) * MICROSECONDS_PER_MS);
}

/** Compares alternating sequential calls through entry and gate and directly to the server. */
async function measureAddedLatency({ topology, servers, entries }: Deployment) {
  const direct = build();
  const proxied = build();
  const [service] = topology.services.filter(({ paths }) =>
    paths.some(({ path }) => path === 'ping'),
  );
  const [server] = servers.filter((candidate) => candidate.service === service);
  const [account] = topology.accounts;
  for (let pair = 0; pair < LATENCY_PAIR_COUNT; pair += 1) {
    // An entry beside another service makes the call always include the peer hop to the gate.
    const entry = entries[entries.length - 1];
    await recordLatency(direct, `${server?.url}/ping`);
    await recordLatency(proxied, `${entry}/${service?.name}/ping`, account?.key);
    await sleep(LATENCY_PAIR_INTERVAL_MS);
  }
  if (proxied.totalCount < LATENCY_PAIR_COUNT / 2) return null;
  const added = (percentile: number): number =>
    (proxied.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) /
    MICROSECONDS_PER_MS;
  return { p50: added(50), p99: added(99) };
}

function subtractCounts(after: BrokenPromises, before: BrokenPromises): BrokenPromises {
  return Object.fromEntries(
    Object.entries(after).map(([cause, count]) => [
      cause,
      Math.max(0, count - (before[cause] ?? 0)),
    ]),
  );
}

/** Counts good requests of excluded accounts that arrived after their key had to be rejected. */
function countAnswersAfterWithdrawal(load: LoadPool, startMs: number, scenario: Scenario): number {
  const { withdrawnAfterMs, excluded, window } = scenario;
  if (withdrawnAfterMs === null) return 0;
  return load.records.filter(
    ({ account, arrivedMs, endedMs, isGood }) =>
      isGood &&
      excluded.includes(account) &&
      arrivedMs >= startMs + withdrawnAfterMs &&
      endedMs < startMs + window[1],
  ).length;
}

/**
 * Runs one scenario.
 *
 * @param deployment - running deployment
 * @param scenario - scenario to run
 * @param firstOrderNumber - first order number that the load can use
 * @param seed - seed of arrival times and request mix
 * @returns measured figures and the next unused order number
 */
export async function runScenario(
  deployment: Deployment,
  scenario: Scenario,
  firstOrderNumber: number,
  seed: number,
): Promise<{ readonly result: ScenarioResult; readonly nextOrderNumber: number }> {
  const load = new LoadPool(deployment, seed, firstOrderNumber);
  await deployment.waitUntilIdle();
  const before = await deployment.countBrokenPromises(firstOrderNumber);
  const startMs = nowMs();
  let recoveryS: number | null = null;
  try {
    for (const [atMs, event] of scenario.timeline) {
      await sleep(startMs + atMs - nowMs());
      await applyEvent(event, deployment, load);
    }
    await sleep(startMs + scenario.window[1] - nowMs());
    if (scenario.recovery !== null) {
      recoveryS = await waitForRecovery(load, startMs, scenario.recovery);
    }
  } finally {
    await load.stop();
  }
  const [fromMs, toMs] = scenario.window.map((atMs) => startMs + atMs) as [number, number];
  const inWindow = load.records.filter(({ arrivedMs }) => arrivedMs >= fromMs && arrivedMs < toMs);
  const attempts = inWindow.reduce((sum, { attemptsWithinRate }) => sum + attemptsWithinRate, 0);
  const wrongful = countWrongfulRefusals(inWindow);
  const includedAccounts = deployment.topology.accounts
    .map(({ name }) => name)
    .filter((name) => !scenario.excluded.includes(name));
  const result: ScenarioResult = {
    name: scenario.name,
    deployment: deployment.topology.name,
    variant: deployment.variant,
    offered_per_s: (inWindow.length * 1000) / (toMs - fromMs),
    goodput_per_s: goodputBetween(load.records, fromMs, toMs),
    capacity_per_s: computeCapacityPerS(deployment.topology),
    recovery_s: recoveryS,
    recovered: scenario.recovery === null ? null : recoveryS !== null,
    worst_account_served_fraction: worstServedFraction(inWindow, includedAccounts),
    wrongful_refusal_fraction: attempts === 0 ? 0 : wrongful / attempts,
    added_latency_ms: scenario.isLatencyMeasured ? await measureAddedLatency(deployment) : null,
    broken_promises: {
      ...subtractCounts(await deployment.countBrokenPromises(firstOrderNumber), before),
      withdrawn_key_answered: countAnswersAfterWithdrawal(load, startMs, scenario),
    },
  };
  return { result, nextOrderNumber: load.nextOrderNumber };
}

/**
 * Offers load until 95 % of it is answered, since nodes start with cold limits and without tokens.
 * Rejects when no request was answered within the limit.
 *
 * @param deployment - running deployment
 * @param perSecond - root requests per second
 * @param limitMs - longest time to wait
 * @returns next unused order number
 */
export async function warmUp(
  deployment: Deployment,
  perSecond: number,
  limitMs: number,
): Promise<number> {
  const load = new LoadPool(deployment, 0, 0);
  const endMs = nowMs() + limitMs;
  setRates(load, deployment, perSecond);
  let isWarm = false;
  while (!isWarm && nowMs() < endMs) {
    await sleep(RECOVERY_WINDOW_MS / 2);
    const toMs = nowMs();
    const recent = goodputBetween(load.records, toMs - RECOVERY_WINDOW_MS, toMs);
    isWarm = recent >= perSecond * RECOVERED_FRACTION;
  }
  await load.stop();
  if (!load.records.some(({ isGood }) => isGood)) {
    throw new Error(`${deployment.variant} answered no request within ${limitMs / 1000} s`);
  }
  if (!isWarm) console.log(`  ${deployment.variant}: warm-up incomplete after ${limitMs / 1000} s`);
  return load.nextOrderNumber;
}
