import type { LogEntry, Subject } from '../src/core/logs/log-entry.js';
import { auditAdmission, EMPTY_RATE_AUDIT, type RateAudit } from '../src/core/credit/rate-audit.js';
import type { PromiseName } from '../src/core/promises/violation.js';
import type { EntryReply } from '../src/runtime/entry-task.js';
import { answerFor, type Run } from './fake-backend.js';
import type { Step } from './step.js';

/** A broken promise that a node logged or the audit detected. */
export interface Breach {
  readonly at: number;
  readonly promise: PromiseName;
  readonly detail: string;
}

export type RouteName = Extract<Step, { kind: 'request' }>['route'];

/** A request that a caller or a backend server has sent. */
export interface TrackedRequest {
  readonly id: string;
  readonly mark: string;
  readonly route: RouteName;
  readonly account: string;
  /** Path that the backend server has to receive. */
  readonly path: string;
  readonly isRoot: boolean;
  readonly sentAt: number;
}

export const LIMITS: ReadonlyMap<string, { ratePerSecond: number; burst: number }> = new Map([
  ['mill', { ratePerSecond: 60, burst: 40 }],
  ['shop', { ratePerSecond: 10, burst: 12 }],
]);
export const RETRIES = 2;
export const COLD_CAPACITY = 2;

/** Number of calls of a root request with its nested calls; an order makes one nested order. */
const CALLS_PER_ROOT: Readonly<Record<RouteName, number>> = {
  ...{ read: 1, deep: 3, order: 2, open: 1, item: 1, leak: 1 },
};

/** Checks the promises against what the test driver observes outside the nodes. */
export class Audit {
  readonly breaches: Breach[] = [];

  readonly trackedRequests = new Map<string, TrackedRequest>();

  readonly replies = new Map<string, EntryReply>();

  /** Number of root requests by the code of their answer. */
  readonly answers: Record<string, number> = {};

  /** Number of runs by path. */
  readonly runs = new Map<string, number>();

  readonly #startedIds = new Set<string>();

  readonly #rateAudits = new Map<string, RateAudit>();

  /** Number of sends of each root request, and how many of them are retries. */
  readonly #sends = new Map<string, { total: number; retries: number }>();

  readonly #versions = new Map<string, number>();

  readonly #routeByRootId = new Map<string, RouteName>();

  constructor(readonly now: () => number) {}

  recordBreach(promise: PromiseName, detail: string): void {
    this.breaches.push({ at: this.now(), promise, detail });
  }

  /** Records a request that is passed to a node, with the identifier that the node assigned. */
  recordSent(tracked: TrackedRequest, requestId: string): void {
    this.trackedRequests.set(tracked.id, tracked);
    if (tracked.isRoot) this.#routeByRootId.set(requestId, tracked.route);
  }

  recordLogEntry(process: string, entry: LogEntry): void {
    switch (entry.kind) {
      case 'violation':
        this.recordBreach(entry.promise, `${process}: ${entry.detail}`);
        break;
      case 'routing':
        this.#checkRate(entry);
        if (entry.choice !== null) this.#checkRetries(entry.rootId, entry.attempt > 1);
        break;
      case 'placement':
        this.#checkRate(entry);
        break;
      case 'event':
        if (entry.code === 'documentApplied') this.#checkVersionOrder(process, entry.details);
        break;
      case 'dispatch':
      case 'gate-answer':
      case 'refusal':
      case 'entry-answer':
      case 'decision':
        break;
    }
  }

  recordRunStart(run: Run, coldRunning: number | null): void {
    const id = run.headers.get('x-attempt') ?? '';
    const tracked = this.trackedRequests.get(id);
    const count = (this.runs.get(run.path) ?? 0) + 1;
    this.runs.set(run.path, count);
    this.#startedIds.add(id);
    if (this.replies.get(id)?.isNotRun === true) {
      this.recordBreach('not-run', `${id} ran after it had been answered with "not run"`);
    }
    if (count > 1 && /^\/(order|book)\//.test(run.path)) {
      this.recordBreach('at-most-once', `${run.path} ran ${count} times`);
    }
    if (coldRunning !== null && coldRunning > COLD_CAPACITY) {
      this.recordBreach(
        'cold-start',
        `${run.server} has ${coldRunning} calls in flight directly after a start`,
      );
    }
    const text = [run.path, ...run.headers.keys(), ...run.headers.values(), run.body].join('\n');
    if (/key-of|fo-yek/.test(text))
      this.recordBreach('key-hidden', `${id} reached ${run.server} with a key`);
    const account = run.headers.get('almondhoist-account');
    if (tracked?.route !== 'open' && account !== tracked?.account) {
      this.recordBreach(
        'own-account',
        `${id} of account ${tracked?.account} runs for account ${account}`,
      );
    }
  }

  recordReply(tracked: TrackedRequest, reply: EntryReply): void {
    this.replies.set(tracked.id, reply);
    if (tracked.isRoot) this.answers[reply.code] = (this.answers[reply.code] ?? 0) + 1;
    const body = Buffer.from(reply.body).toString();
    if (reply.code === 'ok' && reply.status === 200 && body !== answerFor(tracked.path)) {
      this.recordBreach(
        'own-answer',
        `${tracked.id} for ${tracked.path} was answered with ${body}`,
      );
    }
    const canHaveRun =
      this.#startedIds.has(tracked.id) ||
      (tracked.route === 'order' && (this.runs.get(tracked.path) ?? 0) > 0);
    if (reply.isNotRun && canHaveRun) {
      this.recordBreach(
        'not-run',
        `${tracked.id} ran and was answered with "not run" (${reply.code})`,
      );
    }
  }

  #checkRate({ rootId, requestId, caller }: Subject): void {
    if (rootId !== requestId || caller.kind === 'anonymous' || this.#sends.has(rootId)) return;
    this.#sends.set(rootId, { total: 0, retries: 0 });
    const limit = LIMITS.get(caller.account) ?? { ratePerSecond: 0, burst: 0 };
    const before = this.#rateAudits.get(caller.account) ?? EMPTY_RATE_AUDIT;
    const { audit, violations } = auditAdmission(before, this.now(), limit);
    this.#rateAudits.set(caller.account, audit);
    violations.forEach(({ promise, detail }) =>
      this.recordBreach(promise, `${caller.account}: ${detail}`),
    );
  }

  #checkRetries(rootId: string, isRetry: boolean): void {
    const sends = this.#sends.get(rootId) ?? { total: 0, retries: 0 };
    sends.total += 1;
    sends.retries += isRetry ? 1 : 0;
    this.#sends.set(rootId, sends);
    if (sends.retries > RETRIES) {
      this.recordBreach('retry-bound', `${rootId}: ${sends.retries} retries, ${RETRIES} allowed`);
    }
    const calls = CALLS_PER_ROOT[this.#routeByRootId.get(rootId) ?? 'read'];
    // A retried call sends its nested calls again, so each retry can repeat the whole call tree.
    if (sends.total > calls * (1 + RETRIES)) {
      this.recordBreach('retry-bound', `${rootId}: ${sends.total} sends for ${calls} calls`);
    }
  }

  #checkVersionOrder(
    process: string,
    details: Readonly<Record<string, string | number>> = {},
  ): void {
    const key = `${process} ${details['topic']}`;
    const version = Number(details['version']);
    const last = this.#versions.get(key) ?? 0;
    this.#versions.set(key, version);
    if (version < last)
      this.recordBreach('configuration-order', `${key}: version ${version} after ${last}`);
  }
}
