import { readFile } from 'node:fs/promises';
import { command, number, option, optional, run, string } from 'cmd-ts';
import { exitCodes } from '../src/cli/exit-code.js';
import { parseJson } from '../src/core/configuration/canonical-json.js';
import { runSteps, shrinkSteps, drawSteps } from './run.js';
import { stepCodec, type Step } from './step.js';

const SHRINK_LIMIT_MS = 45_000;

async function readTrace(file: string): Promise<readonly Step[]> {
  return (await readFile(file, 'utf8'))
    .split('\n')
    .filter((line) => line.startsWith('{'))
    .map((line) => stepCodec.decode(parseJson(line)).unsafeCoerce());
}

async function soak(seed: number, count: number, trace: string | undefined): Promise<number> {
  const started = Date.now();
  const steps = trace === undefined ? drawSteps(seed, count) : await readTrace(trace);
  const { breach, performed, answers } = await runSteps(steps, { seed, defect: null });
  const seconds = ((Date.now() - started) / 1000).toFixed(1);
  console.log(`seed ${seed}: ${performed} steps in ${seconds} s`);
  console.log(`answers: ${JSON.stringify(answers)}`);
  if (breach === null) return exitCodes.success;
  console.log(`promise broken: ${breach.promise} at ${breach.at} ms: ${breach.detail}`);
  const kept = await shrinkSteps(steps.slice(0, performed), {
    seed,
    defect: null,
    limitMs: SHRINK_LIMIT_MS,
    promise: breach.promise,
  });
  console.log(`shortened trace, replayed by --seed ${seed} --trace FILE:`);
  kept.forEach((step) => console.log(JSON.stringify(step)));
  return exitCodes.promiseBroken;
}

await run(
  command({
    name: 'soak',
    description: 'Run a simulated fleet through random steps and check the promises.',
    args: {
      seed: option({ long: 'seed', type: number, defaultValue: () => 1 }),
      steps: option({ long: 'steps', type: number, defaultValue: () => 20_000 }),
      trace: option({
        long: 'trace',
        type: optional(string),
        description: 'file with one step per line, run instead of random steps',
      }),
    },
    handler: async ({ seed, steps, trace }) => {
      process.exitCode = await soak(seed, steps, trace);
    },
  }),
  process.argv.slice(2),
);
