import type { Disturbance } from './deployment.js';
import type { Topology } from './topology.js';
import { computeCapacityPerS } from './topology.js';

/** An event of a scenario at a time after its start. */
export type BenchEvent =
  | { readonly kind: 'disturb'; readonly disturbance: Disturbance }
  /** Sets the root requests per second of all accounts, divided in proportion to their rates. */
  | { readonly kind: 'offer'; readonly perSecond: number }
  /** One account sends a multiple of its rate. */
  | { readonly kind: 'exceed-rate'; readonly account: string; readonly rateFactor: number }
  /** A caller sends, and retries, a request that crashes backend servers. */
  | { readonly kind: 'crash-request' };

/** A scripted load test of a deployment. */
export interface Scenario {
  readonly name: string;
  readonly timeline: readonly (readonly [atMs: number, event: BenchEvent])[];
  /** Interval in which arriving requests are measured. */
  readonly window: readonly [fromMs: number, toMs: number];
  /** Interval of the reference goodput, end of the disturbance, and longest time to recover. */
  readonly recovery: {
    readonly before: readonly [fromMs: number, toMs: number];
    readonly endMs: number;
    readonly limitMs: number;
  } | null;
  /** Accounts above their rate or without a valid key, excluded from the worst account. */
  readonly excluded: readonly string[];
  /** Time after which a good answer to an excluded account breaks the promise `key-withdrawn`. */
  readonly withdrawnAfterMs: number | null;
  readonly isLatencyMeasured: boolean;
}

/** Fraction of the capacity that callers use without overload. */
const BASE_LOAD_FRACTION = 0.6;
const OVERLOAD_FACTOR = 3;
const EXCESS_RATE_FACTOR = 5;
/** Target for a configuration change to take effect on all nodes, stated as "within seconds". */
const PROPAGATION_LIMIT_MS = 3000;

function disturbAt(atMs: number, disturbance: Disturbance): readonly [number, BenchEvent] {
  return [atMs, { kind: 'disturb', disturbance }];
}

/**
 * Lists the scenarios for a deployment.
 *
 * @param topology - deployment to test
 * @param isQuick - whether to list only the quick scenarios, with shorter durations
 * @returns scenarios in the order in which they run
 */
export function listScenarios(topology: Topology, isQuick: boolean): readonly Scenario[] {
  const capacity = computeCapacityPerS(topology);
  const baseLoad = [0, { kind: 'offer', perSecond: capacity * BASE_LOAD_FRACTION }] as const;
  const excessAccount = topology.accounts.at(-1)?.name ?? '';
  const withdrawnAccount = topology.accounts.at(-2)?.name ?? '';
  // A service with a path that receives only nested calls.
  const nestedService = topology.services.find(({ paths }) =>
    paths.some(({ rootShare }) => rootShare === 0),
  );
  const service = nestedService?.name ?? '';
  const zone = topology.zones[0] ?? '';
  const durationFactor = isQuick ? 1 : 2;
  const defaults = {
    recovery: null,
    excluded: [],
    withdrawnAfterMs: null,
    isLatencyMeasured: false,
  };
  const overloadIntervalMs = [1300, 1300 + 3500 * durationFactor] as const;
  // In both variants the first second of overload only fills the accept queues of backend servers.
  const sustainedIntervalMs = [overloadIntervalMs[0] + 1000, overloadIntervalMs[1]] as const;
  const zoneEventsMs = [800, 1600, 2400, 3600] as const;
  const quickScenarios: readonly Scenario[] = [
    {
      ...defaults,
      name: 'calm',
      timeline: [baseLoad],
      window: [0, 2200 * durationFactor],
      isLatencyMeasured: true,
    },
    {
      ...defaults,
      name: 'zone-out-and-back',
      timeline: [
        baseLoad,
        disturbAt(zoneEventsMs[0], { kind: 'zone', zone, state: 'out' }),
        disturbAt(zoneEventsMs[1], { kind: 'zone-servers', zone, state: 'stopped' }),
        disturbAt(zoneEventsMs[2], { kind: 'zone-servers', zone, state: 'cold' }),
        disturbAt(zoneEventsMs[2], { kind: 'zone', zone, state: 'in' }),
      ],
      window: [0, zoneEventsMs[3] * durationFactor],
    },
    {
      ...defaults,
      name: 'greedy-account',
      timeline: [
        baseLoad,
        [0, { kind: 'exceed-rate', account: excessAccount, rateFactor: EXCESS_RATE_FACTOR }],
      ],
      window: [0, 2200 * durationFactor],
      excluded: [excessAccount],
    },
    {
      ...defaults,
      name: 'overload',
      timeline: [
        baseLoad,
        [overloadIntervalMs[0], { kind: 'offer', perSecond: capacity * OVERLOAD_FACTOR }],
        [overloadIntervalMs[1], baseLoad[1]],
      ],
      window: sustainedIntervalMs,
      recovery: {
        before: [0, overloadIntervalMs[0]],
        endMs: overloadIntervalMs[1],
        limitMs: isQuick ? 4000 : 10_000,
      },
    },
  ];
  if (isQuick) return quickScenarios;
  const longScenarios: readonly Scenario[] = [
    {
      ...defaults,
      name: 'deep-service-slowed',
      timeline: [
        baseLoad,
        disturbAt(2000, { kind: 'slow', service, factor: 4 }),
        disturbAt(7000, { kind: 'slow', service, factor: 1 }),
      ],
      window: [2000, 7000],
      recovery: { before: [0, 2000], endMs: 7000, limitMs: 10_000 },
    },
    {
      ...defaults,
      name: 'cold-server',
      timeline: [baseLoad, disturbAt(2000, { kind: 'cold', server: `${service}-${zone}` })],
      window: [2000, 8000],
    },
    {
      ...defaults,
      name: 'service-down-after-withdrawal',
      timeline: [
        baseLoad,
        disturbAt(2000, { kind: 'withdraw', accounts: [withdrawnAccount] }),
        disturbAt(2100, { kind: 'service', isDown: true }),
        disturbAt(9000, { kind: 'service', isDown: false }),
        disturbAt(9000, { kind: 'withdraw', accounts: [] }),
      ],
      window: [0, 9000],
      excluded: [withdrawnAccount],
      withdrawnAfterMs: 2000 + PROPAGATION_LIMIT_MS,
    },
    {
      ...defaults,
      name: 'silent-connections',
      timeline: [baseLoad, disturbAt(2000, { kind: 'silent', service })],
      window: [2000, 8000],
    },
    {
      ...defaults,
      name: 'crashing-request',
      timeline: [
        baseLoad,
        disturbAt(1000, { kind: 'crashes', enabled: true }),
        ...[2000, 2500, 3000, 3500, 4000].map((atMs) => [atMs, { kind: 'crash-request' }] as const),
        disturbAt(8000, { kind: 'crashes', enabled: false }),
      ],
      window: [2000, 8000],
    },
  ];
  return [...quickScenarios, ...longScenarios];
}
