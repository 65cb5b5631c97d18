import type { ResponseFault } from '../../standin/platform-backend.js';
import type { StoreMode } from '../../standin/platform-store.js';
import type { Random } from '../../standin/process.js';

/** An injected fault or a planned operation. Hosts are numbered from 0. */
export type Fault =
  /** Kills the nodes with SIGKILL and starts them again after `forMs`. */
  | { readonly kind: 'kill'; readonly hosts: readonly number[]; readonly forMs: number }
  /** Suspends the node with SIGSTOP for `forMs`. */
  | { readonly kind: 'freeze'; readonly host: number; readonly forMs: number }
  /** Stops the node with SIGTERM and starts it again. */
  | { readonly kind: 'stop'; readonly host: number }
  /** The store refuses, ignores or drops all requests for `forMs`. */
  | { readonly kind: 'store'; readonly mood: StoreMode; readonly forMs: number }
  /** A backend server injects the fault `how` into a share of its answers, between 0 and 1. */
  | {
      readonly kind: 'misbehave';
      readonly host: number;
      readonly how: ResponseFault;
      readonly share: number;
      readonly forMs: number;
    }
  /** The backend server restarts cold as a new instance at the same address. */
  | { readonly kind: 'crash'; readonly host: number }
  /** Removes the first key from the configuration for `forMs`. */
  | { readonly kind: 'withdraw-key'; readonly forMs: number }
  /** Takes a zone out of service for `forMs`. */
  | { readonly kind: 'evacuate'; readonly zone: string; readonly forMs: number }
  /** Makes the node reload its settings with SIGHUP. */
  | { readonly kind: 'reload'; readonly host: number };

/** A fault and its start time, in milliseconds from the start of the traffic. */
export interface ScheduledFault {
  readonly at: number;
  readonly fault: Fault;
}

/** Hosts and zones that faults can affect. */
export interface FaultScope {
  readonly hosts: number;
  readonly zones: readonly string[];
  readonly random: Random;
}

const STORE_MODES: readonly StoreMode[] = [
  { kind: 'refusing', status: 503 },
  { kind: 'refusing', status: 429 },
  { kind: 'silent' },
  { kind: 'losing' },
];

const RESPONSE_FAULTS: readonly ResponseFault[] = [
  'reset',
  'silent',
  'truncated',
  'unframed-cut',
  'foreign',
  'unsigned',
  'extra',
  'shed',
];

const FAULT_KINDS: readonly Fault['kind'][] = [
  'kill',
  'freeze',
  'stop',
  'store',
  'misbehave',
  'crash',
  'withdraw-key',
  'evacuate',
  'reload',
];

const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 3500;
const MIN_GAP_MS = 300;
const MAX_GAP_MS = 1800;

/** Share of the hosts that a group kill affects, and the probability of killing one host only. */
const GROUP_SHARE = 0.5;

function pick<Item>(items: readonly Item[], random: Random): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('cannot pick from an empty list');
  return item;
}

function drawInteger(from: number, to: number, random: Random): number {
  return Math.round(from + random() * (to - from));
}

function drawFault({ hosts, zones, random }: FaultScope): Fault {
  const host = Math.floor(random() * hosts);
  const forMs = drawInteger(MIN_FAULT_MS, MAX_FAULT_MS, random);
  const kind = pick(FAULT_KINDS, random);
  switch (kind) {
    case 'kill': {
      const others = Array.from({ length: Math.floor(hosts * GROUP_SHARE) }, (_, at) => at * 2);
      return { kind, hosts: random() < GROUP_SHARE ? [host] : others, forMs };
    }
    case 'freeze':
      return { kind, host, forMs };
    case 'stop':
    case 'crash':
    case 'reload':
      return { kind, host };
    case 'store':
      return { kind, mood: pick(STORE_MODES, random), forMs };
    case 'misbehave':
      return { kind, host, how: pick(RESPONSE_FAULTS, random), share: random(), forMs };
    case 'withdraw-key':
      return { kind, forMs };
    case 'evacuate':
      return { kind, zone: pick(zones, random), forMs };
  }
}

/**
 * Draws the faults of a run. Faults can overlap.
 *
 * @param scope - hosts, zones and the source of random numbers
 * @param lengthMs - period in which faults start, in milliseconds
 * @returns the faults in order of their start time
 */
export function drawFaults(scope: FaultScope, lengthMs: number): readonly ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  for (
    let at = MIN_GAP_MS;
    at < lengthMs;
    at += drawInteger(MIN_GAP_MS, MAX_GAP_MS, scope.random)
  ) {
    faults.push({ at, fault: drawFault(scope) });
  }
  return faults;
}
