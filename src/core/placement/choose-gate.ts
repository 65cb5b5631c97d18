import type { Instance } from '../directory/instance.js';
import type { GateLoad } from '../exchange/mesh-call.js';
import type { ZoneName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { isStalled, initialGateView, type GateView } from './gate-view.js';

/** A load report older than this is ignored. */
const LOAD_LIFETIME_MS: Milliseconds = 2000;

/** Service time assumed while no gate of a service has reported its load recently. */
const DEFAULT_SERVICE_TIME_MS: Milliseconds = 50;

/** The expected time in another zone is multiplied by this, so a gate there has to be faster. */
const CROSS_ZONE_FACTOR = 1.5;

/** Utilization above which a queue is likely to form. */
const BUSY_UTILIZATION = 0.8;

/** Weight of the failure rate: a rate of 1 adds this many times the expected time. */
const FAILURE_FACTOR = 8;

/** The expected time of a cold backend server is multiplied by this, as its capacity is low. */
const COLD_FACTOR = 3;

/** Inputs of the choice. */
export interface ChoiceOptions {
  readonly candidates: readonly Instance[];
  readonly views: ReadonlyMap<string, GateView>;
  /** Zone of the sending node. */
  readonly zone: ZoneName;
  /** Identifiers of instances that this request has already been sent to. */
  readonly tried: ReadonlySet<string>;
  readonly now: Instant;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
}

/** An instance with the expected time of a call there. */
export interface ScoredInstance {
  readonly instance: Instance;
  readonly scoreMs: Milliseconds;
}

function recentLoad(view: GateView, now: Instant): GateLoad | null {
  return now - view.loadReceivedAt < LOAD_LIFETIME_MS ? view.load : null;
}

/**
 * Mean service time of the gates with a recent report. The others are expected to be like them: a
 * fixed time would keep a gate of a fast service unused once its report is old, and a new one for
 * ever.
 */
function typicalServiceTime({ candidates, views, now }: ChoiceOptions): Milliseconds {
  const reported = candidates.flatMap(({ id }) => {
    const view = views.get(id);
    return (view === undefined ? null : recentLoad(view, now))?.serviceTimeMs ?? [];
  });
  if (reported.length === 0) return DEFAULT_SERVICE_TIME_MS;
  return reported.reduce((sum, serviceTimeMs) => sum + serviceTimeMs, 0) / reported.length;
}

function expectedTime(
  instance: Instance,
  view: GateView,
  typicalMs: Milliseconds,
  options: ChoiceOptions,
): Milliseconds {
  const { now, zone } = options;
  const load = recentLoad(view, now);
  const limit = load?.limit ?? instance.slots;
  const busy = load === null ? view.outstanding : load.busy + view.sentSinceLoad;
  const serviceTimeMs = load?.serviceTimeMs ?? typicalMs;
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
    (isCold ? COLD_FACTOR : 1) *
    (instance.zone === zone ? 1 : CROSS_ZONE_FACTOR)
  );
}

/**
 * Chooses the gate with the lowest expected time. Traffic between zones costs money, so gates of
 * other zones have to be faster by a margin. Only two random candidates from the own zone and two
 * from the other zones are compared, so that senders with the same view do not all choose the
 * same gate.
 *
 * @param options - candidates and their views
 * @returns the instance with its score, or null when no candidate is left
 */
export function chooseGate(options: ChoiceOptions): ScoredInstance | null {
  const { candidates, views, tried, now, random } = options;
  const untried = candidates.filter(({ id }) => !tried.has(id));
  const viewOf = (instance: Instance) => views.get(instance.id) ?? initialGateView;
  const available = untried.filter((instance) => {
    const view = viewOf(instance);
    return view.avoidUntil <= now && !isStalled(view, now);
  });
  const pool = available.length > 0 ? available : untried;
  const pickTwo = (from: readonly Instance[]): readonly Instance[] => {
    if (from.length <= 2) return from;
    const first = Math.floor(random() * from.length);
    const second = (first + 1 + Math.floor(random() * (from.length - 1))) % from.length;
    return [first, second].flatMap((at) => from[at] ?? []);
  };
  const local = pickTwo(pool.filter(({ zone }) => zone === options.zone));
  const remote = pickTwo(pool.filter(({ zone }) => zone !== options.zone));
  const typicalMs = typicalServiceTime(options);
  return [...local, ...remote].reduce<ScoredInstance | null>((best, instance) => {
    const scoreMs = expectedTime(instance, viewOf(instance), typicalMs, options);
    return best === null || scoreMs < best.scoreMs ? { instance, scoreMs } : best;
  }, null);
}
