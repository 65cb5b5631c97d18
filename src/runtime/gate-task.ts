import { decideGate } from '../core/admission/gate.js';
import type { DispatchEnd, GateEffect, GateMessage } from '../core/admission/gate-message.js';
import { gateLoad, startGate, type Gate, type RunningCall } from '../core/admission/gate-state.js';
import {
  countAnswer,
  countCrash,
  noCrashes,
  ranAtLatestCrash,
  type CrashCount,
} from '../core/crash/crash-count.js';
import { isCompletion } from '../core/crash/crash-message.js';
import type { Log } from '../core/logs/log-entry.js';
import { subjectOf } from '../core/logs/subject.js';
import type { Answer, Call, Feedback, Header, Outcome } from '../core/model/call.js';
import type { BackendServer } from '../core/model/configuration.js';
import type { GateState, Load } from '../core/model/load.js';
import type { AccountName, RequestId } from '../core/model/names.js';
import { codeOf } from '../core/model/outcome.js';
import type { Clock } from '../core/model/time.js';
import type { ContextHandles } from '../core/pipeline/context-handle.js';
import type { ViolationReporter } from '../core/promises/report.js';
import type { RunReport } from '../core/retry/run-message.js';
import { Task } from '../core/task/task.js';
import { BackendClient } from './backend-client.js';
import type { BackendEvent } from './backend-exchange.js';
import type { Metrics } from './metrics.js';
import type { Environment } from './environment.js';
import type { RunTask } from './run-task.js';

/** Backend server of the gate and the dependencies on its node. */
export interface GateTaskOptions {
  readonly backendServer: BackendServer;
  readonly url: string;
  readonly maxBodyBytes: number;
  readonly environment: Pick<Environment, 'openPool' | 'probeServer'>;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly report: ViolationReporter;
  readonly handles: ContextHandles;
  readonly runs: RunTask;
  readonly isQuarantined: (fingerprint: string) => boolean;
  readonly isCrashSuspect: (fingerprint: string) => boolean;
  /** Called after a crash, with its number and the fingerprints of calls that were running. */
  readonly onCrash: (crash: number, fingerprints: readonly string[]) => void;
  readonly onCompleted: (fingerprint: string) => void;
}

type Reply = (answer: Answer) => void;

interface PendingCall {
  readonly call: Call;
  readonly reply: Reply;
}

interface EndedDispatch {
  readonly requestId: RequestId;
  readonly end: DispatchEnd;
}

/** Possible crash of the backend server that a probe has yet to confirm. */
interface SuspectedCrash {
  readonly running: readonly RunningCall[];
  readonly incarnation: string | null;
  readonly held: readonly EndedDispatch[];
}

const TICK_INTERVAL_MS = 100;

const EMPTY_RUN_REPORT: Omit<RunReport, 'requestId'> = {
  retriesSpent: 0,
  ownLatencyMs: 0,
  feedback: [],
};

function hasCompleted(end: DispatchEnd): boolean {
  return (
    end.kind === 'answered' && end.outcome.kind === 'answered' && isCompletion(end.outcome.status)
  );
}

/** Owns admission to the backend server: admits calls, dispatches them and answers their senders. */
export class GateTask {
  readonly #options: GateTaskOptions;

  readonly #task: Task<Gate, GateMessage, GateEffect>;

  readonly #client: BackendClient;

  readonly #pending = new Map<RequestId, PendingCall>();

  readonly #runReports = new Map<RequestId, RunReport>();

  /** Calls whose first byte was written: they may have run, so they must not be refused. */
  readonly #started = new Set<RequestId>();

  readonly #ticker: NodeJS.Timeout;

  #incarnation: string | null = null;

  #suspectedCrash: SuspectedCrash | null = null;

  #crashCount: CrashCount = noCrashes;

  /**
   * @param options - the backend server and the dependencies on the node
   */
  constructor(options: GateTaskOptions) {
    this.#options = options;
    const { backendServer, clock, url, maxBodyBytes, environment } = options;
    this.#task = new Task({
      initial: startGate({ backendServer, state: 'serving', now: clock.now() }),
      decide: decideGate,
      clock,
      perform: (effect) => this.#perform(effect),
    });
    this.#client = new BackendClient({
      url,
      connections: Math.min(backendServer.connections, backendServer.slots),
      maxBodyBytes,
      clock,
      openPool: environment.openPool,
      onEvent: (event) => this.#handleEvent(event),
    });
    this.#ticker = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
  }

  /** @returns the current load of the gate */
  get load(): Load {
    return gateLoad(this.#task.state);
  }

  /** @returns the number of calls without an answer */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /**
   * Admits a call, or refuses it.
   *
   * @param call - the call; its instants are on the clock of this node
   * @param reply - receives exactly one answer
   */
  admit(call: Call, reply: Reply): void {
    this.#pending.set(call.requestId, { call, reply });
    if (this.#options.isQuarantined(call.fingerprint)) {
      this.#answer(call.requestId, { kind: 'refused', code: 'quarantined', retryAfterMs: 0 }, []);
      return;
    }
    this.#task.send({ kind: 'arrived', call });
  }

  /**
   * Cancels a call whose answer is no longer needed.
   *
   * @param requestId - identifier of the call; an unknown one is ignored
   */
  cancel(requestId: RequestId): void {
    if (this.#pending.has(requestId)) this.#task.send({ kind: 'cancelled', requestId });
  }

  /**
   * Applies a configuration.
   *
   * @param backendServer - slots, connections and other settings of the backend server
   * @param weights - weights of the accounts in fair sharing
   */
  configure(backendServer: BackendServer, weights: ReadonlyMap<AccountName, number>): void {
    this.#task.send({ kind: 'configured', backendServer });
    this.#task.send({ kind: 'weights-configured', weights });
  }

  /**
   * Changes whether the gate accepts new calls.
   *
   * @param state - the new state
   */
  changeState(state: GateState): void {
    if (this.load.state !== state) this.#task.send({ kind: 'state-changed', state });
  }

  /**
   * Stops the timer and closes the connections to the backend server.
   *
   * @param isOrderly - whether running calls may finish first
   */
  async close(isOrderly: boolean): Promise<void> {
    clearInterval(this.#ticker);
    await this.#client.close(isOrderly);
  }

  #tick(): void {
    this.#task.send({ kind: 'tick' });
    const { metrics } = this.#options;
    const { running, queued, limit } = this.load;
    metrics.gateCalls.set({ state: 'running' }, running);
    metrics.gateCalls.set({ state: 'queued' }, queued);
    metrics.gateLimit.set(limit);
    metrics.gateAllocating.set(this.#task.state.fractions.isAllocating ? 1 : 0);
  }

  #perform(effect: GateEffect): void {
    switch (effect.kind) {
      case 'dispatch':
        this.#dispatch(effect.call);
        break;
      case 'abort':
        this.#client.abort(effect.requestId);
        break;
      case 'answer':
        this.#answer(effect.requestId, effect.outcome, [effect.feedback]);
        break;
      case 'violation':
        this.#options.report(effect);
        break;
    }
  }

  #dispatch(call: Call): void {
    const { log, runs, backendServer } = this.#options;
    log.write({ kind: 'dispatch', ...subjectOf(call), backendServer: backendServer.name });
    runs.start(call);
    this.#client.dispatch(call, this.#addedHeaders(call));
  }

  #addedHeaders(call: Call): readonly Header[] {
    const { handles, clock } = this.#options;
    const remainingMs = Math.max(0, Math.floor(call.deadline - clock.now()));
    const account: readonly Header[] =
      call.caller.kind === 'account' ? [['almondhoist-account', call.caller.account]] : [];
    return [
      ...account,
      ['almondhoist-context', handles.issue(call.rootId, call.requestId)],
      ['almondhoist-request-id', call.requestId],
      ['almondhoist-root-id', call.rootId],
      ['almondhoist-deadline-ms', String(remainingMs)],
    ];
  }

  #handleEvent(event: BackendEvent): void {
    switch (event.kind) {
      case 'started':
        this.#started.add(event.requestId);
        break;
      case 'ended':
        this.#handleEnd(event);
        break;
      case 'connection-reset':
        this.#suspectCrash();
        break;
      case 'connection-refused':
        this.#task.send({ kind: 'restart-suspected', signal: 'connection-refused' });
        break;
      case 'incarnation':
        this.#recordIncarnation(event.incarnation);
        break;
    }
  }

  #handleEnd({ requestId, end }: EndedDispatch): void {
    const hasServerFailed = end.kind === 'failed' && end.code === 'serverFailed';
    if (hasServerFailed && this.#suspectedCrash !== null) {
      const held = [...this.#suspectedCrash.held, { requestId, end }];
      this.#suspectedCrash = { ...this.#suspectedCrash, held };
      return;
    }
    this.#endDispatch(requestId, end);
  }

  #endDispatch(requestId: RequestId, end: DispatchEnd): void {
    const { runs, onCompleted } = this.#options;
    const call = this.#pending.get(requestId)?.call;
    const runReport = runs.end(requestId);
    if (runReport !== null) this.#runReports.set(requestId, runReport);
    if (call !== undefined && hasCompleted(end)) onCompleted(call.fingerprint);
    this.#task.send({
      kind: 'ended',
      requestId,
      end,
      ownLatencyMs: runReport?.ownLatencyMs ?? 0,
    });
  }

  /** Defers failed calls until a probe distinguishes a crash from a lost connection. */
  #suspectCrash(): void {
    if (this.#suspectedCrash !== null) return;
    this.#suspectedCrash = {
      running: [...this.#task.state.running.values()],
      incarnation: this.#incarnation,
      held: [],
    };
    this.#task.send({ kind: 'restart-suspected', signal: 'connection-reset' });
    void this.#probe();
  }

  async #probe(): Promise<void> {
    const { environment, url } = this.#options;
    const result = await environment.probeServer(url);
    const suspectedCrash = this.#suspectedCrash;
    this.#suspectedCrash = null;
    if (suspectedCrash === null) return;
    const hasRestarted =
      result.kind === 'answered' &&
      result.incarnation !== null &&
      suspectedCrash.incarnation !== null &&
      result.incarnation !== suspectedCrash.incarnation;
    const hasCrashed = result.kind === 'refused' || hasRestarted;
    // Only marks of earlier crashes count here; marks of this crash would block every retry.
    const ends = suspectedCrash.held.map((held) => this.#resolveEnd(held, hasCrashed));
    if (hasCrashed) this.#recordCrash(suspectedCrash.running);
    if (result.kind === 'answered') this.#recordProbeAnswer(result.incarnation);
    ends.forEach(({ requestId, end }) => this.#endDispatch(requestId, end));
  }

  /** Reports the calls that ran at a crash, of which some may have run at an earlier one. */
  #recordCrash(running: readonly RunningCall[]): void {
    const { clock, onCrash } = this.#options;
    const earlier = this.#crashCount;
    const isLate = ({ dispatchedAt }: RunningCall) => ranAtLatestCrash(earlier, dispatchedAt);
    const fingerprintsOf = (calls: readonly RunningCall[]) =>
      calls.map(({ call }) => call.fingerprint);
    const late = running.filter(isLate);
    if (late.length > 0) onCrash(earlier.crashes, fingerprintsOf(late));
    if (late.length === running.length) return;
    this.#crashCount = countCrash(earlier, clock.now());
    const others = running.filter((call) => !isLate(call));
    onCrash(this.#crashCount.crashes, fingerprintsOf(others));
  }

  #recordProbeAnswer(incarnation: string | null): void {
    this.#crashCount = countAnswer(this.#crashCount);
    if (incarnation !== null) this.#recordIncarnation(incarnation);
  }

  #resolveEnd({ requestId, end }: EndedDispatch, hasCrashed: boolean): EndedDispatch {
    const fingerprint = this.#pending.get(requestId)?.call.fingerprint;
    const isSuspect = fingerprint !== undefined && this.#options.isCrashSuspect(fingerprint);
    return hasCrashed && isSuspect
      ? { requestId, end: { kind: 'failed', code: 'serverCrashed' } }
      : { requestId, end };
  }

  #recordIncarnation(incarnation: string): void {
    this.#crashCount = countAnswer(this.#crashCount);
    const isChanged = this.#incarnation !== null && this.#incarnation !== incarnation;
    this.#incarnation = incarnation;
    if (isChanged) this.#task.send({ kind: 'restart-suspected', signal: 'incarnation-changed' });
  }

  #answer(requestId: RequestId, outcome: Outcome, ownFeedback: readonly Feedback[]): void {
    const pendingCall = this.#pending.get(requestId);
    if (pendingCall === undefined) return;
    const { log, metrics, backendServer } = this.#options;
    const runReport = this.#runReports.get(requestId) ?? EMPTY_RUN_REPORT;
    this.#assertNotRun(requestId, outcome);
    this.#pending.delete(requestId);
    this.#runReports.delete(requestId);
    this.#started.delete(requestId);
    const code = codeOf(outcome);
    const status = outcome.kind === 'answered' ? outcome.status : null;
    metrics.gateAnswers.inc({ code });
    log.write({
      kind: 'gate-answer',
      ...subjectOf(pendingCall.call),
      backendServer: backendServer.name,
      code,
      status,
    });
    pendingCall.reply({
      requestId,
      outcome,
      retriesSpent: runReport.retriesSpent,
      feedback: [...ownFeedback, ...runReport.feedback],
      load: this.load,
    });
  }

  #assertNotRun(requestId: RequestId, outcome: Outcome): void {
    const isRefused = outcome.kind === 'refused';
    // With a shed answer, the backend server itself states that it did not run the call.
    const isServerShed = isRefused && outcome.code === 'serverShed';
    if (!isRefused || isServerShed || !this.#started.has(requestId)) return;
    this.#options.report({
      kind: 'violation',
      promise: 'not-run',
      detail: `${requestId} was refused with ${outcome.code} after its first byte was written`,
    });
  }
}
