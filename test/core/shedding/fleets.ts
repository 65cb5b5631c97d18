import type { CallGraphOptions, CallKind } from './graph-node.js';

type Times = Pick<CallKind, 'objectiveMs' | 'timeoutMs'>;

/** Objective and timeout of each kind of call that callers or servers make. */
const SLOW: Times = { objectiveMs: 2000, timeoutMs: 2500 };
const FAST: Times = { objectiveMs: 300, timeoutMs: 700 };

interface FleetSize {
  /** Number of servers and slots of each service. */
  readonly stock: readonly [number, number];
  readonly desk: readonly [number, number];
  readonly planner: readonly [number, number];
  readonly courier: readonly [number, number];
  /** Factor on the work of a request, by which slower servers need more slots. */
  readonly slowness: number;
}

/** Fleet in which lookups (4) and orders (8) need that many calls of the scarcest service. */
function createFleet({ stock, desk, planner, courier, slowness }: FleetSize): CallGraphOptions {
  const sizes = { stock, desk, planner, courier };
  const planCalls = ['slot', 'slot', 'slot', 'slot'];
  return {
    kinds: [
      {
        ...SLOW,
        name: 'look',
        service: 'stock',
        workMs: 90 * slowness,
        priority: 2,
        calls: ['trace'],
      },
      {
        ...SLOW,
        name: 'order',
        service: 'desk',
        workMs: 115 * slowness,
        priority: 0,
        calls: ['plan', 'plan'],
      },
      { ...SLOW, name: 'view', service: 'planner', workMs: 105 * slowness, priority: 1, calls: [] },
      { ...SLOW, name: 'book', service: 'courier', workMs: 72 * slowness, priority: 2, calls: [] },
      { ...SLOW, name: 'trace', service: 'desk', workMs: 15, priority: 2, calls: ['plan'] },
      { ...SLOW, name: 'plan', service: 'planner', workMs: 15, priority: 2, calls: planCalls },
      { ...FAST, name: 'slot', service: 'courier', workMs: 22 * slowness, priority: 2, calls: [] },
    ],
    services: Object.entries(sizes).map(([name, [gates, slots]]) => ({ name, gates, slots })),
    arrivals: [
      { kind: 'look', perSecond: 233 },
      { kind: 'order', perSecond: 122 },
      { kind: 'view', perSecond: 31 },
      { kind: 'book', perSecond: 29 },
    ],
    lengthMs: 12_000,
    coldUntilMs: 0,
    coldRatePerSecond: 25,
  };
}

/** Fleets of the same load: each node of the large one sees about two requests of callers a second. */
export const FLEETS: Readonly<Record<string, CallGraphOptions>> = {
  '17 nodes': createFleet({
    stock: [5, 120],
    desk: [4, 150],
    planner: [4, 150],
    courier: [4, 20],
    slowness: 1,
  }),
  '195 nodes': createFleet({
    stock: [88, 25],
    desk: [75, 25],
    planner: [23, 25],
    courier: [9, 33],
    slowness: 3.9,
  }),
};

/** Value of one complete request. */
export const REQUEST_VALUE: Readonly<Record<string, number>> = {
  look: 1,
  order: 3,
  view: 2,
  book: 1,
};

/** Load of one complete request on the scarcest service, in units of one slot call. */
export const SLOT_CALLS: Readonly<Record<string, number>> = { look: 4, order: 8, book: 72 / 22 };
