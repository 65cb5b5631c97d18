import type { AdmittedRequest, Limitation } from '../core/exchange/admission-pipeline.js';
import {
  compareRanks,
  type GateLoad,
  type MeshOutcome,
  type Rank,
} from '../core/exchange/mesh-call.js';
import type { RouteName } from '../core/model/names.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
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

/** Pressure behind a gate from which on a failed run counts as a sign of overload. */
const OVERLOAD_PRESSURE = 0.2;

const SERVER_ERROR_STATUS = 500;

/**
 * Whether a call came to nothing for lack of room, at its own gate or at one further down. Other
 * failures are faults of one backend server, which placement answers.
 */
function isOverload(outcome: MeshOutcome, { downstreamPressure }: GateLoad): boolean {
  switch (outcome.kind) {
    case 'refused':
      return outcome.code === 'overloaded' || outcome.code === 'serverShed';
    case 'answered':
      return outcome.status >= SERVER_ERROR_STATUS && downstreamPressure >= OVERLOAD_PRESSURE;
    case 'failed':
      return false;
  }
}

/** A route counts as one whose calls meet overload for this time after one of them did. */
const AFFECTED_MS: Milliseconds = 3000;

/** Requests of higher ranks are spared while more than this fraction of lower ones is let in. */
const SPARED_FRACTION = 0.15;

/** Requests of a kind that has not come for this time leave no room to take back. */
const RECENT_MS: Milliseconds = 1000;

/** Admission of the requests of one route and rank. */
interface RankedAdmission extends RootAdmission {
  readonly route: RouteName;
  readonly rank: Rank;
}

/** The part of a request that the load task needs. */
export type LoadSubject = Pick<AdmittedRequest, 'route' | 'rank'>;

/** Owner of what replies tell of the load of services, and of the share of requests let in. */
export class LoadTask {
  readonly #options: LoadTaskOptions;

  /** Pressure that new requests of each route meet. */
  readonly #pressures = new Map<RouteName, PressureView>();

  /** When a request of each route last lost one of its calls for lack of room. */
  readonly #lostAt = new Map<RouteName, Instant>();

  /** Highest pressure on calls of the own backend server. */
  #nested: PressureView = noPressure;

  readonly #admissions = new Map<string, RankedAdmission>();

  /**
   * @param options - clock and randomness
   */
  constructor(options: LoadTaskOptions) {
    this.#options = options;
  }

  /** @returns pressure on the calls that the own backend server makes, from 0 to 1 */
  get downstreamPressure(): number {
    return pressureNow(this.#nested, this.#options.clock.now());
  }

  /**
   * Learns from a reply of a gate.
   *
   * @param subject - the request
   * @param load - load that came with the reply
   * @param outcome - what became of the call
   */
  told({ route, rank }: LoadSubject, load: GateLoad, outcome: MeshOutcome): void {
    const now = this.#options.clock.now();
    if (rank.isNested) {
      const sample = isOverload(outcome, load) ? 1 : load.pressure;
      const deepest = Math.max(sample, load.downstreamPressure);
      this.#nested = addPressure(this.#nested, deepest, now);
      return;
    }
    const isLost = isOverload(outcome, load);
    if (isLost && outcome.kind === 'answered') this.#lostAt.set(route.name, now);
    // Waits further down concern only routes whose requests get there.
    const pressure = this.#isAffected(route.name, now)
      ? Math.max(load.pressure, load.downstreamPressure)
      : load.pressure;
    const view = this.#pressures.get(route.name) ?? noPressure;
    this.#pressures.set(route.name, addPressure(view, isLost ? 1 : pressure, now));
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
    const pressure = this.#pressureOn(route.name, now);
    const before = this.#admissions.get(key) ?? openAdmission;
    const isSpared = this.#isAffected(route.name, now) && this.#isRoomBelow(rank, now);
    const { admission, isAdmitted } = admitRoot(before, pressure, rank, isSpared, now);
    this.#admissions.set(key, { ...admission, rank, route: route.name });
    if (isAdmitted) return null;
    const details = {
      route: route.name,
      pressure: Math.round(pressure * 100) / 100,
      admitted: Math.round(admission.fraction * 100) / 100,
    };
    return { retryAfterMs: this.returnDelayMs(route), details };
  }

  /** Whether less important requests whose calls meet overload are still let in. */
  #isRoomBelow(rank: Rank, now: Instant): boolean {
    return [...this.#admissions.values()].some(
      (other) =>
        compareRanks(rank, other.rank) < 0 &&
        other.fraction > SPARED_FRACTION &&
        now - other.adjustedAt < RECENT_MS &&
        this.#isAffected(other.route, now),
    );
  }

  /**
   * Routes whose calls meet overload give way at the highest pressure that any of them meets: they
   * share a service further down, and the least important of them have to make room.
   */
  #pressureOn(route: RouteName, now: Instant): number {
    const own = pressureNow(this.#pressures.get(route) ?? noPressure, now);
    if (!this.#isAffected(route, now)) return own;
    return [...this.#pressures].reduce(
      (highest, [other, view]) =>
        this.#isAffected(other, now) ? Math.max(highest, pressureNow(view, now)) : highest,
      own,
    );
  }

  #isAffected(route: RouteName, now: Instant): boolean {
    return now - (this.#lostAt.get(route) ?? Number.NEGATIVE_INFINITY) < AFFECTED_MS;
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
    // The more is refused, the less an early return helps: it would be refused again.
    const shortest = RETURN_DELAY_MIN_MS + (longest - RETURN_DELAY_MIN_MS) * (refused / 2);
    return shortest + this.#options.random() * (longest - shortest);
  }
}
