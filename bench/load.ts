import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../standin/process.js';
import { createCallerAgent, sendRequest } from './http-call.js';
import { DEADLINE_MS } from './topology.js';
import type { BenchAccount, BenchPath, Topology } from './topology.js';

/** Nodes of almondhoist, or a forwarding baseline that does not use order identifiers. */
export type Variant = 'almondhoist' | 'pass-through';

/** Outcome of one attempt. */
export type AttemptOutcome =
  | { readonly kind: 'good' }
  /** Refused without having run, according to the response. */
  | { readonly kind: 'refused'; readonly status: number }
  | { readonly kind: 'failed' }
  /** The request has to be sent again with this order identifier. */
  | { readonly kind: 'order-id'; readonly orderId: string };

/** A completed request with all its attempts. */
export interface RequestRecord {
  readonly account: string;
  readonly arrivedMs: number;
  readonly endedMs: number;
  /** Answered with 200, including all nested calls, before the deadline. */
  readonly isGood: boolean;
  /** Number of attempts within the account's rate and burst. */
  readonly attemptsWithinRate: number;
  /** Number of refused attempts among those within rate and burst. */
  readonly refusedWithinRate: number;
  /** Number of attempts above rate and burst that were not refused. */
  readonly admittedAboveRate: number;
}

/** Deployment that receives the load. */
export interface LoadTarget {
  readonly variant: Variant;
  readonly topology: Topology;
  /** Base URLs of the entries; callers choose one at random for each attempt. */
  readonly entries: readonly string[];
}

/** Options of a load generator. */
export interface LoadGeneratorOptions {
  readonly target: LoadTarget;
  /** Seeded random source for arrival times, request mix and choice of entry. */
  readonly random: Random;
  /** First order number and the step to the next; numbers are unique in a deployment. */
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

/** Retries of a failed or refused request, sent immediately and regardless of retry-after. */
const RETRIES_PER_REQUEST = 3;
/** Number of distinct blocks, balances and points that callers look up. */
const LOOKUP_KEY_COUNT = 100_000;

/** @returns milliseconds since the epoch, comparable between threads, unlike `performance.now` */
export function nowMs(): number {
  return performance.timeOrigin + performance.now();
}

/** Open-loop load generator: arrivals do not wait for responses. */
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
   * @param options - target, random source, order numbers and callback for records
   */
  constructor({ target, random, firstOrderNumber, stride, onRequestEnd }: LoadGeneratorOptions) {
    this.#target = target;
    this.#random = random;
    this.#nextOrderNumber = firstOrderNumber;
    this.#stride = stride;
    this.#onRequestEnd = onRequestEnd;
  }

  /** @returns first order number that the next generator can use */
  get nextOrderNumber(): number {
    return this.#nextOrderNumber;
  }

  /**
   * Sets the arrival rate of one account and draws a new time for the next arrival.
   *
   * @param account - account that sends the requests
   * @param perSecond - mean root requests per second, without retries
   */
  setRate(account: BenchAccount, perSecond: number): void {
    clearTimeout(this.#timers.get(account.name));
    this.#rates.set(account.name, perSecond);
    if (perSecond > 0) this.#scheduleArrival(account, nowMs());
  }

  /**
   * Stops arrivals and waits for requests in flight. Retries stop after `DEADLINE_MS`, since no
   * request can meet its deadline after that.
   */
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
   * @param account - account that sends the request
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
    if (chosen === undefined) throw new Error('the deployment has no path for root requests');
    const body = chosen.servedPath.method === 'GET' ? null : JSON.stringify({ order: orderNumber });
    return { account, ...chosen, orderNumber, body, scheduledMs };
  }

  #startRequest(root: RootRequest): void {
    const done = this.#sendWithRetries(root).finally(() => this.#inFlight.delete(done));
    this.#inFlight.add(done);
  }

  /** @returns whether a token was available and taken; without one, an attempt is above the rate */
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
    const { account, scheduledMs } = root;
    const endedMs = nowMs();
    isGood &&= endedMs - scheduledMs <= DEADLINE_MS;
    const counts = { attemptsWithinRate, refusedWithinRate, admittedAboveRate };
    this.#onRequestEnd({
      account: account.name,
      arrivedMs: scheduledMs,
      endedMs,
      isGood,
      ...counts,
    });
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
