import type { Breach } from './audit.js';
import type { InjectedDefect } from './injected-defect.js';
import { randomSteps, type Step } from './step.js';
import { createRandom, Simulation, type SimulationOptions } from './simulation.js';

/** Result of a run of steps. */
export interface RunResult {
  /** The first broken promise, or null. */
  readonly breach: Breach | null;
  /** Number of steps performed until then. */
  readonly performed: number;
  /** Number of root requests by the code of their answer. */
  readonly answers: Readonly<Record<string, number>>;
}

/** Performs steps in a new simulation until a promise is broken or all steps are done. */
export async function runSteps(
  steps: readonly Step[],
  options: Omit<SimulationOptions, 'hasLinkFaults'>,
): Promise<RunResult> {
  const simulation = new Simulation({ ...options, hasLinkFaults: true });
  try {
    await simulation.start();
    let performed = 0;
    for (const step of steps) {
      await simulation.perform(step);
      performed += 1;
      if (simulation.audit.breaches.length > 0) break;
    }
    await simulation.finish();
    const { breaches, answers } = simulation.audit;
    return { breach: breaches[0] ?? null, performed, answers };
  } finally {
    simulation.close();
  }
}

/** Draws the random steps that belong to a seed. */
export function drawSteps(seed: number, count: number): readonly Step[] {
  return randomSteps(count, createRandom(seed));
}

/** Removes the first steps, then ever smaller groups, as long as the same promise still breaks. */
export async function shrinkSteps(
  steps: readonly Step[],
  {
    limitMs,
    promise,
    ...options
  }: { limitMs: number; promise: string; seed: number; defect: InjectedDefect | null },
): Promise<readonly Step[]> {
  const end = Date.now() + limitMs;
  let kept = steps;
  const tryFewer = async (fewer: readonly Step[]): Promise<boolean> => {
    if (Date.now() >= end) return false;
    const { breach, performed } = await runSteps(fewer, options);
    if (breach?.promise !== promise) return false;
    kept = fewer.slice(0, performed);
    return true;
  };
  // Most failures need only the steps shortly before them, and short runs are fast.
  for (let suffixLength = 32; suffixLength < steps.length; suffixLength *= 2) {
    if (await tryFewer(steps.slice(-suffixLength))) break;
  }
  for (let size = Math.ceil(kept.length / 2); size >= 1; size = Math.floor(size / 2)) {
    for (let from = kept.length - size; from > -size; from -= size) {
      const start = from;
      await tryFewer(kept.filter((_, index) => index < start || index >= start + size));
    }
  }
  return kept;
}
