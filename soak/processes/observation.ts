/** Something that the driver saw on its own sockets, or did. Instants are in milliseconds. */
export type Observation =
  | {
      readonly kind: 'asked';
      readonly id: string;
      readonly path: string;
      readonly isRepeatable: boolean;
      readonly host: string;
      readonly key: string;
      readonly at: number;
    }
  | {
      readonly kind: 'ran';
      readonly id: string;
      readonly path: string;
      /** Account that the backend server was told. */
      readonly account: string | null;
      /** Whether a header of the request shows a key. */
      readonly showsKey: boolean;
      readonly at: number;
    }
  | {
      readonly kind: 'answered';
      readonly id: string;
      readonly status: number;
      /** Whether it is the backend server's answer to this request, whole. */
      readonly isOwn: boolean;
      /** Whether it is signed as the answer to another request. */
      readonly isForeign: boolean;
      readonly at: number;
    }
  /** The connection ended without an answer. */
  | { readonly kind: 'broken'; readonly id: string; readonly at: number }
  /** A fault at a host, or at the store when `host` is null, from one instant to another. */
  | {
      readonly kind: 'disturbed';
      readonly host: string | null;
      readonly from: number;
      readonly until: number;
    }
  /** From here on the configuration holds these keys. */
  | { readonly kind: 'configured'; readonly keys: ReadonlySet<string>; readonly at: number }
  /** The last fault is over. */
  | { readonly kind: 'calm'; readonly at: number };

/** A promise that does not hold, with what shows it. */
export interface Breach {
  readonly promise: string;
  readonly detail: string;
}

/** Account of all requests of the soak. */
export const ACCOUNT = 'paisley';

/** Bounds of the users' rules page: a change in force, out of touch after a fault. */
const IN_FORCE_MS = 2000;
const TOUCH_MS = 3000;

/** The route's time limit, and the half second in which an answer may still be on its way. */
export const ROUTE_TIMEOUT_MS = 2000;
const LATE_MS = 500;

/** Fewer late answers say nothing; the rules page counts from eight on. */
const LATE_MIN = 8;

/** A killed fleet has to serve again within seconds; the rules page allows 15 s and a quarter. */
export const RECOVER_MS = 6000;
const RECOVERED_SHARE = 0.9;

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type Seen<Kind extends Observation['kind']> = Extract<Observation, { readonly kind: Kind }>;

/** All that was seen, by kind. */
class Evidence {
  readonly asked: ReadonlyMap<string, Seen<'asked'>>;

  readonly runs: readonly Seen<'ran'>[];

  readonly answers: ReadonlyMap<string, Seen<'answered'>>;

  readonly endedAt: ReadonlyMap<string, number>;

  readonly #disturbed: readonly Seen<'disturbed'>[];

  readonly configured: readonly Seen<'configured'>[];

  readonly calmAt: number;

  constructor(all: readonly Observation[]) {
    const of = <Kind extends Observation['kind']>(kind: Kind): readonly Seen<Kind>[] =>
      all.filter((seen): seen is Seen<Kind> => seen.kind === kind);
    this.asked = new Map(of('asked').map((seen) => [seen.id, seen]));
    this.runs = of('ran');
    this.answers = new Map(of('answered').map((seen) => [seen.id, seen]));
    this.endedAt = new Map([...of('answered'), ...of('broken')].map(({ id, at }) => [id, at]));
    this.#disturbed = of('disturbed');
    this.configured = of('configured');
    this.calmAt = of('calm')[0]?.at ?? Infinity;
  }

  /** Whether neither the host nor the store had a fault shortly before or in a span. */
  wasInTouch(host: string, from: number, until: number): boolean {
    return this.#disturbed.every(
      (fault) =>
        (fault.host !== null && fault.host !== host) ||
        fault.until + TOUCH_MS < from ||
        fault.from > until,
    );
  }

  /** Whether a key is in any configuration that may be in force at an instant. */
  mayHold(key: string, at: number): boolean {
    const newest = this.configured.findLastIndex((seen) => seen.at <= at - IN_FORCE_MS);
    return this.configured
      .slice(Math.max(0, newest))
      .some((seen) => seen.at <= at && seen.keys.has(key));
  }
}

function breach(promise: string, detail: string): Breach {
  return { promise, detail };
}

function judgeRuns({ asked, runs }: Evidence): readonly Breach[] {
  const counts = new Map<string, number>();
  return runs.flatMap(({ id, path, account, showsKey }) => {
    const count = (counts.get(id) ?? 0) + 1;
    counts.set(id, count);
    const ask = asked.get(id);
    if (ask === undefined) return [breach('unasked', `${id} ran and was never asked for`)];
    return [
      ...(ask.path === path ? [] : [breach('unasked', `${id} ran as ${path}, not ${ask.path}`)]),
      ...(account === ACCOUNT ? [] : [breach('own-account', `${id} ran for ${account}`)]),
      ...(showsKey ? [breach('key-hidden', `${id} showed a key`)] : []),
      ...(count === 2 && !ask.isRepeatable ? [breach('at-most-once', `${id} ran again`)] : []),
    ];
  });
}

function judgeAnswers({ asked, runs, answers }: Evidence): readonly Breach[] {
  const ran = new Set(runs.map(({ id }) => id));
  return [...answers.values()].flatMap(({ id, status, isOwn, isForeign }) => {
    const isPromise = NOT_RUN.has(status) && asked.get(id)?.isRepeatable === false;
    return [
      ...(status === 200 && !isOwn
        ? [breach('own-answer', `${id} got a success not its own`)]
        : []),
      ...(isForeign ? [breach('own-answer', `${id} got the answer to another request`)] : []),
      ...(isPromise && ran.has(id)
        ? [breach('not-run', `${id} ran and was answered ${status}`)]
        : []),
    ];
  });
}

function judgeKeys(evidence: Evidence): readonly Breach[] {
  return evidence.runs.flatMap(({ id }) => {
    const ask = evidence.asked.get(id);
    if (ask === undefined || evidence.mayHold(ask.key, ask.at)) return [];
    if (!evidence.wasInTouch(ask.host, ask.at - IN_FORCE_MS, ask.at)) return [];
    return [breach('configuration', `${id} ran at ${Math.round(ask.at)} with a withdrawn key`)];
  });
}

/** Of the requests that last until the limit of their route, most have to end with it. */
function judgeTimeLimit(evidence: Evidence): readonly Breach[] {
  const tookMs = [...evidence.asked.values()]
    .filter(({ host, at }) => evidence.wasInTouch(host, at, at + ROUTE_TIMEOUT_MS))
    .map(({ id, at }) => (evidence.endedAt.get(id) ?? Infinity) - at);
  const open = tookMs.filter((took) => took >= ROUTE_TIMEOUT_MS);
  const late = open.filter((took) => took > ROUTE_TIMEOUT_MS + LATE_MS);
  return late.length >= LATE_MIN && late.length > open.length / 2
    ? [breach('time-limit', `${late.length} of ${open.length} ended long after their limit`)]
    : [];
}

function judgeRecovery({ asked, answers, calmAt }: Evidence): readonly Breach[] {
  const after = [...asked.values()].filter(
    ({ at, isRepeatable }) => isRepeatable && at > calmAt + RECOVER_MS,
  );
  const served = after.filter(({ id }) => answers.get(id)?.status === 200).length;
  return served >= after.length * RECOVERED_SHARE
    ? []
    : [breach('recovery', `${served} of ${after.length} lookups served after the last fault`)];
}

/**
 * Judges a run by what its callers and backend servers saw.
 *
 * @param all - everything that was seen, in any order
 * @returns the promises that do not hold
 */
export function judge(all: readonly Observation[]): readonly Breach[] {
  const evidence = new Evidence(all);
  return [judgeRuns, judgeAnswers, judgeKeys, judgeTimeLimit, judgeRecovery].flatMap((rule) =>
    rule(evidence),
  );
}
