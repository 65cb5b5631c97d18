import { mkdir, writeFile } from 'node:fs/promises';
import { availableParallelism, cpus, loadavg, totalmem } from 'node:os';
import type { ScenarioResult } from './run.js';

const RESULTS_FILE = 'bench/results/latest.json';

/** @returns number of broken promises of a result, summed over their causes */
export function sumBrokenPromises({ broken_promises: broken }: ScenarioResult): number {
  return Object.values(broken).reduce((sum, count) => sum + count, 0);
}

function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}

function formatRecovery({ recovered, recovery_s: seconds }: ScenarioResult): string {
  if (recovered === null) return '-';
  return seconds === null ? 'not reached' : `${seconds.toFixed(1)} s`;
}

/**
 * Writes the results to `bench/results/latest.json` and prints them as a table.
 *
 * @param scenarios - measured figures of each scenario
 * @param seed - seed of the run
 */
export async function writeReport(
  scenarios: readonly ScenarioResult[],
  seed: number,
): Promise<void> {
  const machine = {
    cpu: cpus()[0]?.model ?? 'unknown',
    cores: availableParallelism(),
    memory_gib: Math.round(totalmem() / 2 ** 30),
    node: process.version,
    load_average_1m: loadavg()[0],
  };
  await mkdir('bench/results', { recursive: true });
  const text = JSON.stringify({ machine, seed, scenarios }, null, 2);
  await writeFile(RESULTS_FILE, `${text}\n`);
  console.table(
    scenarios.map((result) => ({
      scenario: result.name,
      deployment: result.deployment,
      variant: result.variant,
      'offered/s': Math.round(result.offered_per_s),
      'goodput/s': Math.round(result.goodput_per_s),
      'of capacity': formatPercent(result.goodput_per_s / result.capacity_per_s),
      recovery: formatRecovery(result),
      'worst account': formatPercent(result.worst_account_served_fraction),
      wrongful: formatPercent(result.wrongful_refusal_fraction),
      'added p99 ms': result.added_latency_ms?.p99.toFixed(2) ?? '-',
      broken: sumBrokenPromises(result),
    })),
  );
  console.log(`results written to ${RESULTS_FILE}`);
}
