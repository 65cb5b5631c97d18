import type { Instance } from '../directory/instance.js';
import type { ZoneName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { isStalled, initialGateView, type GateView } from './gate-view.js';

/** A load that was told longer ago says nothing any more. */
const LOAD_LIFETIME_MS: Milliseconds = 2000;

/** Running time that is assumed for a gate that has told nothing. */
const DEFAULT_SERVICE_TIME_MS: Milliseconds = 50;

/** A gate of another zone is chosen when its expected time is below this share of the local one. */
const CROSS_ZONE_FACTOR = 1.5;

/** Above this share of its limit, a queue is about to form. */
const BUSY_UTILIZATION = 0.8;

/** A gate whose calls all fail is as unattractive as one with this many times its time. */
const FAILURE_FACTOR = 8;

/** A cold backend server bears little, so it counts as this many times as slow. */
const COLD_FACTOR = 3;

/** What the choice depends on. */
export interface ChoiceOptions {
  readonly candidates: readonly Instance[];
  readonly views: ReadonlyMap<string, GateView>;
  /** Zone of the sender. */
  readonly zone: ZoneName;
  /** Instances that this request was sent to before. */
  readonly tried: ReadonlySet<string>;
  readonly now: Instant;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
}

/** A gate with the time that a call is expected to take there. */
export interface ScoredInstance {
  readonly instance: Instance;
  readonly scoreMs: Milliseconds;
}

function expectedTime(instance: Instance, view: GateView, options: ChoiceOptions): Milliseconds {
  const { now, zone } = options;
  const isFresh = now - view.loadReceivedAt < LOAD_LIFETIME_MS;
  const load = isFresh ? view.load : null;
  const limit = load?.limit ?? instance.slots;
  const busy = load === null ? view.outstanding : load.busy + view.sentSinceLoad;
  const serviceTimeMs = load?.serviceTimeMs ?? DEFAULT_SERVICE_TIME_MS;
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
 * Chooses a gate. Gates of the own zone go first, since bytes between zones cost, until others
 * are expected to be faster by a margin. Two random candidates of each side are compared, so that
 * senders with the same view do not all choose the same gate.
 *
 * @param options - candidates and what is known of them
 * @returns the gate, or null when there is no candidate left
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
  return [...local, ...remote].reduce<ScoredInstance | null>((best, instance) => {
    const scoreMs = expectedTime(instance, viewOf(instance), options);
    return best === null || scoreMs < best.scoreMs ? { instance, scoreMs } : best;
  }, null);
}
