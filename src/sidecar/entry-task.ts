import type { Directory } from '../core/directory/directory.js';
import type { Instance } from '../core/directory/instance.js';
import type { CodeName } from '../core/errors/registry.js';
import {
  admitRequest,
  type AdmissionView,
  type AdmittedRequest,
} from '../core/exchange/admission-pipeline.js';
import type { IncomingRequest } from '../core/exchange/incoming-request.js';
import type { GateLoad, MeshCall, MeshOutcome } from '../core/exchange/mesh-call.js';
import type { Log } from '../core/logs/log-entry.js';
import type { ServiceName } from '../core/model/names.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import { chooseGate, type ScoredInstance } from '../core/placement/choose-gate.js';
import { buildGateTable, noGates, type GateTable } from '../core/placement/gate-table.js';
import {
  initialGateView,
  recordEnd,
  recordSent,
  type GateView,
} from '../core/placement/gate-view.js';
import {
  addLeavingInstance,
  isLeavingInstance,
  type LeavingInstances,
} from '../core/placement/leaving-instances.js';
import { finalOutcome, decideNextStep, type SendResult } from '../core/placement/next-send.js';
import {
  expectServiceTime,
  recordServiceTime,
  type ServiceTime,
} from '../core/placement/service-time.js';
import { setCoarseTimeout } from './coarse-timeout.js';
import type { GateCall, ResultHandler } from './gate-call.js';
import type { LinkResult } from './mesh-link.js';
import { PlacedRequest, type AnswerHandler } from './placed-request.js';
import type { ReadBarrier } from './read-barrier.js';

/** Options of the entry. */
export interface EntryTaskOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  /** Delays each send until the departures of callers that are readable have been read. */
  readonly readBarrier: ReadBarrier;
  readonly zone: string;
  /** Service of the own backend server, recorded as the origin of all requests at this entry. */
  readonly origin: ServiceName;
  readonly view: AdmissionView;
  /** Sends a call to a gate, which may refuse it before this returns. */
  readonly send: (instance: Instance, call: MeshCall, receive: ResultHandler) => GateCall;
  readonly isReachable: (instance: Instance) => boolean;
  /** @returns whether the retry budget granted the request one more retry */
  readonly acquireRetry: (call: AdmittedRequest) => boolean;
  readonly onAdmitted: (service: ServiceName) => void;
  /** Called with the load that a gate reports in its reply to a call. */
  readonly onGateReply: (call: AdmittedRequest, load: GateLoad, outcome: MeshOutcome) => void;
  readonly onAnswer: (code: CodeName, tookMs: Milliseconds) => void;
}

/** A request in progress, which its owner can cancel. */
export interface Exchange {
  /** Cancels the request, for a caller that no longer waits for the answer. */
  readonly cancel: () => void;
}

/** The gate enforces the deadline itself, so the entry waits slightly longer for its reply. */
const DEADLINE_GRACE_MS: Milliseconds = 60;

/** Minimum time before the deadline for sending a request again. */
const MIN_TIME_FOR_SEND_MS: Milliseconds = 10;

/** Filters requests of callers and of the own backend server, and places them at gates. */
export class EntryTask {
  readonly #options: EntryTaskOptions;

  #gates: GateTable = new Map();

  readonly #gateViews = new Map<string, GateView>();

  readonly #serviceTimes = new Map<ServiceName, ServiceTime>();

  #leavingInstances: LeavingInstances = new Map();

  /** Requests that have no answer yet. */
  readonly #open = new Set<PlacedRequest>();

  /**
   * @param options - the node's other tasks
   */
  constructor(options: EntryTaskOptions) {
    this.#options = options;
  }

  /** @returns the number of requests that have no answer yet */
  get openRequests(): number {
    return this.#open.size;
  }

  /**
   * Applies a directory, and removes the state of gates and services that it no longer lists.
   *
   * @param directory - the current directory
   */
  updateDirectory(directory: Directory): void {
    this.#gates = buildGateTable(directory, this.#options.zone);
    const listed = new Set(directory.instances.map(({ id }) => id));
    [...this.#gateViews.keys()].forEach((id) => {
      if (!listed.has(id)) this.#gateViews.delete(id);
    });
    [...this.#serviceTimes.keys()].forEach((service) => {
      if (!this.#gates.has(service)) this.#serviceTimes.delete(service);
    });
  }

  /**
   * Handles a request.
   *
   * @param request - the complete request
   * @param arrivedAt - when its header section arrived
   * @param answer - takes the answer, at once when a filter refuses the request
   * @returns the request in progress
   */
  handle(request: IncomingRequest, arrivedAt: Instant, answer: AnswerHandler): Exchange {
    const { view, origin } = this.#options;
    return admitRequest(view, request, origin, arrivedAt).match(
      (admitted) => this.#place(admitted, answer),
      ({ code, retryAfterMs, details }) => {
        const outcome: MeshOutcome = { kind: 'refused', code, retryAfterMs, wasOffered: false };
        this.#logEnd(request.requestId ?? '', outcome, arrivedAt, {
          path: request.path,
          ...details,
        });
        answer(outcome);
        return { cancel: () => {} };
      },
    );
  }

  /** Ends all open requests, for an exit of the node: each is answered by what is known of it. */
  endAll(): void {
    this.#open.forEach((placed) => {
      const isNotRun = this.#cancelGateCall(placed, 'abandoned');
      const mayHaveRun = placed.history.hasPossiblyRun || !isNotRun;
      const lastCode = mayHaveRun ? 'stopBroke' : 'nodeLeaving';
      this.#end(placed, finalOutcome({ ...placed.history, hasPossiblyRun: mayHaveRun, lastCode }));
    });
  }

  #place(admitted: AdmittedRequest, answer: AnswerHandler): Exchange {
    const placed = new PlacedRequest(admitted, answer);
    this.#open.add(placed);
    this.#options.onAdmitted(admitted.service);
    const leftMs = admitted.deadline - this.#options.clock.now() + DEADLINE_GRACE_MS;
    placed.setTimer(
      setCoarseTimeout(() => this.#end(placed, this.#timeoutOutcome(placed)), leftMs),
    );
    this.#scheduleSend(placed);
    return { cancel: () => this.#cancel(placed) };
  }

  #end(placed: PlacedRequest, outcome: MeshOutcome): void {
    const finalResult = this.#withRetryAfter(placed.admitted, outcome);
    if (!placed.end(finalResult)) return;
    this.#open.delete(placed);
    this.#logPlaced(placed, finalResult);
  }

  /** Adds a retry delay to every refusal. */
  #withRetryAfter({ route }: AdmittedRequest, outcome: MeshOutcome): MeshOutcome {
    if (outcome.kind !== 'refused') return outcome;
    const delayMs = this.#options.view.retryDelayMs(route);
    return { ...outcome, retryAfterMs: Math.max(outcome.retryAfterMs, delayMs) };
  }

  /** Builds the outcome at the deadline; a call that is still at a gate may have run. */
  #timeoutOutcome(placed: PlacedRequest): MeshOutcome {
    const isAtGate = placed.current !== null;
    this.#cancelGateCall(placed, 'failed');
    const mayHaveRun = placed.history.hasPossiblyRun || isAtGate;
    return finalOutcome({
      ...placed.history,
      hasPossiblyRun: mayHaveRun,
      lastCode: mayHaveRun ? 'deadlinePassed' : 'deadlineUnreachable',
    });
  }

  #cancel(placed: PlacedRequest): void {
    if (!placed.end(null)) return;
    this.#open.delete(placed);
    this.#cancelGateCall(placed, 'abandoned');
    this.#logPlaced(placed, { kind: 'failed', code: 'cancelledRunning' });
  }

  /** Returns whether the call certainly has not run and will not run. */
  #cancelGateCall({ current }: PlacedRequest, result: 'failed' | 'abandoned'): boolean {
    if (current === null) return true;
    const { call, instance } = current;
    const isNotRun = call.cancel();
    const now = this.#options.clock.now();
    this.#setView(instance, recordEnd(this.#viewOf(instance), result, null, now));
    return isNotRun;
  }

  /** Sends a request after the departures of callers that are readable have been read. */
  #scheduleSend(placed: PlacedRequest): void {
    this.#options.readBarrier.run(() => this.#endOnError(placed, () => this.#sendNext(placed)));
  }

  /** Runs a step of a request, whose caller gets an answer also when the step throws. */
  #endOnError(placed: PlacedRequest, run: () => void): void {
    try {
      run();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.#options.log.write({ kind: 'event', code: 'internal', details: { reason } });
      this.#end(placed, { kind: 'failed', code: 'internal' });
    }
  }

  #sendNext(placed: PlacedRequest): void {
    if (placed.isEnded) return;
    const chosen = this.#chooseInstance(placed);
    if (chosen === null) this.#end(placed, finalOutcome(placed.history));
    else this.#send(placed, chosen);
  }

  #receive(placed: PlacedRequest, instance: Instance, result: LinkResult): void {
    placed.setCurrent(null);
    if (placed.isEnded) return;
    const { admitted } = placed;
    this.#recordResult(admitted, instance, result);
    const { repeatability, attempts } = admitted.route;
    const sent: SendResult =
      result.kind === 'replied' ? { kind: 'replied', outcome: result.reply.outcome } : result;
    const next = decideNextStep(placed.history, sent, { repeatability, attempts });
    placed.setHistory(next.history);
    if (next.kind === 'answer') {
      this.#end(placed, next.outcome);
      return;
    }
    const canResend = this.#hasTimeLeft(admitted) && this.#acquireRetry(next.kind, admitted);
    if (canResend) this.#scheduleSend(placed);
    else this.#end(placed, finalOutcome(next.history));
  }

  #hasTimeLeft({ deadline }: AdmittedRequest): boolean {
    return deadline - this.#options.clock.now() >= MIN_TIME_FOR_SEND_MS;
  }

  #acquireRetry(kind: 'try-another' | 'retry', admitted: AdmittedRequest): boolean {
    return kind === 'try-another' || this.#options.acquireRetry(admitted);
  }

  #chooseInstance({ admitted, tried }: PlacedRequest): ScoredInstance | null {
    const { clock, random, isReachable } = this.#options;
    const { service } = admitted;
    const now = clock.now();
    return chooseGate({
      gates: this.#gates.get(service) ?? noGates,
      views: this.#gateViews,
      tried,
      isLeaving: (instance) => isLeavingInstance(this.#leavingInstances, instance),
      isReachable,
      expectedServiceTimeMs: expectServiceTime(this.#serviceTimes.get(service), now),
      now,
      random,
    });
  }

  #send(placed: PlacedRequest, { instance, scoreMs }: ScoredInstance): void {
    const { admitted, tried } = placed;
    const { log, send } = this.#options;
    placed.recordSend(instance);
    const now = this.#options.clock.now();
    this.#setView(instance, recordSent(this.#viewOf(instance), now));
    if (tried.size > 1) {
      log.write({
        kind: 'decision',
        stage: 'placement',
        requestId: admitted.requestId,
        code: placed.history.lastCode,
        details: {
          instance: instance.id,
          zone: instance.zone,
          scoreMs: Math.round(scoreMs),
          send: tried.size,
        },
      });
    }
    let isOver = false;
    const call = send(instance, this.#buildCall(admitted, instance), (result) => {
      isOver = true;
      this.#endOnError(placed, () => this.#receive(placed, instance, result));
    });
    // A gate that refuses the call at once has given its result by now.
    if (!isOver) placed.setCurrent({ call, instance });
  }

  #buildCall(admitted: AdmittedRequest, instance: Instance): MeshCall {
    const { request, route, account, rank, service, arrivedAt } = admitted;
    const now = this.#options.clock.now();
    return {
      requestId: admitted.requestId,
      route: route.name,
      service,
      instance: instance.id,
      origin: this.#options.origin,
      account: account?.name ?? null,
      rank,
      repeatability: route.repeatability,
      timeLeftMs: admitted.deadline - now,
      objectiveLeftMs: route.latencyObjectiveMs - (now - arrivedAt),
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
    };
  }

  #viewOf({ id }: Instance): GateView {
    return this.#gateViews.get(id) ?? initialGateView;
  }

  #setView({ id }: Instance, view: GateView): void {
    this.#gateViews.set(id, view);
  }

  #recordResult(admitted: AdmittedRequest, instance: Instance, result: LinkResult): void {
    const now = this.#options.clock.now();
    const view = this.#viewOf(instance);
    switch (result.kind) {
      case 'unsent':
      case 'lost':
        this.#setView(instance, recordEnd(view, 'unreachable', null, now));
        break;
      case 'replied': {
        const { outcome, load } = result.reply;
        this.#recordServiceTime(instance, load, now);
        if (load.isLeaving) {
          this.#leavingInstances = addLeavingInstance(this.#leavingInstances, instance, now);
        }
        const isServerError = outcome.kind === 'answered' && outcome.status >= 500;
        const placementResult =
          outcome.kind === 'answered' && isServerError ? 'server-error' : outcome.kind;
        this.#setView(instance, recordEnd(view, placementResult, load, now));
        this.#options.onGateReply(admitted, load, outcome);
        break;
      }
    }
  }

  #recordServiceTime({ service }: Instance, { serviceTimeMs }: GateLoad, now: Instant): void {
    const before = this.#serviceTimes.get(service);
    this.#serviceTimes.set(service, recordServiceTime(before, serviceTimeMs, now));
  }

  #logPlaced({ admitted, history, tried }: PlacedRequest, outcome: MeshOutcome): void {
    const { requestId, route, service, account, arrivedAt, rank } = admitted;
    this.#logEnd(requestId, outcome, arrivedAt, {
      route: route.name,
      service,
      account: account?.name ?? (rank.isNested ? 'nested' : 'none'),
      instance: [...tried].at(-1) ?? 'none',
      sends: tried.size,
      offered: history.offered,
    });
  }

  #logEnd(
    requestId: string,
    outcome: MeshOutcome,
    arrivedAt: Instant,
    details: Readonly<Record<string, string | number>>,
  ): void {
    const tookMs = Math.round(this.#options.clock.now() - arrivedAt);
    const code: CodeName = outcome.kind === 'answered' ? 'ok' : outcome.code;
    const status = outcome.kind === 'answered' ? outcome.status : 0;
    this.#options.log.write({
      kind: 'decision',
      stage: 'entry',
      requestId,
      code,
      details: { ...details, status, tookMs },
    });
    this.#options.onAnswer(code, tookMs);
  }
}
