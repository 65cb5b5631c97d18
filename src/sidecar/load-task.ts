import type { AdmittedRequest, Limitation } from '../core/exchange/admission-pipeline.js';
import type { GateLoad, MeshOutcome } from '../core/exchange/mesh-call.js';
import type { RouteName } from '../core/model/names.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { PrefixRoute } from '../core/policy/policy.js';
import {
  addPressureSample,
  noPressure,
  currentPressure,
  type SmoothedPressure,
} from '../core/shedding/smoothed-pressure.js';
import { admitRoot, openAdmission } from '../core/shedding/root-admission.js';
import {
  applySharedLoad,
  type NodeRouteReport,
  type SharedRouteLoad,
} from '../core/shedding/load-exchange.js';
import {
  describeReply,
  isOverload,
  recordReport,
  initialRouteLoad,
  overloadDuty,
  routePressure,
  type RankedAdmission,
  type RouteLoad,
  type RouteReport,
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
export type LoadMessage =
  /** A gate has replied to a call. */
  | {
      readonly kind: 'call-ended';
      readonly rankedRequest: RankedRequest;
      /** Load that the gate reported with the reply. */
      readonly load: GateLoad;
      readonly outcome: MeshOutcome;
    }
  /** Loads over all nodes, from the node that adds them up. */
  | { readonly kind: 'loads-shared'; readonly loads: readonly SharedRouteLoad[] };

/** Sums of the reports of replies since the last report to other nodes. */
interface UnsentReport {
  readonly replies: number;
  readonly sum: RouteReport;
}

function addReport(before: UnsentReport | undefined, report: RouteReport): UnsentReport {
  if (before === undefined) return { replies: 1, sum: report };
  const { replies, sum } = before;
  return {
    replies: replies + 1,
    sum: {
      pressure: sum.pressure + report.pressure,
      fullPressure: sum.fullPressure + report.fullPressure,
      hasLostCalls: sum.hasLostCalls || report.hasLostCalls,
    },
  };
}

/** Task that owns the load per route, as replies report it, and the admitted share of requests. */
export class LoadTask {
  readonly #options: LoadTaskOptions;

  readonly #loads = new Map<RouteName, RouteLoad>();

  readonly #unsent = new Map<RouteName, UnsentReport>();

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

  /** @returns the lowest share of the requests of each route that is admitted at present */
  get admittedShares(): ReadonlyMap<RouteName, number> {
    const shares = new Map<RouteName, number>();
    this.#admissions.forEach(({ route, fraction }) => {
      shares.set(route, Math.min(fraction, shares.get(route) ?? 1));
    });
    return shares;
  }

  /**
   * Handles a message.
   *
   * @param message - the message
   */
  send(message: LoadMessage): void {
    switch (message.kind) {
      case 'call-ended':
        this.#recordReply(message.rankedRequest, message.load, message.outcome);
        break;
      case 'loads-shared':
        this.#applyShared(message.loads);
        break;
    }
  }

  /** @returns what replies reported since the last call, one item for each route */
  takeReports(): readonly NodeRouteReport[] {
    const reports = [...this.#unsent].map(([route, { replies, sum }]) => ({
      route,
      pressure: sum.pressure / replies,
      fullPressure: sum.fullPressure / replies,
      hasLostCalls: sum.hasLostCalls,
    }));
    this.#unsent.clear();
    return reports;
  }

  #recordReply({ route, rank }: RankedRequest, load: GateLoad, outcome: MeshOutcome): void {
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
    const report = describeReply(load, outcome);
    this.#loads.set(route.name, recordReport(before, report, now));
    this.#unsent.set(route.name, addReport(this.#unsent.get(route.name), report));
  }

  /** Applies the loads over all nodes to the routes that this node has requests of. */
  #applyShared(loads: readonly SharedRouteLoad[]): void {
    const now = this.#options.clock.now();
    const byRoute = new Map(loads.map((load) => [load.route, load]));
    this.#loads.forEach((own, route) => {
      this.#loads.set(route, applySharedLoad(own, byRoute.get(route), now));
    });
  }

  /**
   * Decides whether a request is admitted under the current load of its route.
   *
   * @param request - route and rank of the request
   * @returns null when it is admitted
   */
  limit({ route, rank }: RankedRequest): Limitation | null {
    const now = this.#options.clock.now();
    // Loads over all nodes are applied to the routes that are known here.
    if (!this.#loads.has(route.name)) this.#loads.set(route.name, initialRouteLoad);
    const key = `${route.name} ${rank.accountPriority}`;
    const pressure = routePressure(this.#loads, route.name, now);
    const before = this.#admissions.get(key) ?? openAdmission;
    const own = { route: route.name, rank, fraction: before.fraction };
    const duty = overloadDuty(this.#loads, this.#admissions.values(), own, now);
    const { admission, isAdmitted } = admitRoot(before, pressure, duty, now);
    this.#admissions.set(key, { ...admission, rank, route: route.name });
    if (isAdmitted) return null;
    const details = {
      route: route.name,
      pressure: roundToHundredths(pressure),
      admitted: roundToHundredths(admission.fraction),
      loadAgeMs: this.#ageOf(route.name, now),
    };
    return { retryAfterMs: this.chooseRetryAfterMs(route), details };
  }

  /** Time since the load of a route was last reported; -1 without a report. */
  #ageOf(route: RouteName, now: Instant): Milliseconds {
    const at = this.#loads.get(route)?.pressure.at ?? 0;
    return at === 0 ? -1 : Math.round(now - at);
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
