import type { AdmittedRequest } from '../core/exchange/admission-pipeline.js';
import type { GateLoad, MeshOutcome, Rank } from '../core/exchange/mesh-call.js';
import type { ServiceName } from '../core/model/names.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import type { PrefixRoute } from '../core/policy/policy.js';
import {
  addPressure,
  noPressure,
  pressureNow,
  type PressureView,
} from '../core/shedding/pressure-view.js';
import { admitRoot, openAdmission, type RootAdmission } from '../core/shedding/root-admission.js';

/** What the load task needs. */
export interface LoadTaskOptions {
  readonly clock: Clock;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
}

/** Shortest and longest wait that refused callers are told; it grows with the refused share. */
const RETURN_DELAY_MIN_MS: Milliseconds = 300;
const RETURN_DELAY_MAX_MS: Milliseconds = 2000;

/** Refusals that say that a service has no room, as opposed to a fault of one gate. */
function isOverload(outcome: MeshOutcome): boolean {
  return (
    outcome.kind === 'refused' && (outcome.code === 'overloaded' || outcome.code === 'serverShed')
  );
}

/** Owner of what replies tell of the load of services, and of the share of requests let in. */
export class LoadTask {
  readonly #options: LoadTaskOptions;

  /** Pressure of each service as new requests and as calls of the own backend server see it. */
  readonly #roots = new Map<ServiceName, PressureView>();

  readonly #nested = new Map<ServiceName, PressureView>();

  readonly #admissions = new Map<string, RootAdmission>();

  /**
   * @param options - clock and randomness
   */
  constructor(options: LoadTaskOptions) {
    this.#options = options;
  }

  /** @returns pressure of the services that the own backend server calls, from 0 to 1 */
  get downstreamPressure(): number {
    const now = this.#options.clock.now();
    return [...this.#nested.values()].reduce(
      (highest, view) => Math.max(highest, pressureNow(view, now)),
      0,
    );
  }

  /**
   * Learns from a reply of a gate.
   *
   * @param request - the request
   * @param load - load that came with the reply
   * @param outcome - what became of the call
   */
  told({ service, rank }: AdmittedRequest, load: GateLoad, outcome: MeshOutcome): void {
    const views = rank.isNested ? this.#nested : this.#roots;
    const sample = isOverload(outcome) ? 1 : load.pressure;
    const view = views.get(service) ?? noPressure;
    views.set(service, addPressure(view, sample, this.#options.clock.now()));
  }

  /**
   * Decides whether a new request is let in.
   *
   * @param route - its route
   * @param service - service that it goes to
   * @param rank - its rank
   * @returns whether it is let in
   */
  admit(route: PrefixRoute, service: ServiceName, rank: Rank): boolean {
    const now = this.#options.clock.now();
    const key = `${route.name} ${rank.accountPriority}`;
    const pressure = pressureNow(this.#roots.get(service) ?? noPressure, now);
    const before = this.#admissions.get(key) ?? openAdmission;
    const { admission, isAdmitted } = admitRoot(before, pressure, rank, now);
    this.#admissions.set(key, admission);
    return isAdmitted;
  }

  /**
   * Chooses when a refused caller may come back. The spread keeps callers that were refused
   * together from returning together.
   *
   * @param route - route of the request
   * @returns a wait
   */
  returnDelayMs(route: PrefixRoute): Milliseconds {
    const refused = [...this.#admissions]
      .filter(([key]) => key.startsWith(`${route.name} `))
      .reduce((most, [, { fraction }]) => Math.max(most, 1 - fraction), 0);
    const longest = RETURN_DELAY_MIN_MS + (RETURN_DELAY_MAX_MS - RETURN_DELAY_MIN_MS) * refused;
    return RETURN_DELAY_MIN_MS + this.#options.random() * (longest - RETURN_DELAY_MIN_MS);
  }
}
