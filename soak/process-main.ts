import { command, number, option, run } from 'cmd-ts';
import { exitCodes } from '../src/cli/exit-code.js';
import { runProcessSoak } from './processes/process-soak.js';

const SUBNET = '127.79.1';

async function soak(seed: number, seconds: number): Promise<number> {
  const { breaches, faults, answers } = await runProcessSoak({
    seed,
    faultsMs: seconds * 1000,
    subnet: SUBNET,
  });
  faults.forEach(({ at, fault }) => console.log(`${at} ms ${JSON.stringify(fault)}`));
  console.log(`seed ${seed}: answers ${JSON.stringify(Object.fromEntries(answers))}`);
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
    },
    handler: async ({ seed, seconds }) => {
      process.exitCode = await soak(seed, seconds);
    },
  }),
  process.argv.slice(2),
);
