import { dispatchLimit, gateLoad } from '../core/dispatch/dispatch-limit.js';
import { closedCode, createDispatchState, decideDispatch } from '../core/dispatch/dispatch.js';
import type {
  Condition,
  DispatchEffect,
  DispatchMessage,
  DispatchState,
  CallId,
} from '../core/dispatch/dispatch-state.js';
import type { Instance } from '../core/directory/instance.js';
import type { CodeName } from '../core/errors/registry.js';
import type { Dialect } from '../core/exchange/dialect.js';
import {
  refusedOutcome,
  type GateLoad,
  type MeshCall,
  type MeshOutcome,
  type MeshReply,
} from '../core/exchange/mesh-call.js';
import type { Log } from '../core/logs/log-entry.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import { noCost, type AnswerCost } from '../core/reading/answer-cost.js';
import type { ServiceProfile } from '../core/policy/policy.js';
import { reportViolations, type ViolationReporter } from '../core/promises/report.js';
import { assertPromise } from '../core/promises/violation.js';
import { Task } from '../core/task/task.js';
import type { ReadPacer } from '../runtime/read-pacer.js';
import { setCoarseTimeout } from './coarse-timeout.js';
import type { ExchangeEnd } from './backend-exchange.js';
import type { HeldBodies } from './held-bodies.js';
import { BackendMonitor } from './backend-monitor.js';
import { BackendSender, type RunningCall } from './backend-sender.js';
import { BreakerLog } from './breaker-log.js';
import { exchangeResult } from './exchange-result.js';
import { NoticeFilter } from './notice-filter.js';
import { describeGateDecision, type PendingCall } from './gate-decision.js';
import { ProcessorLimitLog } from './processor-limit-log.js';
import type { ProcessorWatch } from './processor-watch.js';

/** Options of the gate. */
export interface DispatchTaskOptions {
  /** Base URL of the backend server. */
  readonly url: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly dialect: Dialect;
  readonly pacer: ReadPacer;
  /** @returns limit of the bytes of all answers that are being received */
  readonly maxBufferedBytes: () => number;
  /** Counts the bodies of calls. */
  readonly bodies: HeldBodies;
  /** Looks for a pause before an event that may start a call; `hold` is called after one. */
  readonly checkPause: () => void;
  readonly processorWatch: ProcessorWatch;
  /** Pressure of the services that the backend server calls, from 0 to 1. */
  readonly downstreamPressure: () => number;
  /** Called after a crash with its number and the fingerprints of requests that ran at it. */
  readonly onBackendCrash: (crash: number, fingerprints: readonly string[]) => void;
  readonly onCompleted: (call: MeshCall, status: number) => void;
  readonly onReply: (code: CodeName) => void;
  /** Called at the end of an exchange with what its answer has cost. */
  readonly onAnswerRead: (cost: AnswerCost) => void;
  /** Called when the assertion of a promise fails. */
  readonly onViolation: ViolationReporter;
}

const QUEUE_TICK_MS: Milliseconds = 10;

/** The backend server enforces the deadline itself; its response arrives slightly after it. */
const DEADLINE_GRACE_MS: Milliseconds = 30;

/** Slots until the directory and the policy are known. */
const INITIAL_SLOTS = 1;

/** Gate of the node: queues calls and is the only sender of requests to the own backend server. */
export class DispatchTask {
  readonly #options: DispatchTaskOptions;

  readonly #task: Task<DispatchState, DispatchMessage, DispatchEffect>;

  readonly #pendingCalls = new Map<CallId, PendingCall>();

  readonly #runningCalls = new Map<CallId, RunningCall>();

  readonly #monitor: BackendMonitor;

  readonly #sender: BackendSender;

  readonly #notices: NoticeFilter;

  readonly #processorLimitLog: ProcessorLimitLog;

  readonly #breakerLog: BreakerLog;

  #nextCallId: CallId = 1;

  #queueTimer: NodeJS.Timeout | null = null;

  /** Directory entry for the address of the backend server. */
  #listedInstance: Instance | null = null;

  #isStopping = false;

  /**
   * @param options - address of the backend server and the node's handlers
   */
  constructor(options: DispatchTaskOptions) {
    this.#options = options;
    this.#task = new Task({
      initial: createDispatchState({ slots: INITIAL_SLOTS, coldRatePerSecond: 0 }),
      decide: decideDispatch,
      clock: options.clock,
      perform: (effect) => this.#perform(effect),
    });
    const { url, clock, dialect, pacer, log, onBackendCrash } = options;
    this.#notices = new NoticeFilter({
      log,
      limit: () => this.#task.state.startLimit,
      isLeaving: () => this.#task.state.isBackendLeaving,
      send: (message) => this.#task.send(message),
    });
    this.#processorLimitLog = new ProcessorLimitLog(log);
    this.#breakerLog = new BreakerLog(log);
    this.#sender = new BackendSender(options);
    this.#monitor = new BackendMonitor({
      url,
      clock,
      dialect,
      pacer,
      onCrash: onBackendCrash,
      onConditionChange: (condition, reason) => this.#setCondition(condition, reason),
      onHealthReport: (report) => this.#notices.applyHealthReport(report),
    });
  }

  /** @returns the number of calls that are queued or running */
  get pendingCalls(): number {
    return this.#pendingCalls.size;
  }

  /** @returns the bytes of answers that are being received */
  get heldBytes(): number {
    return this.#sender.heldBytes;
  }

  /** @returns the number of calls that may run at the same time */
  get limit(): number {
    return dispatchLimit(this.#task.state);
  }

  /** @returns whether the gate accepts calls and the backend server is known to accept requests */
  get isOpen(): boolean {
    const { state } = this.#task;
    const { condition } = state;
    return closedCode(state) === null && (condition.kind === 'warm' || condition.kind === 'cold');
  }

  /** @returns the load of the gate and of the services that its backend server calls */
  get load(): GateLoad {
    const { clock, processorWatch, downstreamPressure } = this.#options;
    const node = { processor: processorWatch.pressure, downstream: downstreamPressure() };
    return gateLoad(this.#task.state, node, clock.now());
  }

  /**
   * Applies the directory entry and the service profile of the backend server.
   *
   * @param listed - directory entry for the address, or null when there is none
   * @param profile - profile of its service, or null when the policy has none
   * @param closed - result code with which new calls are refused, or null to accept them
   */
  update(listed: Instance | null, profile: ServiceProfile | null, closed: CodeName | null): void {
    const before = this.#listedInstance;
    this.#listedInstance = listed;
    if (profile !== null) this.#monitor.setHealthPath(profile.healthPath);
    if (listed !== null && profile !== null) {
      this.#task.send({
        kind: 'resized',
        slots: listed.slots,
        coldRatePerSecond: profile.warmUpRatePerSecond,
      });
    }
    this.#updateClosed(closed);
    if (listed === null) return;
    const isNewRun = before?.id !== listed.id || before.startedAtUnixMs !== listed.startedAtUnixMs;
    if (isNewRun) {
      this.#task.send({ kind: 'instance-changed' });
      this.#breakerLog.changeInstance(listed.id);
      this.recheck('new directory entry');
    }
    // A backend server may have to warm up again without a restart.
    else if (listed.warmUpLeftMs > 0 && listed !== before) {
      this.#monitor.observe({ kind: 'warm-up-listed', warmUpLeftMs: listed.warmUpLeftMs });
    }
  }

  /** Starts no calls until `release`: their cancellations may wait to be read after a pause. */
  hold(): void {
    this.#task.send({ kind: 'held' });
  }

  /** Starts calls again. */
  release(): void {
    this.#task.send({ kind: 'released' });
  }

  /** Refuses new calls from now on. */
  stop(): void {
    this.#isStopping = true;
    this.#updateClosed(null);
  }

  /**
   * Holds back calls until a health check has responded, since the backend server may have been
   * restarted.
   *
   * @param reason - reason for the log
   */
  recheck(reason: string): void {
    this.#monitor.observe({ kind: 'restart-suspected', reason });
  }

  /**
   * Submits a call, which is queued, started or refused.
   *
   * @param call - the call
   * @param reply - called once, unless the call is cancelled
   * @returns identifier of the call, for `cancel`
   */
  submit(call: MeshCall, reply: (reply: MeshReply) => void): CallId {
    const callId = this.#addPending(call, reply);
    this.#options.checkPause();
    this.#measureProcessor();
    this.#admit(callId, call);
    return callId;
  }

  /**
   * Refuses a call that the node cannot take over.
   *
   * @param call - the call
   * @param code - the reason
   * @param reply - called once
   */
  refuse(call: MeshCall, code: CodeName, reply: (reply: MeshReply) => void): void {
    this.#reply(this.#addPending(call, reply), refusedOutcome(code));
  }

  /**
   * Cancels a call whose caller no longer waits. Once the request may have reached the backend
   * server, the call is aborted only when it is idempotent; any other one runs to its end.
   *
   * @param callId - identifier of the call
   * @returns whether the call certainly has not run and will not run
   */
  cancel(callId: CallId): boolean {
    const found = this.#pendingCalls.get(callId);
    if (found === undefined) return false;
    const run = this.#runningCalls.get(callId);
    const isNotRun = run === undefined || !run.exchange.isStarted;
    if (run === undefined) {
      this.#removePending(callId);
      this.#logDecision(found, null, 'cancelled', 0);
      this.#task.send({ kind: 'cancelled', callId });
    } else if (!run.exchange.isStarted) {
      run.exchange.abort('cancelled');
    } else if (found.call.repeatability === 'idempotent') {
      run.exchange.abort('cancelledRunning');
    }
    return isNotRun;
  }

  /** Stops the health checks and closes the connections to the backend server. */
  async close(): Promise<void> {
    this.#monitor.close();
    if (this.#queueTimer !== null) clearTimeout(this.#queueTimer);
    await this.#sender.close();
  }

  #addPending(call: MeshCall, reply: (reply: MeshReply) => void): CallId {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const now = this.#options.clock.now();
    const timer = setCoarseTimeout(() => this.#expire(callId), call.timeLeftMs);
    const deadline = now + call.timeLeftMs;
    this.#options.bodies.retain(call.body);
    this.#pendingCalls.set(callId, { call, arrivedAt: now, deadline, reply, timer });
    return callId;
  }

  #admit(callId: CallId, call: MeshCall): void {
    const mismatch = this.#findMismatch(call);
    if (mismatch !== null) {
      this.#reply(callId, refusedOutcome(mismatch));
      return;
    }
    const { rank, objectiveLeftMs, timeLeftMs } = call;
    this.#task.send({ kind: 'arrived', callId, rank, objectiveLeftMs, timeLeftMs });
    this.#scheduleQueue();
  }

  #updateClosed(code: CodeName | null): void {
    const next = this.#isStopping ? 'nodeLeaving' : code;
    if (this.#task.state.closed === next) return;
    const hasBeenOut = this.#task.state.closed === 'zoneOut';
    this.#task.send({ kind: 'closed', code: next });
    this.#logEvent('accessClosed', {
      state: next === null ? 'open' : 'closed',
      reason: next ?? 'none',
    });
    // The backend server may have become cold while its zone was out of service.
    if (hasBeenOut && next === null) this.recheck('zone is back in service');
  }

  #findMismatch({ instance, service }: MeshCall): CodeName | null {
    if (this.#listedInstance?.id === instance && this.#listedInstance.service !== service)
      return 'instanceReplaced';
    const current = this.#monitor.instance ?? this.#listedInstance?.id ?? null;
    if (current === instance) return null;
    this.#monitor.checkHealth();
    return 'instanceReplaced';
  }

  #perform(effect: DispatchEffect): void {
    switch (effect.kind) {
      case 'start':
        this.#start(effect.callId);
        break;
      case 'refuse':
        this.#reply(effect.callId, {
          kind: 'refused',
          code: effect.code,
          retryAfterMs: effect.retryAfterMs,
          wasOffered: false,
        });
        break;
      case 'violation':
        this.#options.onViolation(effect);
        break;
    }
  }

  #start(callId: CallId): void {
    const isFirst = !this.#runningCalls.has(callId);
    const detail = () => `call ${callId} was started twice`;
    reportViolations(assertPromise('at-most-once', isFirst, detail), this.#options.onViolation);
    const found = this.#pendingCalls.get(callId);
    if (found === undefined) {
      this.#task.send({ kind: 'ended', callId, end: 'failed' });
      return;
    }
    const { call, deadline } = found;
    const run = this.#sender.prepare(call, (end) => this.#finishExchange(callId, end));
    this.#runningCalls.set(callId, run);
    this.#sender.send(run, call, deadline - run.startedAt);
  }

  #finishExchange(callId: CallId, end: ExchangeEnd): void {
    this.#options.checkPause();
    const found = this.#pendingCalls.get(callId);
    const run = this.#runningCalls.get(callId);
    if (run !== undefined) {
      this.#options.onAnswerRead(run.connection.http.meter.cost);
      this.#sender.finish(run, end);
    }
    if (found === undefined) {
      this.#runningCalls.delete(callId);
      this.#task.send({ kind: 'ended', callId, end: 'failed' });
      return;
    }
    if (run !== undefined) this.#monitor.observeExchange(found.call, run.startedAt, end);
    if (run !== undefined) this.#notices.applyExchange(end, found.call.instance, run.startedAt);
    const result = exchangeResult(end, run?.connection.http.meter.cost ?? noCost);
    if (end.kind === 'answered') this.#options.onCompleted(found.call, end.head.status);
    this.#reply(callId, result.outcome);
    this.#task.send({ kind: 'ended', callId, end: result.end });
    this.#breakerLog.update(this.#task.state.breaker, found.call.instance);
    this.#runningCalls.delete(callId);
    this.#scheduleQueue();
  }

  #setCondition(condition: Condition, reason: string): void {
    const before = this.#task.state.condition.kind;
    this.#options.checkPause();
    this.#task.send({ kind: 'condition', condition });
    this.#scheduleQueue();
    if (before === condition.kind) return;
    const instance = this.#monitor.instance ?? this.#listedInstance?.id ?? 'unknown';
    this.#logEvent('backendCondition', { instance, condition: condition.kind, reason });
  }

  #expire(callId: CallId): void {
    const run = this.#runningCalls.get(callId);
    if (run === undefined) {
      this.#reply(callId, refusedOutcome('deadlineUnreachable'));
      this.#task.send({ kind: 'cancelled', callId });
    } else setTimeout(() => run.exchange.abort('deadlinePassed'), DEADLINE_GRACE_MS);
  }

  #removePending(callId: CallId): PendingCall | null {
    const found = this.#pendingCalls.get(callId) ?? null;
    if (found === null) return null;
    clearTimeout(found.timer);
    this.#pendingCalls.delete(callId);
    this.#options.bodies.release(found.call.body);
    return found;
  }

  #reply(callId: CallId, outcome: MeshOutcome): void {
    const run = this.#runningCalls.get(callId);
    const found = this.#removePending(callId);
    if (found === null) return;
    const code = outcome.kind === 'answered' ? 'ok' : outcome.code;
    this.#options.onReply(code);
    const status = outcome.kind === 'answered' ? outcome.status : 0;
    this.#logDecision(found, run ?? null, code, status);
    found.reply({ outcome, load: this.load });
  }

  #logDecision(
    pending: PendingCall,
    run: RunningCall | null,
    code: CodeName,
    status: number,
  ): void {
    const { clock, log, processorWatch } = this.#options;
    const { state } = this.#task;
    const { utilization } = processorWatch;
    const now = clock.now();
    log.write(describeGateDecision({ pending, run, code, status, state, utilization, now }));
  }

  /**
   * Advances the queue at intervals while calls wait in it: some exceed their waiting time, and a
   * cold backend server may get its next call.
   */
  #scheduleQueue(): void {
    if (this.#queueTimer !== null || this.#task.state.queue.length === 0) return;
    this.#queueTimer = setTimeout(() => {
      this.#queueTimer = null;
      this.#options.checkPause();
      this.#measureProcessor();
      this.#task.send({ kind: 'tick' });
      this.#scheduleQueue();
    }, QUEUE_TICK_MS);
  }

  #measureProcessor(): void {
    const use = this.#options.processorWatch.takeUse();
    if (use === null) return;
    this.#task.send({ kind: 'processor-measured', ...use });
    const { state } = this.#task;
    const { utilization } = use;
    const calls = dispatchLimit(state);
    this.#processorLimitLog.update({ limit: state.processorLimit, utilization, calls });
  }

  #logEvent(code: CodeName, details: Readonly<Record<string, string | number>>): void {
    this.#options.log.write({ kind: 'event', code, details });
  }
}
