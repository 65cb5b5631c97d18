import type { CallGraphResult } from './call-graph.js';
import type { CallGraphOptions } from './graph-node.js';

const LOOKUP = { objectiveMs: 1500, timeoutMs: 6000 };

/**
 * A third of the co-op's grown fleet with its heaviest traffic, 1.7 times the usual. The nodes
 * beside the two finders handle each lookup seven times, and lack the processor time for all.
 */
export const SCARCE_FLEET: CallGraphOptions = {
  kinds: [
    { ...LOOKUP, name: 'balance', service: 'app', workMs: 120, priority: 2, calls: ['history'] },
    { ...LOOKUP, name: 'refund', service: 'deposit', workMs: 160, priority: 0, calls: ['map'] },
    {
      name: 'directory',
      service: 'finder',
      workMs: 140,
      objectiveMs: 800,
      timeoutMs: 3000,
      priority: 1,
      calls: [],
    },
    {
      name: 'collection',
      service: 'schedule',
      workMs: 96,
      objectiveMs: 400,
      timeoutMs: 1500,
      priority: 2,
      calls: [],
    },
    {
      name: 'history',
      service: 'deposit',
      workMs: 15,
      objectiveMs: 1200,
      timeoutMs: 3000,
      priority: 2,
      calls: ['map'],
    },
    {
      name: 'map',
      service: 'finder',
      workMs: 15,
      objectiveMs: 1200,
      timeoutMs: 2500,
      priority: 2,
      calls: ['slot', 'slot', 'slot', 'slot', 'slot'],
    },
    {
      name: 'slot',
      service: 'schedule',
      workMs: 30,
      objectiveMs: 300,
      timeoutMs: 700,
      priority: 2,
      calls: [],
    },
  ],
  services: [
    { name: 'app', gates: 10, slots: 86 },
    { name: 'deposit', gates: 6, slots: 141 },
    { name: 'finder', gates: 2, slots: 447 },
    { name: 'schedule', gates: 2, slots: 153 },
  ],
  arrivals: [
    { kind: 'balance', perSecond: 854 },
    { kind: 'refund', perSecond: 285 },
    { kind: 'directory', perSecond: 96 },
    { kind: 'collection', perSecond: 125 },
  ],
  lengthMs: 15_000,
  coldUntilMs: 0,
  coldRatePerSecond: 18,
  processorMs: 0.4,
};

/**
 * Computes the share of the requests of a kind that are served.
 *
 * @param result - the results
 * @param kind - name of the kind
 * @param from - first second
 * @param to - second after the last one
 * @returns a share from 0 to 1; a late answer counts as its value
 */
export function servedShare(
  result: CallGraphResult,
  kind: string,
  from: number,
  to: number,
): number {
  const seconds = (result.get(kind) ?? []).slice(from, to);
  const requested = seconds.reduce((sum, second) => sum + second.requested, 0);
  return seconds.reduce((sum, second) => sum + second.completed, 0) / requested;
}

/** Floor of each class of requests on the heaviest standard day of the co-op's grown fleet. */
export const CLASS_FLOOR = 0.26;

/** A class may be served less often than one of a lower rank by at most this much. */
export const ORDER_TOLERANCE = 0.05;
