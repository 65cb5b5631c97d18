import { drawEndlessForm, type EndlessForm } from '../../standin/endless-forms.js';
import type { ResponseFault } from '../../standin/platform-backend.js';
import type { StoreMode } from '../../standin/platform-store.js';
import { createRandom, type Random } from '../../standin/process.js';

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
  /** A backend server answers a share of its requests, between 0 and 1, without end. */
  | {
      readonly kind: 'answer-without-end';
      readonly host: number;
      readonly form: EndlessForm;
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

/**
 * Faults of a run: failures of nodes, store and backend servers that the first soaks drew, answers
 * without end, or both. Each has a random source of its own, so both draw what each draws alone.
 */
export type FaultSelection = 'failures' | 'answers-without-end' | 'all';

export const FAULT_SELECTIONS: readonly FaultSelection[] = [
  'failures',
  'answers-without-end',
  'all',
];

/** Hosts and zones that faults can affect. */
export interface FaultScope {
  readonly hosts: number;
  readonly zones: readonly string[];
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

type FailureKind = Exclude<Fault['kind'], 'answer-without-end'>;

const FAILURE_KINDS: readonly FailureKind[] = [
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

/** The callers and the fleet of a run use the numbers in between. */
const ENDLESS_SEED_OFFSET = 3;
const SKIPPED_NUMBERS = 20;

function pick<Item>(items: readonly Item[], random: Random): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('cannot pick from an empty list');
  return item;
}

function drawInteger(from: number, to: number, random: Random): number {
  return Math.round(from + random() * (to - from));
}

function drawFailure({ hosts, zones }: FaultScope, random: Random): Fault {
  const host = Math.floor(random() * hosts);
  const forMs = drawInteger(MIN_FAULT_MS, MAX_FAULT_MS, random);
  const kind = pick(FAILURE_KINDS, random);
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

function drawEndlessAnswerFault({ hosts }: FaultScope, random: Random): Fault {
  return {
    kind: 'answer-without-end',
    host: Math.floor(random() * hosts),
    form: drawEndlessForm(random),
    share: random(),
    forMs: drawInteger(MIN_FAULT_MS, MAX_FAULT_MS, random),
  };
}

function drawSchedule(
  lengthMs: number,
  random: Random,
  draw: () => Fault,
): readonly ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  for (let at = MIN_GAP_MS; at < lengthMs; at += drawInteger(MIN_GAP_MS, MAX_GAP_MS, random)) {
    faults.push({ at, fault: draw() });
  }
  return faults;
}

/**
 * Draws the faults of a run. Faults can overlap.
 *
 * @param scope - hosts and zones
 * @param selection - faults to draw
 * @param seed - seed of the draw
 * @param lengthMs - period in which faults start, in milliseconds
 * @returns the faults in order of their start time
 */
export function drawFaults(
  scope: FaultScope,
  selection: FaultSelection,
  seed: number,
  lengthMs: number,
): readonly ScheduledFault[] {
  switch (selection) {
    case 'failures': {
      const random = createRandom(seed);
      return drawSchedule(lengthMs, random, () => drawFailure(scope, random));
    }
    case 'answers-without-end': {
      const random = createRandom(seed + ENDLESS_SEED_OFFSET);
      // The first numbers of seeds close to each other are alike.
      for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped += 1) random();
      return drawSchedule(lengthMs, random, () => drawEndlessAnswerFault(scope, random));
    }
    case 'all':
      return [
        ...drawFaults(scope, 'failures', seed, lengthMs),
        ...drawFaults(scope, 'answers-without-end', seed, lengthMs),
      ].sort((one, other) => one.at - other.at);
  }
}
