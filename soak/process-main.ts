import { command, number, oneOf, option, run, string } from 'cmd-ts';
import { exitCodes } from '../src/cli/exit-code.js';
import { FAULT_SELECTIONS } from './processes/fault.js';
import { runProcessSoak, type ProcessSoakOptions } from './processes/process-soak.js';

async function soak(options: ProcessSoakOptions): Promise<number> {
  const { breaches, faults, answers, peakMemoryBytes } = await runProcessSoak(options);
  faults.forEach(({ at, fault }) => console.log(`${at} ms ${JSON.stringify(fault)}`));
  const counts = JSON.stringify(Object.fromEntries(answers));
  const peakMb = Math.round(peakMemoryBytes / 1e6);
  console.log(`seed ${options.seed}: answers ${counts}, at most ${peakMb} MB in a node`);
  breaches.forEach(({ promise, detail }) => console.log(`promise broken: ${promise}: ${detail}`));
  return breaches.length === 0 ? exitCodes.success : exitCodes.promiseBroken;
}

await run(
  command({
    name: 'soak-processes',
    description:
      'Run real node processes under faults and check what callers and backend servers observe.',
    args: {
      seed: option({ long: 'seed', type: number, defaultValue: () => 1 }),
      seconds: option({ long: 'seconds', type: number, defaultValue: () => 30 }),
      faults: option({
        long: 'faults',
        type: oneOf(FAULT_SELECTIONS),
        defaultValue: () => 'all' as const,
      }),
      subnet: option({
        long: 'subnet',
        type: string,
        description: 'First three octets of loopback addresses that no other process uses.',
        defaultValue: () => '127.79.1',
      }),
    },
    handler: async ({ seed, seconds, faults, subnet }) => {
      process.exitCode = await soak({ seed, selection: faults, faultsMs: seconds * 1000, subnet });
    },
  }),
  process.argv.slice(2),
);
