import type { Instance, InstanceId } from '../directory/instance.js';
import type { GateLoad } from '../exchange/mesh-call.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { ServiceGates } from './gate-table.js';
import { isStalled, initialGateView, type GateView } from './gate-view.js';
import { LOAD_LIFETIME_MS } from './service-time.js';

/** The expected time in another zone is multiplied by this, so a gate there has to be faster. */
const CROSS_ZONE_FACTOR = 1.5;

/** Utilization above which a queue is likely to form. */
const BUSY_UTILIZATION = 0.8;

/** Weight of the failure rate: a rate of 1 adds this many times the expected time. */
const FAILURE_FACTOR = 8;

/** The expected time of a cold backend server is multiplied by this, as its capacity is low. */
const COLD_FACTOR = 3;

/**
 * Random gates that are looked at before all of a service are. Where half of them can be used, two
 * are found in all but one of nine choices.
 */
const MAX_PROBES = 6;

/** Inputs of the choice. */
export interface ChoiceOptions {
  readonly gates: ServiceGates;
  readonly views: ReadonlyMap<InstanceId, GateView>;
  /** Identifiers of instances that this request has already been sent to. */
  readonly tried: ReadonlySet<InstanceId>;
  readonly isLeaving: (instance: Instance) => boolean;
  readonly isReachable: (instance: Instance) => boolean;
  /** Service time of a gate without a recent report. */
  readonly expectedServiceTimeMs: Milliseconds;
  readonly now: Instant;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
}

/** An instance with the expected time of a call there. */
export interface ScoredInstance {
  readonly instance: Instance;
  readonly scoreMs: Milliseconds;
}

type Filter = (instance: Instance) => boolean;

function recentLoad(view: GateView, now: Instant): GateLoad | null {
  return now - view.loadReceivedAt < LOAD_LIFETIME_MS ? view.load : null;
}

function expectedTime(
  instance: Instance,
  view: GateView,
  { now, expectedServiceTimeMs }: ChoiceOptions,
): Milliseconds {
  const load = recentLoad(view, now);
  const limit = load?.limit ?? instance.slots;
  const busy = load === null ? view.outstanding : load.busy + view.sentSinceLoad;
  const serviceTimeMs = load?.serviceTimeMs ?? expectedServiceTimeMs;
  const utilization = busy / limit;
  const loadFactor =
    utilization < BUSY_UTILIZATION
      ? 1 + utilization / 2
      : 1 + utilization / 2 + (utilization - BUSY_UTILIZATION) * 5;
  const isCold = load?.isCold ?? instance.warmUpLeftMs > 0;
  return (
    serviceTimeMs *
    loadFactor *
    (1 + view.failureRate * FAILURE_FACTOR) *
    (isCold ? COLD_FACTOR : 1)
  );
}

function pickTwoOf(usable: readonly Instance[], random: () => number): readonly Instance[] {
  if (usable.length <= 2) return usable;
  const first = Math.floor(random() * usable.length);
  const second = (first + 1 + Math.floor(random() * (usable.length - 1))) % usable.length;
  return [first, second].flatMap((at) => usable[at] ?? []);
}

/** Picks two random gates that can be used; random probes rarely have to look at many of them. */
function pickTwo(
  from: readonly Instance[],
  isUsable: Filter,
  random: () => number,
): readonly Instance[] {
  if (from.length <= MAX_PROBES) return pickTwoOf(from.filter(isUsable), random);
  let first: Instance | null = null;
  for (let probe = 0; probe < MAX_PROBES; probe += 1) {
    const instance = from[Math.floor(random() * from.length)];
    if (instance !== undefined && instance !== first && isUsable(instance)) {
      if (first !== null) return [first, instance];
      first = instance;
    }
  }
  return pickTwoOf(from.filter(isUsable), random);
}

function isAvailable({ id }: Instance, { views, now }: ChoiceOptions): boolean {
  const view = views.get(id);
  return view === undefined || (view.avoidUntil <= now && !isStalled(view, now));
}

/** Gates to choose from when none is free of doubts. */
function listDoubtful(options: ChoiceOptions): ReadonlySet<Instance> {
  const { gates, tried, isLeaving, isReachable } = options;
  const staying = [...gates.local, ...gates.remote].filter((instance) => !isLeaving(instance));
  const reachable = staying.filter(isReachable);
  const untried = (reachable.length > 0 ? reachable : staying).filter(({ id }) => !tried.has(id));
  const available = untried.filter((instance) => isAvailable(instance, options));
  return new Set(available.length > 0 ? available : untried);
}

function score(instance: Instance, zoneFactor: number, options: ChoiceOptions): ScoredInstance {
  const view = options.views.get(instance.id) ?? initialGateView;
  return { instance, scoreMs: expectedTime(instance, view, options) * zoneFactor };
}

function faster(best: ScoredInstance | null, other: ScoredInstance): ScoredInstance {
  return best === null || other.scoreMs < best.scoreMs ? other : best;
}

function chooseAmong(isUsable: Filter, options: ChoiceOptions): ScoredInstance | null {
  const { gates, random } = options;
  const local = pickTwo(gates.local, isUsable, random).reduce<ScoredInstance | null>(
    (best, instance) => faster(best, score(instance, 1, options)),
    null,
  );
  return pickTwo(gates.remote, isUsable, random).reduce(
    (best, instance) => faster(best, score(instance, CROSS_ZONE_FACTOR, options)),
    local,
  );
}

/**
 * Chooses the gate with the lowest expected time. Traffic between zones costs money, so gates of
 * other zones have to be faster by a margin. Only two random candidates from the own zone and two
 * from the other zones are compared, so that senders with the same view do not all choose the
 * same gate.
 *
 * @param options - the gates of the service, and what is known of them
 * @returns the instance with its score, or null when no gate is left
 */
export function chooseGate(options: ChoiceOptions): ScoredInstance | null {
  const { tried, isLeaving, isReachable } = options;
  const sound = chooseAmong(
    (instance) =>
      !tried.has(instance.id) &&
      isAvailable(instance, options) &&
      !isLeaving(instance) &&
      isReachable(instance),
    options,
  );
  if (sound !== null) return sound;
  const doubtful = listDoubtful(options);
  return chooseAmong((instance) => doubtful.has(instance), options);
}
