import { setTimeout as sleep } from 'node:timers/promises';
import { errors, request } from 'undici';
import { ANSWER_BODY } from '../../standin/platform-backend.js';
import { createRandom, type Random } from '../../standin/process.js';
import { drawFaults, type FaultSelection, type ScheduledFault } from './fault.js';
import { findBreaches, RECOVERY_LIMIT_MS, type Breach, type Observation } from './observation.js';
import { HOST_COUNT, HOST_NAME, KEYS, ProcessFleet, ZONES } from './process-fleet.js';

/** Options of a run. */
export interface ProcessSoakOptions {
  readonly seed: number;
  readonly selection: FaultSelection;
  /** Period in which faults start, in milliseconds. */
  readonly faultsMs: number;
  /** First three octets of loopback addresses that no other process uses. */
  readonly subnet: string;
}

/** Result of a run. */
export interface ProcessSoakResult {
  readonly breaches: readonly Breach[];
  readonly faults: readonly ScheduledFault[];
  /** Number of requests by the status of their answer; 0 stands for no answer. */
  readonly answers: ReadonlyMap<number, number>;
  /** Largest resident memory of any node, in bytes. */
  readonly peakMemoryBytes: number;
}

const REQUESTS_PER_S = 60;
const ORDER_SHARE = 0.4;
const CALLER_TIMEOUT_MS = 3000;

/** Period after the recovery limit in which most lookups have to be served. */
const SERVED_WINDOW_MS = 3000;

/** Share of the callers that leave without waiting for their answer, and when at the latest. */
const LEAVING_SHARE = 0.3;
const MAX_PATIENCE_MS = 600;

/** Sends requests and records their outcome. */
class TrafficSource {
  readonly #fleet: ProcessFleet;

  readonly #observe: (observation: Observation) => void;

  readonly #random: Random;

  #sentCount = 0;

  constructor(fleet: ProcessFleet, observe: (observation: Observation) => void, random: Random) {
    this.#fleet = fleet;
    this.#observe = observe;
    this.#random = random;
  }

  async sendRequest(): Promise<void> {
    this.#sentCount += 1;
    const id = `soak-${this.#sentCount}`;
    const isOrder = this.#random() < ORDER_SHARE;
    const path = `/${isOrder ? 'order' : 'look'}/${this.#sentCount}`;
    const url = this.#fleet.callerUrl(Math.floor(this.#random() * HOST_COUNT));
    const key = KEYS[this.#random() < 0.5 ? 0 : 1];
    const host = new URL(url).hostname;
    const patienceMs = this.#random() < LEAVING_SHARE ? this.#random() * MAX_PATIENCE_MS : null;
    // A caller that leaves would take the other requests of its connection with it.
    const isPipelined = !isOrder && patienceMs === null;
    const departure = new AbortController();
    const at = performance.now();
    const timer = patienceMs === null ? null : setTimeout(() => departure.abort(), patienceMs);
    this.#observe({ kind: 'request-sent', id, path, isRepeatable: !isOrder, host, key, at });
    try {
      const answer = await request(`${url}${path}`, {
        dispatcher: isPipelined ? this.#fleet.pipeliningAgent : this.#fleet.agent,
        signal: departure.signal,
        method: isOrder ? 'POST' : 'GET',
        ...(isOrder ? { body: 'one block' } : {}),
        headersTimeout: CALLER_TIMEOUT_MS,
        headers: {
          host: HOST_NAME,
          'attempt-id': id,
          'timeout-ms': String(CALLER_TIMEOUT_MS),
          authorization: `Bearer ${key}`,
        },
      });
      const body = await answer.body.text();
      const signature = answer.headers['response-signature'];
      this.#observe({
        kind: 'answered',
        id,
        status: answer.statusCode,
        isOwn: signature === `signed-${id}` && body === ANSWER_BODY,
        isForeign: signature !== undefined && signature !== `signed-${id}`,
        at: performance.now(),
      });
    } catch (error) {
      // Killed nodes close their connections, so the checks decide whether this is a breach.
      const lossKind =
        error instanceof errors.HeadersTimeoutError ? 'caller-timed-out' : 'connection-lost';
      const kind = departure.signal.aborted ? 'caller-left' : lossKind;
      this.#observe({ kind, id, at: performance.now() });
    } finally {
      if (timer !== null) clearTimeout(timer);
    }
  }
}

/** Status of the end of a request, 0 without an answer; null for other observations. */
function statusOf(observation: Observation): number | null {
  switch (observation.kind) {
    case 'answered':
      return observation.status;
    case 'connection-lost':
    case 'caller-timed-out':
      return 0;
    case 'request-sent':
    case 'run-started':
    case 'caller-left':
    case 'fault':
    case 'configured':
    case 'node-exited':
    case 'node-memory':
    case 'faults-ended':
      return null;
  }
}

function countAnswers(observations: readonly Observation[]): ReadonlyMap<number, number> {
  const counts = new Map<number, number>();
  observations.forEach((observation) => {
    const status = statusOf(observation);
    if (status !== null) counts.set(status, (counts.get(status) ?? 0) + 1);
  });
  return counts;
}

function findPeakMemory(observations: readonly Observation[]): number {
  return Math.max(
    0,
    ...observations.map((observation) =>
      observation.kind === 'node-memory' ? observation.peakBytes : 0,
    ),
  );
}

async function injectFaults(fleet: ProcessFleet, faults: readonly ScheduledFault[]): Promise<void> {
  const start = performance.now();
  const running: Promise<void>[] = [];
  for (const { at, fault } of faults) {
    await sleep(Math.max(0, start + at - performance.now()));
    running.push(fleet.injectFault(fault));
  }
  await Promise.all(running);
}

/**
 * Runs real node processes under traffic and faults, then checks the observations. The seed
 * determines the requests and faults; their relative timing depends on the machine.
 *
 * @param options - seed, period of faults and addresses
 * @returns the broken promises, the faults and the counts of answers
 */
export async function runProcessSoak(options: ProcessSoakOptions): Promise<ProcessSoakResult> {
  const observations: Observation[] = [];
  const observe = (observation: Observation): void => {
    observations.push(observation);
  };
  const fleet = new ProcessFleet(observe, createRandom(options.seed + 1));
  const callers = new TrafficSource(fleet, observe, createRandom(options.seed + 2));
  const scope = { hosts: HOST_COUNT, zones: ZONES };
  const faults = drawFaults(scope, options.selection, options.seed, options.faultsMs);
  const sentRequests: Promise<void>[] = [];
  let traffic: NodeJS.Timeout | null = null;
  try {
    await fleet.start(options.subnet);
    traffic = setInterval(() => sentRequests.push(callers.sendRequest()), 1000 / REQUESTS_PER_S);
    await injectFaults(fleet, faults);
    observe({ kind: 'faults-ended', at: performance.now() });
    await sleep(RECOVERY_LIMIT_MS + SERVED_WINDOW_MS);
    clearInterval(traffic);
    await Promise.all(sentRequests);
  } finally {
    if (traffic !== null) clearInterval(traffic);
    await fleet.close();
  }
  return {
    breaches: findBreaches(observations),
    faults,
    answers: countAnswers(observations),
    peakMemoryBytes: findPeakMemory(observations),
  };
}
