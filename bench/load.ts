import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../standin/process.js';
import { createCallerAgent, sendRequest } from './http-call.js';
import { DEADLINE_MS } from './topology.js';
import type { BenchAccount, BenchPath, Topology } from './topology.js';

/** Whether order requests carry identifiers. */
export type Variant = 'almondhoist' | 'pass-through';

/** What became of one attempt. */
export type AttemptOutcome =
  | { readonly kind: 'good' }
  /** Refused without having run, as far as the answer tells. */
  | { readonly kind: 'refused'; readonly status: number }
  | { readonly kind: 'failed' }
  /** The request needs this order identifier. */
  | { readonly kind: 'order-id'; readonly orderId: string };

/** A whole request with all its attempts. */
export interface RequestRecord {
  readonly account: string;
  readonly arrivedMs: number;
  readonly endedMs: number;
  /** Answered with 200, through its whole chain and before its deadline. */
  readonly isGood: boolean;
  /** Attempts inside the account's rate and burst, and how many of these were refused. */
  readonly attemptsWithinRate: number;
  readonly refusedWithinRate: number;
  /** Attempts outside of rate and burst that were not refused. */
  readonly admittedAboveRate: number;
}

/** What the load generator calls. */
export interface LoadTarget {
  readonly variant: Variant;
  readonly topology: Topology;
  /** Base URLs of the entries; callers choose one at random for each attempt. */
  readonly entries: readonly string[];
}

/** What a generator is started with. */
export interface LoadGeneratorOptions {
  readonly target: LoadTarget;
  /** Seeded source for arrivals, mix and entries. */
  readonly random: Random;
  /** First order number and the distance to the next; numbers are unique in a deployment. */
  readonly firstOrderNumber: number;
  readonly stride: number;
  readonly onRequestEnd: (record: RequestRecord) => void;
}

interface RootRequest {
  readonly account: BenchAccount;
  readonly service: string;
  readonly servedPath: BenchPath;
  readonly orderNumber: number;
  readonly body: string | null;
  readonly scheduledMs: number;
}

interface TokenBucket {
  readonly tokens: number;
  readonly refilledAtMs: number;
}

/** Repeats of a failed or refused request, sent at once and whatever retry-after says. */
const RETRIES_PER_REQUEST = 3;
/** Number of different blocks, balances and points that callers look up. */
const LOOKUP_KEY_COUNT = 100_000;

/** @returns time on a clock that all threads share; each thread's own clock starts at zero */
export function nowMs(): number {
  return performance.timeOrigin + performance.now();
}

/** An open-loop generator: arrivals do not wait for answers. */
export class LoadGenerator {
  readonly #target: LoadTarget;

  readonly #random: Random;

  readonly #agent = createCallerAgent();

  readonly #rates = new Map<string, number>();

  readonly #timers = new Map<string, NodeJS.Timeout>();

  readonly #buckets = new Map<string, TokenBucket>();

  readonly #inFlight = new Set<Promise<void>>();

  readonly #stride: number;

  readonly #onRequestEnd: (record: RequestRecord) => void;

  #isStopping = false;

  #nextOrderNumber: number;

  /**
   * @param options - what to call, and where the records go
   */
  constructor({ target, random, firstOrderNumber, stride, onRequestEnd }: LoadGeneratorOptions) {
    this.#target = target;
    this.#random = random;
    this.#nextOrderNumber = firstOrderNumber;
    this.#stride = stride;
    this.#onRequestEnd = onRequestEnd;
  }

  /** @returns the order number that the next generator may start with */
  get nextOrderNumber(): number {
    return this.#nextOrderNumber;
  }

  /**
   * Sets the arrivals of one account; the time to the next one is drawn afresh.
   *
   * @param account - the account
   * @param perSecond - mean root requests per second, without repeats
   */
  setRate(account: BenchAccount, perSecond: number): void {
    clearTimeout(this.#timers.get(account.name));
    this.#rates.set(account.name, perSecond);
    if (perSecond > 0) this.#scheduleArrival(account, nowMs());
  }

  /** Stops the arrivals and waits until no outstanding request can become good any more. */
  async stop(): Promise<void> {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#rates.clear();
    const allEnded = Promise.all(this.#inFlight);
    const waitAbort = new AbortController();
    const wait = sleep(DEADLINE_MS, undefined, { signal: waitAbort.signal }).catch(() => {});
    await Promise.race([allEnded, wait]);
    waitAbort.abort();
    this.#isStopping = true;
    await allEnded;
    this.#agent.destroy();
  }

  /**
   * Sends one request whose body crashes the backend server that runs it.
   *
   * @param account - the account that sends it
   */
  sendCrashRequest(account: BenchAccount): void {
    const { services } = this.#target.topology;
    const pairs = services.flatMap(({ name, paths }) =>
      paths.map((servedPath) => ({ service: name, servedPath })),
    );
    const found = pairs.find(
      ({ servedPath }) => servedPath.method === 'POST' && servedPath.idempotent,
    );
    if (found === undefined) return;
    const body = JSON.stringify({ crash: true });
    this.#startRequest({ account, ...found, orderNumber: -1, body, scheduledMs: nowMs() });
  }

  #scheduleArrival(account: BenchAccount, afterMs: number): void {
    const rate = this.#rates.get(account.name) ?? 0;
    if (rate === 0) return;
    const dueMs = afterMs - (Math.log(1 - this.#random()) * 1000) / rate;
    const onArrival = (): void => {
      this.#startRequest(this.#createRootRequest(account, dueMs));
      this.#scheduleArrival(account, dueMs);
    };
    this.#timers.set(account.name, setTimeout(onArrival, dueMs - nowMs()));
  }

  #createRootRequest(account: BenchAccount, scheduledMs: number): RootRequest {
    let share = this.#random();
    const orderNumber = this.#nextOrderNumber;
    this.#nextOrderNumber += this.#stride;
    const candidates = this.#target.topology.services.flatMap(({ name, paths }) =>
      paths
        .filter(({ rootShare }) => rootShare > 0)
        .map((servedPath) => ({ service: name, servedPath })),
    );
    const chosen =
      candidates.find(({ servedPath }) => {
        share -= servedPath.rootShare;
        return share < 0;
      }) ?? candidates[0];
    if (chosen === undefined) throw new Error('the deployment has no root requests');
    const body = chosen.servedPath.method === 'GET' ? null : JSON.stringify({ order: orderNumber });
    return { account, ...chosen, orderNumber, body, scheduledMs };
  }

  #startRequest(root: RootRequest): void {
    const done = this.#sendWithRetries(root).finally(() => this.#inFlight.delete(done));
    this.#inFlight.add(done);
  }

  /** Takes a token when there is one; an attempt without one is outside rate and burst. */
  #takeToken({ name, ratePerSecond, burst }: BenchAccount): boolean {
    const currentMs = nowMs();
    const { tokens, refilledAtMs } = this.#buckets.get(name) ?? {
      tokens: burst,
      refilledAtMs: currentMs,
    };
    const filled = Math.min(burst, tokens + ((currentMs - refilledAtMs) * ratePerSecond) / 1000);
    const hasToken = filled >= 1;
    this.#buckets.set(name, { tokens: hasToken ? filled - 1 : filled, refilledAtMs: currentMs });
    return hasToken;
  }

  async #sendWithRetries(root: RootRequest): Promise<void> {
    const needsId = this.#target.variant === 'almondhoist' && !root.servedPath.idempotent;
    let orderId = needsId ? await this.#requestOrderId(root) : null;
    let isGood = false;
    let attemptsWithinRate = 0;
    let refusedWithinRate = 0;
    let admittedAboveRate = 0;
    for (
      let attempt = 0;
      attempt <= RETRIES_PER_REQUEST && !isGood && !this.#isStopping;
      attempt += 1
    ) {
      const isWithinRate = this.#takeToken(root.account);
      let result = await this.#sendAttempt(root, orderId);
      if (result.kind === 'order-id') {
        orderId = result.orderId;
        result = await this.#sendAttempt(root, orderId);
      }
      isGood = result.kind === 'good';
      if (isWithinRate) attemptsWithinRate += 1;
      if (isWithinRate && result.kind === 'refused') refusedWithinRate += 1;
      if (!isWithinRate && result.kind !== 'refused') admittedAboveRate += 1;
    }
    const { account, scheduledMs: arrivedMs } = root;
    const endedMs = nowMs();
    isGood &&= endedMs - arrivedMs <= DEADLINE_MS;
    const counts = { attemptsWithinRate, refusedWithinRate, admittedAboveRate };
    this.#onRequestEnd({ account: account.name, arrivedMs, endedMs, isGood, ...counts });
  }

  #randomEntry(): string {
    const { entries } = this.#target;
    return entries[Math.floor(this.#random() * entries.length)] ?? '';
  }

  async #requestOrderId({ account }: RootRequest): Promise<string | null> {
    try {
      const response = await sendRequest(this.#agent, {
        url: `${this.#randomEntry()}/almondhoist/orders`,
        method: 'POST',
        headers: { authorization: `Bearer ${account.key}` },
        body: null,
        timeoutMs: DEADLINE_MS,
      });
      const id = response.headers['almondhoist-order-id'];
      return typeof id === 'string' ? id : null;
    } catch {
      return null;
    }
  }

  async #sendAttempt(root: RootRequest, orderId: string | null): Promise<AttemptOutcome> {
    const { service, servedPath, account, body, orderNumber } = root;
    const target = servedPath.path.replace('*', String(orderNumber % LOOKUP_KEY_COUNT));
    try {
      const { status, headers } = await sendRequest(this.#agent, {
        url: `${this.#randomEntry()}/${service}/${target}`,
        method: servedPath.method,
        headers: {
          authorization: `Bearer ${account.key}`,
          ...(body === null ? {} : { 'content-type': 'application/json' }),
          ...(orderId === null ? {} : { 'almondhoist-order-id': orderId }),
        },
        body,
        timeoutMs: DEADLINE_MS,
      });
      const issuedId = headers['almondhoist-order-id'];
      if (status === 200) return { kind: 'good' };
      if (status === 428 && typeof issuedId === 'string')
        return { kind: 'order-id', orderId: issuedId };
      const isRefused =
        headers['almondhoist-not-run'] === 'true' || status === 429 || status === 503;
      return isRefused ? { kind: 'refused', status } : { kind: 'failed' };
    } catch {
      return { kind: 'failed' };
    }
  }
}
