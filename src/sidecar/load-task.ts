import type { AdmittedRequest, Limitation } from '../core/exchange/admission-pipeline.js';
import type { GateLoad, MeshOutcome } from '../core/exchange/mesh-call.js';
import type { RouteName } from '../core/model/names.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import type { PrefixRoute } from '../core/policy/policy.js';
import {
  addPressureSample,
  noPressure,
  currentPressure,
  type SmoothedPressure,
} from '../core/shedding/smoothed-pressure.js';
import { admitRoot, openAdmission } from '../core/shedding/root-admission.js';
import {
  isOverload,
  isProtected,
  recordOutcome,
  initialRouteLoad,
  routePressure,
  type RankedAdmission,
  type RouteLoad,
} from '../core/shedding/route-load.js';

/** Options of the load task. */
export interface LoadTaskOptions {
  readonly clock: Clock;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
}

/** Range of the retry delay for refused callers; the delay grows with the refused share. */
const RETRY_AFTER_MIN_MS: Milliseconds = 300;
const RETRY_AFTER_MAX_MS: Milliseconds = 2000;

/** The part of a request that the load task needs. */
export type RankedRequest = Pick<AdmittedRequest, 'route' | 'rank'>;

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Message to the load task. */
export interface LoadMessage {
  /** A gate has replied to a call. */
  readonly kind: 'call-ended';
  readonly rankedRequest: RankedRequest;
  /** Load that the gate reported with the reply. */
  readonly load: GateLoad;
  readonly outcome: MeshOutcome;
}

/** Task that owns the load per route, as replies report it, and the admitted share of requests. */
export class LoadTask {
  readonly #options: LoadTaskOptions;

  readonly #loads = new Map<RouteName, RouteLoad>();

  readonly #admissions = new Map<string, RankedAdmission>();

  /** Highest pressure on the calls that the own backend server makes. */
  #nestedPressure: SmoothedPressure = noPressure;

  /**
   * @param options - clock and source of random numbers
   */
  constructor(options: LoadTaskOptions) {
    this.#options = options;
  }

  /** @returns pressure on the calls that the own backend server makes, from 0 to 1 */
  get downstreamPressure(): number {
    return currentPressure(this.#nestedPressure, this.#options.clock.now());
  }

  /**
   * Records the load that a gate reported.
   *
   * @param message - reply of the gate with its request
   */
  send({ rankedRequest: { route, rank }, load, outcome }: LoadMessage): void {
    const now = this.#options.clock.now();
    if (rank.isNested) {
      const gatePressure = isOverload(outcome, load) ? 1 : load.pressure;
      this.#nestedPressure = addPressureSample(
        this.#nestedPressure,
        Math.max(gatePressure, load.downstreamPressure),
        now,
      );
      return;
    }
    const before = this.#loads.get(route.name) ?? initialRouteLoad;
    this.#loads.set(route.name, recordOutcome(before, load, outcome, now));
  }

  /**
   * Decides whether a request is admitted under the current load of its route.
   *
   * @param request - route and rank of the request
   * @returns null when it is admitted
   */
  limit({ route, rank }: RankedRequest): Limitation | null {
    const now = this.#options.clock.now();
    const key = `${route.name} ${rank.accountPriority}`;
    const pressure = routePressure(this.#loads, route.name, now);
    const before = this.#admissions.get(key) ?? openAdmission;
    const isExempt = isProtected(this.#loads, this.#admissions.values(), route.name, rank, now);
    const { admission, isAdmitted } = admitRoot(before, pressure, rank, isExempt, now);
    this.#admissions.set(key, { ...admission, rank, route: route.name });
    if (isAdmitted) return null;
    const details = {
      route: route.name,
      pressure: roundToHundredths(pressure),
      admitted: roundToHundredths(admission.fraction),
    };
    return { retryAfterMs: this.chooseRetryAfterMs(route), details };
  }

  /**
   * Chooses the retry delay for a refused caller. Its jitter keeps callers that were refused
   * together from retrying together.
   *
   * @param route - route of the request
   * @returns a time in milliseconds
   */
  chooseRetryAfterMs({ name }: PrefixRoute): Milliseconds {
    const refusedShare = [...this.#admissions.values()]
      .filter(({ route }) => route === name)
      .reduce((highest, { fraction }) => Math.max(highest, 1 - fraction), 0);
    const longestMs = RETRY_AFTER_MIN_MS + (RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS) * refusedShare;
    // The minimum grows with the refused share: an early retry would only be refused again.
    const shortestMs = RETRY_AFTER_MIN_MS + (longestMs - RETRY_AFTER_MIN_MS) * (refusedShare / 2);
    return shortestMs + this.#options.random() * (longestMs - shortestMs);
  }
}
