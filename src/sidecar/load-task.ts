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

/** What the load task needs. */
export interface LoadTaskOptions {
  readonly clock: Clock;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
}

/** Shortest and longest wait that refused callers are told; it grows with the refused share. */
const RETURN_DELAY_MIN_MS: Milliseconds = 300;
const RETURN_DELAY_MAX_MS: Milliseconds = 2000;

/** The part of a request that the load task needs. */
export type LoadSubject = Pick<AdmittedRequest, 'route' | 'rank'>;

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}

/** What the load task is told. */
export interface LoadMessage {
  /** A gate has replied to a call. */
  readonly kind: 'call-ended';
  readonly subject: LoadSubject;
  /** Load that the gate told with the reply. */
  readonly load: GateLoad;
  readonly outcome: MeshOutcome;
}

/** Owner of what replies tell of the load of routes, and of the share of requests let in. */
export class LoadTask {
  readonly #options: LoadTaskOptions;

  readonly #loads = new Map<RouteName, RouteLoad>();

  readonly #admissions = new Map<string, RankedAdmission>();

  /** Highest pressure on calls of the own backend server. */
  #nested: SmoothedPressure = noPressure;

  /**
   * @param options - clock and randomness
   */
  constructor(options: LoadTaskOptions) {
    this.#options = options;
  }

  /** @returns pressure on the calls that the own backend server makes, from 0 to 1 */
  get downstreamPressure(): number {
    return currentPressure(this.#nested, this.#options.clock.now());
  }

  /**
   * Learns from a reply of a gate.
   *
   * @param message - the message
   */
  send({ subject: { route, rank }, load, outcome }: LoadMessage): void {
    const now = this.#options.clock.now();
    if (rank.isNested) {
      const own = isOverload(outcome, load) ? 1 : load.pressure;
      this.#nested = addPressureSample(this.#nested, Math.max(own, load.downstreamPressure), now);
      return;
    }
    const before = this.#loads.get(route.name) ?? initialRouteLoad;
    this.#loads.set(route.name, recordOutcome(before, load, outcome, now));
  }

  /**
   * Decides whether a request is let in.
   *
   * @param subject - the request
   * @returns null when it is let in
   */
  limit({ route, rank }: LoadSubject): Limitation | null {
    const now = this.#options.clock.now();
    const key = `${route.name} ${rank.accountPriority}`;
    const pressure = routePressure(this.#loads, route.name, now);
    const before = this.#admissions.get(key) ?? openAdmission;
    const spared = isProtected(this.#loads, this.#admissions.values(), route.name, rank, now);
    const { admission, isAdmitted } = admitRoot(before, pressure, rank, spared, now);
    this.#admissions.set(key, { ...admission, rank, route: route.name });
    if (isAdmitted) return null;
    const details = {
      route: route.name,
      pressure: rounded(pressure),
      admitted: rounded(admission.fraction),
    };
    return { retryAfterMs: this.returnDelayMs(route), details };
  }

  /**
   * Chooses when a refused caller may come back. The spread keeps callers that were refused
   * together from returning together.
   *
   * @param route - route of the request
   * @returns a wait
   */
  returnDelayMs({ name }: PrefixRoute): Milliseconds {
    const refused = [...this.#admissions.values()]
      .filter(({ route }) => route === name)
      .reduce((most, { fraction }) => Math.max(most, 1 - fraction), 0);
    const longest = RETURN_DELAY_MIN_MS + (RETURN_DELAY_MAX_MS - RETURN_DELAY_MIN_MS) * refused;
    // The more is refused, the less an early return helps: it would be refused again.
    const shortest = RETURN_DELAY_MIN_MS + (longest - RETURN_DELAY_MIN_MS) * (refused / 2);
    return shortest + this.#options.random() * (longest - shortest);
  }
}
