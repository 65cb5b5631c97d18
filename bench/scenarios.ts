import type { Disturbance } from './deployment.js';
import type { Topology } from './topology.js';
import { capacityPerS } from './topology.js';

/** Something that happens at a time after the start of a scenario. */
export type BenchEvent =
  | { readonly kind: 'disturb'; readonly disturbance: Disturbance }
  /** Root requests per second over all accounts, in proportion to their rates. */
  | { readonly kind: 'offer'; readonly perSecond: number }
  /** One account sends this multiple of its rate. */
  | { readonly kind: 'greedy'; readonly account: string; readonly timesRate: number }
  /** A caller sends, and repeats, a request that crashes backend servers. */
  | { readonly kind: 'crash-call' };

/** A scripted run. */
export interface Scenario {
  readonly name: string;
  readonly timeline: readonly (readonly [atMs: number, event: BenchEvent])[];
  /** Requests that arrive in this window count. */
  readonly window: readonly [fromMs: number, toMs: number];
  /** Goodput before the disturbance, its end, and how long to look for recovery. */
  readonly recovery: {
    readonly before: readonly [fromMs: number, toMs: number];
    readonly endMs: number;
    readonly limitMs: number;
  } | null;
  /** Accounts that misbehave or lose their key, so that they are left out of the worst account. */
  readonly excluded: readonly string[];
  /** Instant after which an answer for an excluded account breaks `key-withdrawn`. */
  readonly withdrawnAfterMs: number | null;
  readonly isLatencyMeasured: boolean;
}

/** Share of the capacity that callers use in calm. */
const CALM_SHARE = 0.6;
const OVERLOAD_FACTOR = 3;
const GREEDY_FACTOR = 5;
/** "Within seconds": the stated bound for a change to be in force everywhere. */
const IN_FORCE_MS = 3000;

function disturb(atMs: number, disturbance: Disturbance): readonly [number, BenchEvent] {
  return [atMs, { kind: 'disturb', disturbance }];
}

/**
 * Lists the scenarios.
 *
 * @param topology - the deployment
 * @param isQuick - whether to take the short selection
 * @returns the scenarios in order
 */
export function scenariosFor(topology: Topology, isQuick: boolean): readonly Scenario[] {
  const capacity = capacityPerS(topology);
  const calm = [0, { kind: 'offer', perSecond: capacity * CALM_SHARE }] as const;
  const greedy = topology.accounts.at(-1)?.name ?? '';
  const withdrawn = topology.accounts.at(-2)?.name ?? '';
  const deep = topology.services.find(({ paths }) =>
    paths.some(({ rootShare }) => rootShare === 0),
  );
  const service = deep?.name ?? '';
  const zone = topology.zones[0] ?? '';
  const stretch = isQuick ? 1 : 2;
  const plain = { recovery: null, excluded: [], withdrawnAfterMs: null, isLatencyMeasured: false };
  const overloadMs = [1300, 1300 + 3500 * stretch] as const;
  // The first second only fills the accept queues of the backend servers, in both variants.
  const sustainedMs = [overloadMs[0] + 1000, overloadMs[1]] as const;
  const zoneMs = [800, 1600, 2400, 3600] as const;
  const quick: readonly Scenario[] = [
    {
      ...plain,
      name: 'calm',
      timeline: [calm],
      window: [0, 2200 * stretch],
      isLatencyMeasured: true,
    },
    {
      ...plain,
      name: 'zone-out-and-back',
      timeline: [
        calm,
        disturb(zoneMs[0], { kind: 'zone', zone, state: 'out' }),
        disturb(zoneMs[1], { kind: 'zone-servers', zone, state: 'stopped' }),
        disturb(zoneMs[2], { kind: 'zone-servers', zone, state: 'cold' }),
        disturb(zoneMs[2], { kind: 'zone', zone, state: 'in' }),
      ],
      window: [0, zoneMs[3] * stretch],
    },
    {
      ...plain,
      name: 'greedy-account',
      timeline: [calm, [0, { kind: 'greedy', account: greedy, timesRate: GREEDY_FACTOR }]],
      window: [0, 2200 * stretch],
      excluded: [greedy],
    },
    {
      ...plain,
      name: 'overload',
      timeline: [
        calm,
        [overloadMs[0], { kind: 'offer', perSecond: capacity * OVERLOAD_FACTOR }],
        [overloadMs[1], calm[1]],
      ],
      window: sustainedMs,
      recovery: {
        before: [0, overloadMs[0]],
        endMs: overloadMs[1],
        limitMs: isQuick ? 4000 : 10_000,
      },
    },
  ];
  if (isQuick) return quick;
  const long: readonly Scenario[] = [
    {
      ...plain,
      name: 'deep-service-slowed',
      timeline: [
        calm,
        disturb(2000, { kind: 'slow', service, factor: 4 }),
        disturb(7000, { kind: 'slow', service, factor: 1 }),
      ],
      window: [2000, 7000],
      recovery: { before: [0, 2000], endMs: 7000, limitMs: 10_000 },
    },
    {
      ...plain,
      name: 'cold-server',
      timeline: [calm, disturb(2000, { kind: 'cold', server: `${service}-${zone}` })],
      window: [2000, 8000],
    },
    {
      ...plain,
      name: 'service-down-after-withdrawal',
      timeline: [
        calm,
        disturb(2000, { kind: 'withdraw', accounts: [withdrawn] }),
        disturb(2100, { kind: 'service', isDown: true }),
        disturb(9000, { kind: 'service', isDown: false }),
        disturb(9000, { kind: 'withdraw', accounts: [] }),
      ],
      window: [0, 9000],
      excluded: [withdrawn],
      withdrawnAfterMs: 2000 + IN_FORCE_MS,
    },
    {
      ...plain,
      name: 'silent-connections',
      timeline: [calm, disturb(2000, { kind: 'silent', service })],
      window: [2000, 8000],
    },
    {
      ...plain,
      name: 'crashing-request',
      timeline: [
        calm,
        disturb(1000, { kind: 'crashes', enabled: true }),
        ...[2000, 2500, 3000, 3500, 4000].map((atMs) => [atMs, { kind: 'crash-call' }] as const),
        disturb(8000, { kind: 'crashes', enabled: false }),
      ],
      window: [2000, 8000],
    },
  ];
  return [...quick, ...long];
}
