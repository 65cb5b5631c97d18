/**
 * An event that the test driver observed on its own sockets, or an action that it took. Times are
 * in milliseconds.
 */
export type Observation =
  | {
      readonly kind: 'request-sent';
      readonly id: string;
      readonly path: string;
      readonly isRepeatable: boolean;
      readonly host: string;
      readonly key: string;
      readonly at: number;
    }
  | {
      readonly kind: 'run-started';
      readonly id: string;
      readonly path: string;
      /** Account that the request named to the backend server. */
      readonly account: string | null;
      /** Whether a header that reached the backend server contains a key. */
      readonly hasVisibleKey: boolean;
      readonly at: number;
    }
  | {
      readonly kind: 'answered';
      readonly id: string;
      readonly status: number;
      /** Whether the caller received the complete answer of the backend server to this request. */
      readonly isOwn: boolean;
      /** Whether the signature of the answer belongs to another request. */
      readonly isForeign: boolean;
      readonly at: number;
    }
  /** The connection closed before an answer arrived. */
  | { readonly kind: 'connection-lost'; readonly id: string; readonly at: number }
  /** The caller's own timeout passed before an answer arrived. */
  | { readonly kind: 'caller-timed-out'; readonly id: string; readonly at: number }
  /** The caller closed its connection without waiting for the answer. */
  | { readonly kind: 'caller-left'; readonly id: string; readonly at: number }
  /** A fault of a host, or of the store when `host` is null, and the period that it lasted. */
  | {
      readonly kind: 'fault';
      readonly host: string | null;
      readonly from: number;
      readonly until: number;
    }
  /** The published configuration contains these keys from now on. */
  | { readonly kind: 'configured'; readonly keys: ReadonlySet<string>; readonly at: number }
  /** A node process ended although nothing asked it to. */
  | {
      readonly kind: 'node-exited';
      readonly host: string;
      readonly code: number | null;
      readonly signal: string | null;
      /** Time from the start of the process to its end. */
      readonly ageMs: number;
    }
  /** Largest resident memory of a node process, and the memory that its settings allow. */
  | {
      readonly kind: 'node-memory';
      readonly host: string;
      readonly peakBytes: number;
      readonly limitBytes: number;
    }
  /** The last fault has ended. */
  | { readonly kind: 'faults-ended'; readonly at: number };

/** A broken promise and the evidence for it. */
export interface Breach {
  readonly promise: string;
  readonly detail: string;
}

/** Account that all requests of the soak test use. */
export const ACCOUNT = 'paisley';

/** Bound of the users' rules page for a configuration change to take effect. */
const CONFIGURATION_LIMIT_MS = 2000;

/** Bound of the users' rules page for a host to reconnect after a fault. */
const RECONNECT_LIMIT_MS = 3000;

/** Timeout of every route. */
export const ROUTE_TIMEOUT_MS = 2000;

/** Time after the timeout in which an answer can still be in transit. */
const ANSWER_GRACE_MS = 500;

/** Fewer late answers are not counted as a breach; the rules page counts from eight on. */
const MIN_LATE_ANSWERS = 8;

/** The users' rules page tolerates this number of requests whose connection closes unanswered. */
const TOLERATED_LOSSES = 3;

/**
 * Time in which a killed fleet has to serve requests again. It is stricter than the rules page,
 * which allows 15 s and a quarter.
 */
export const RECOVERY_LIMIT_MS = 6000;
const MIN_SERVED_SHARE = 0.9;

/**
 * Bound of the users' rules page for requests of callers that left. It allows a few later ones; here
 * each counts.
 */
const DEPARTURE_LIMIT_MS = 500;

/**
 * Node.js runs the first statement of a program, which installs its signal handlers, 20 to 40 ms
 * after the start of the process. Beside load it takes longer.
 */
const RUNTIME_START_MS = 500;

/** Statuses that guarantee that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type ObservationOf<Kind extends Observation['kind']> = Extract<
  Observation,
  { readonly kind: Kind }
>;

/** Observations of a run, grouped by kind. */
class ObservationIndex {
  readonly requests: ReadonlyMap<string, ObservationOf<'request-sent'>>;

  readonly runs: readonly ObservationOf<'run-started'>[];

  readonly answers: ReadonlyMap<string, ObservationOf<'answered'>>;

  readonly endedAt: ReadonlyMap<string, number>;

  readonly leftAt: ReadonlyMap<string, number>;

  readonly losses: readonly ObservationOf<'connection-lost'>[];

  readonly memory: readonly ObservationOf<'node-memory'>[];

  readonly #faults: readonly ObservationOf<'fault'>[];

  readonly configured: readonly ObservationOf<'configured'>[];

  readonly exits: readonly ObservationOf<'node-exited'>[];

  readonly faultsEndedAt: number;

  constructor(all: readonly Observation[]) {
    const of = <Kind extends Observation['kind']>(kind: Kind): readonly ObservationOf<Kind>[] =>
      all.filter((observation): observation is ObservationOf<Kind> => observation.kind === kind);
    this.requests = new Map(of('request-sent').map((observation) => [observation.id, observation]));
    this.runs = of('run-started');
    this.answers = new Map(of('answered').map((observation) => [observation.id, observation]));
    this.losses = of('connection-lost');
    this.memory = of('node-memory');
    this.endedAt = new Map(
      [...of('answered'), ...this.losses, ...of('caller-timed-out'), ...of('caller-left')].map(
        ({ id, at }) => [id, at],
      ),
    );
    this.leftAt = new Map(of('caller-left').map(({ id, at }) => [id, at]));
    this.#faults = of('fault');
    this.configured = of('configured');
    this.exits = of('node-exited');
    this.faultsEndedAt = of('faults-ended')[0]?.at ?? Infinity;
  }

  /** Whether neither the host nor the store had a fault during a period or shortly before it. */
  isFaultFree(host: string, from: number, until: number): boolean {
    return this.#faults.every(
      (fault) =>
        (fault.host !== null && fault.host !== host) ||
        fault.until + RECONNECT_LIMIT_MS < from ||
        fault.from > until,
    );
  }

  /** Whether the host had no fault of its own during a period or shortly before it. */
  isHostFaultFree(host: string, from: number, until: number): boolean {
    return this.#faults.every(
      (fault) =>
        fault.host !== host || fault.until + RECONNECT_LIMIT_MS < from || fault.from > until,
    );
  }

  /** Whether any configuration that can be in effect at a time contains a key. */
  canKeyBeInForce(key: string, at: number): boolean {
    const newest = this.configured.findLastIndex(
      (observation) => observation.at <= at - CONFIGURATION_LIMIT_MS,
    );
    return this.configured
      .slice(Math.max(0, newest))
      .some((observation) => observation.at <= at && observation.keys.has(key));
  }
}

function createBreach(promise: string, detail: string): Breach {
  return { promise, detail };
}

function checkRuns({ requests, runs }: ObservationIndex): readonly Breach[] {
  const counts = new Map<string, number>();
  return runs.flatMap(({ id, path, account, hasVisibleKey }) => {
    const count = (counts.get(id) ?? 0) + 1;
    counts.set(id, count);
    const request = requests.get(id);
    if (request === undefined) return [createBreach('unasked', `${id} ran, but no caller sent it`)];
    return [
      ...(request.path === path
        ? []
        : [createBreach('unasked', `${id} ran as ${path}, not ${request.path}`)]),
      ...(account === ACCOUNT
        ? []
        : [createBreach('own-account', `${id} ran for account ${account}`)]),
      ...(hasVisibleKey
        ? [createBreach('key-hidden', `${id} reached the backend server with a key in a header`)]
        : []),
      ...(count === 2 && !request.isRepeatable
        ? [createBreach('at-most-once', `${id} ran twice`)]
        : []),
    ];
  });
}

function checkAnswers({ requests, runs, answers }: ObservationIndex): readonly Breach[] {
  const ran = new Set(runs.map(({ id }) => id));
  return [...answers.values()].flatMap(({ id, status, isOwn, isForeign }) => {
    const isNotRunClaim = NOT_RUN_STATUSES.has(status) && requests.get(id)?.isRepeatable === false;
    return [
      ...(status === 200 && !isOwn
        ? [
            createBreach(
              'own-answer',
              `${id} got status 200 with a body or signature that is not its own`,
            ),
          ]
        : []),
      ...(isForeign ? [createBreach('own-answer', `${id} got the answer to another request`)] : []),
      ...(isNotRunClaim && ran.has(id)
        ? [createBreach('not-run', `${id} ran and was answered with status ${status}`)]
        : []),
    ];
  });
}

function checkKeys(index: ObservationIndex): readonly Breach[] {
  return index.runs.flatMap(({ id }) => {
    const request = index.requests.get(id);
    if (request === undefined || index.canKeyBeInForce(request.key, request.at)) return [];
    if (!index.isFaultFree(request.host, request.at - CONFIGURATION_LIMIT_MS, request.at))
      return [];
    return [
      createBreach('configuration', `${id} ran at ${Math.round(request.at)} with a withdrawn key`),
    ];
  });
}

/** Most of the requests that reach the timeout of their route have to end at that time. */
function checkTimeLimit(index: ObservationIndex): readonly Breach[] {
  const durationsMs = [...index.requests.values()]
    .filter(({ host, at }) => index.isFaultFree(host, at, at + ROUTE_TIMEOUT_MS))
    .map(({ id, at }) => (index.endedAt.get(id) ?? Infinity) - at);
  const open = durationsMs.filter((durationMs) => durationMs >= ROUTE_TIMEOUT_MS);
  const late = open.filter((durationMs) => durationMs > ROUTE_TIMEOUT_MS + ANSWER_GRACE_MS);
  return late.length >= MIN_LATE_ANSWERS && late.length > open.length / 2
    ? [
        createBreach(
          'time-limit',
          `${late.length} of ${open.length} requests ended long after their timeout`,
        ),
      ]
    : [];
}

/** Also for hosts that stood still: a node drops the requests that it finds without a caller. */
function checkDepartures({ runs, leftAt }: ObservationIndex): readonly Breach[] {
  return runs.flatMap(({ id, at }) => {
    const lateMs = at - (leftAt.get(id) ?? Infinity);
    return lateMs > DEPARTURE_LIMIT_MS
      ? [createBreach('departure', `${id} ran ${Math.round(lateMs)} ms after its caller had left`)]
      : [];
  });
}

function checkExits({ exits }: ObservationIndex): readonly Breach[] {
  return exits
    .filter(({ signal, ageMs }) => signal !== 'SIGHUP' || ageMs > RUNTIME_START_MS)
    .map(({ host, code, signal, ageMs }) =>
      createBreach(
        'process-runs',
        `node on ${host} ended after ${Math.round(ageMs)} ms with code ${code}, signal ${signal}`,
      ),
    );
}

/** A node that ends by itself counts as running all the while, and the store excuses no loss. */
function checkLosses(index: ObservationIndex): readonly Breach[] {
  const lost = index.losses.filter(({ id, at: lostAt }) => {
    const request = index.requests.get(id);
    return request !== undefined && index.isHostFaultFree(request.host, request.at, lostAt);
  });
  return lost.length > TOLERATED_LOSSES
    ? [
        createBreach(
          'not-lost',
          `${lost.length} requests lost their connection at nodes without a fault, the first ${lost[0]?.id}`,
        ),
      ]
    : [];
}

function checkMemory({ memory }: ObservationIndex): readonly Breach[] {
  return memory
    .filter(({ peakBytes, limitBytes }) => peakBytes >= limitBytes)
    .map(({ host, peakBytes, limitBytes }) =>
      createBreach(
        'memory',
        `node on ${host} had ${Math.round(peakBytes / 1e6)} of ${Math.round(limitBytes / 1e6)} MB`,
      ),
    );
}

function checkRecovery(index: ObservationIndex): readonly Breach[] {
  const { requests, answers, leftAt, faultsEndedAt } = index;
  const after = [...requests.values()].filter(
    ({ id, at, isRepeatable }) =>
      isRepeatable && !leftAt.has(id) && at > faultsEndedAt + RECOVERY_LIMIT_MS,
  );
  const served = after.filter(({ id }) => answers.get(id)?.status === 200).length;
  return served >= after.length * MIN_SERVED_SHARE
    ? []
    : [
        createBreach(
          'recovery',
          `${served} of ${after.length} lookups served after the last fault`,
        ),
      ];
}

/**
 * Checks the promises against the observations of callers and backend servers.
 *
 * @param all - all observations of a run, in any order
 * @returns the broken promises
 */
export function findBreaches(all: readonly Observation[]): readonly Breach[] {
  const index = new ObservationIndex(all);
  return [
    checkRuns,
    checkAnswers,
    checkKeys,
    checkTimeLimit,
    checkDepartures,
    checkExits,
    checkLosses,
    checkMemory,
    checkRecovery,
  ].flatMap((rule) => rule(index));
}
