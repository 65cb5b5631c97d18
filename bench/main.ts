import { parseArgs } from 'node:util';
import { Deployment } from './deployment.js';
import type { Variant } from './load.js';
import { sumBrokenPromises, writeReport } from './report.js';
import { runScenario, warmUp } from './run.js';
import type { ScenarioResult } from './run.js';
import { listScenarios } from './scenarios.js';
import { CO_OP, KELPIE, computeCapacityPerS } from './topology.js';
import type { Topology } from './topology.js';

/** Longer than the time until a started node grants credit, plus the warm-up. */
const WARM_UP_LIMIT_MS = 12_000;
/** Fraction of the capacity that the limits of cold nodes can reach without overload. */
const WARM_UP_LOAD_FRACTION = 0.5;
const EXIT_FAILED = 1;
const EXIT_PROMISE_BROKEN = 5;

const { values: options } = parseArgs({
  options: {
    quick: { type: 'boolean', default: false },
    seed: { type: 'string', default: '1' },
    /** Restricts the run to one variant, for development of the benchmark. */
    variant: { type: 'string' },
  },
});
const seed = Number(options.seed);
const startedMs = performance.now();

function logProgress(text: string): void {
  console.log(`${((performance.now() - startedMs) / 1000).toFixed(1).padStart(6)} s  ${text}`);
}

/** Running deployments, whose processes are stopped on SIGINT and SIGTERM. */
const runningDeployments = new Set<Deployment>();

async function stopAll(): Promise<void> {
  await Promise.all([...runningDeployments].map((deployment) => deployment.stop()));
  runningDeployments.clear();
}

async function abort(): Promise<void> {
  await stopAll();
  process.exit(EXIT_FAILED);
}

async function runTopology(topology: Topology): Promise<readonly ScenarioResult[]> {
  const variants: readonly Variant[] = ['almondhoist', 'pass-through'];
  const deployments = variants
    .filter((variant) => options.variant === undefined || variant === options.variant)
    .map((variant) => new Deployment(topology, variant, seed));
  deployments.forEach((deployment) => runningDeployments.add(deployment));
  const results: ScenarioResult[] = [];
  const nextOrderNumbers = new Map<Deployment, number>();
  try {
    logProgress(`${topology.name}: starting`);
    await Promise.all(deployments.map((deployment) => deployment.start()));
    logProgress(`${topology.name}: warming up`);
    const perSecond = computeCapacityPerS(topology) * WARM_UP_LOAD_FRACTION;
    await Promise.all(
      deployments.map(async (deployment) => {
        nextOrderNumbers.set(deployment, await warmUp(deployment, perSecond, WARM_UP_LIMIT_MS));
      }),
    );
    for (const scenario of listScenarios(topology, options.quick)) {
      for (const deployment of deployments) {
        logProgress(`${topology.name}: ${scenario.name} with ${deployment.variant}`);
        const firstOrderNumber = nextOrderNumbers.get(deployment) ?? 0;
        const { result, nextOrderNumber } = await runScenario(
          deployment,
          scenario,
          firstOrderNumber,
          seed,
        );
        nextOrderNumbers.set(deployment, nextOrderNumber);
        results.push(result);
      }
    }
  } finally {
    logProgress(`${topology.name}: stopping`);
    await stopAll();
  }
  return results;
}

process.once('SIGINT', abort);
process.once('SIGTERM', abort);
const results: ScenarioResult[] = [];
try {
  for (const topology of options.quick ? [KELPIE] : [KELPIE, CO_OP]) {
    results.push(...(await runTopology(topology)));
  }
  await writeReport(results, seed);
  const isPromiseBroken = results.some(
    (result) => result.variant === 'almondhoist' && sumBrokenPromises(result) > 0,
  );
  process.exitCode = isPromiseBroken ? EXIT_PROMISE_BROKEN : 0;
} catch (error) {
  console.error(`the benchmark failed: ${String(error)}`);
  process.exitCode = EXIT_FAILED;
}
logProgress('done');
