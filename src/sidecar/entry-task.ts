import type { Directory } from '../core/directory/directory.js';
import { servingInstances } from '../core/directory/directory.js';
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
import {
  initialGateView,
  recordEnd,
  recordSent,
  type GateView,
} from '../core/placement/gate-view.js';
import { finalOutcome, decideNextStep, type SendResult } from '../core/placement/next-send.js';
import type { GateCall } from './gate-call.js';
import { PlacedRequest } from './placed-request.js';

/** What the entry needs of its node. */
export interface EntryTaskOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  readonly zone: string;
  /** Service of the own backend server, which is the origin of all requests here. */
  readonly origin: ServiceName;
  readonly view: AdmissionView;
  readonly directory: () => Directory;
  readonly send: (instance: Instance, call: MeshCall) => GateCall;
  readonly isReachable: (instance: Instance) => boolean;
  /** @returns whether the retry budget of the service has room for one more */
  readonly mayRepeat: (service: ServiceName) => boolean;
  readonly requestSeen: (service: ServiceName) => void;
  /** A gate told its load in a reply to a call. */
  readonly loadTold: (call: AdmittedRequest, load: GateLoad, outcome: MeshOutcome) => void;
  readonly answered: (code: CodeName, tookMs: Milliseconds) => void;
}

/** A request under way; its owner may give it up. */
export interface Exchange {
  readonly outcome: Promise<MeshOutcome>;
  /** Nobody waits for the answer any more. */
  readonly cancel: () => void;
}

/** A gate answers at the deadline by itself, so its reply is waited for a little longer. */
const DEADLINE_GRACE_MS: Milliseconds = 60;

/** A request is not sent again when less time than this is left. */
const MIN_TIME_FOR_SEND_MS: Milliseconds = 10;

/** Takes requests of callers and of the own backend server through filters and placed. */
export class EntryTask {
  readonly #options: EntryTaskOptions;

  readonly #views = new Map<string, GateView>();

  #open = 0;

  /**
   * @param options - the node's other tasks
   */
  constructor(options: EntryTaskOptions) {
    this.#options = options;
  }

  /** @returns the number of requests without an answer */
  get open(): number {
    return this.#open;
  }

  /** Forgets gates that the directory no longer lists. */
  directoryChanged(directory: Directory): void {
    const listed = new Set(directory.instances.map(({ id }) => id));
    [...this.#views.keys()].forEach((id) => {
      if (!listed.has(id)) this.#views.delete(id);
    });
  }

  /**
   * Handles a request.
   *
   * @param request - the whole request
   * @param arrivedAt - when its head arrived
   * @returns the exchange
   */
  handle(request: IncomingRequest, arrivedAt: Instant): Exchange {
    const { view, origin } = this.#options;
    return admitRequest(view, request, origin, arrivedAt).match(
      (admitted) => this.#place(admitted),
      ({ code, retryAfterMs, details }) => {
        const outcome: MeshOutcome = { kind: 'refused', code, retryAfterMs, wasOffered: false };
        this.#logEnd(request.requestId ?? '', outcome, arrivedAt, {
          path: request.path,
          ...details,
        });
        return { outcome: Promise.resolve(outcome), cancel: () => {} };
      },
    );
  }

  #place(admitted: AdmittedRequest): Exchange {
    const placed = new PlacedRequest(admitted);
    this.#open += 1;
    this.#options.requestSeen(admitted.service);
    const leftMs = admitted.deadline - this.#options.clock.now() + DEADLINE_GRACE_MS;
    placed.setTimer(
      setTimeout(() => this.#end(placed, this.#timedOut(placed)), Math.max(0, leftMs)),
    );
    this.#sendAll(placed).then(
      (outcome) => this.#end(placed, outcome),
      (error: unknown) => {
        const reason = error instanceof Error ? error.message : String(error);
        this.#options.log.write({ kind: 'event', code: 'internal', details: { reason } });
        this.#end(placed, { kind: 'failed', code: 'internal' });
      },
    );
    return { outcome: placed.outcome, cancel: () => this.#cancel(placed) };
  }

  #end(placed: PlacedRequest, outcome: MeshOutcome): void {
    const told = this.#withReturn(placed.admitted, outcome);
    if (!placed.end(told)) return;
    this.#open -= 1;
    this.#logPlaced(placed, told);
  }

  /** Every refused caller is told when to come back. */
  #withReturn({ route }: AdmittedRequest, outcome: MeshOutcome): MeshOutcome {
    if (outcome.kind !== 'refused') return outcome;
    const delayMs = this.#options.view.returnDelayMs(route);
    return { ...outcome, retryAfterMs: Math.max(outcome.retryAfterMs, delayMs) };
  }

  /** The answer at the deadline; a call that is still with a gate may run. */
  #timedOut(placed: PlacedRequest): MeshOutcome {
    const isWithGate = placed.current !== null;
    this.#abandon(placed, 'failed');
    const mayHaveRun = placed.history.hasPossiblyRun || isWithGate;
    return finalOutcome({
      ...placed.history,
      hasPossiblyRun: mayHaveRun,
      lastCode: mayHaveRun ? 'deadlinePassed' : 'deadlineUnreachable',
    });
  }

  #cancel(placed: PlacedRequest): void {
    if (!placed.end(null)) return;
    this.#open -= 1;
    this.#abandon(placed, 'abandoned');
    this.#logPlaced(placed, { kind: 'failed', code: 'cancelledRunning' });
  }

  #abandon({ current }: PlacedRequest, result: 'failed' | 'abandoned'): void {
    if (current === null) return;
    const { call, instance } = current;
    call.cancel();
    const now = this.#options.clock.now();
    this.#setView(instance, recordEnd(this.#viewOf(instance), result, null, now));
  }

  async #sendAll(placed: PlacedRequest): Promise<MeshOutcome> {
    const { admitted } = placed;
    const { repeatability, attempts } = admitted.route;
    for (;;) {
      const chosen = this.#choose(placed);
      if (chosen === null) return finalOutcome(placed.history);
      // Sends follow one another, since each depends on how the last one ended.
      // eslint-disable-next-line no-await-in-loop
      const result = await this.#sendOnce(placed, chosen);
      if (placed.isEnded) return finalOutcome(placed.history);
      const next = decideNextStep(placed.history, result, { repeatability, attempts });
      placed.setHistory(next.history);
      if (next.kind === 'answer') return next.outcome;
      const isPossible = this.#isTimeLeft(admitted) && this.#mayRepeat(next.kind, admitted);
      if (!isPossible) return finalOutcome(next.history);
    }
  }

  #isTimeLeft({ deadline }: AdmittedRequest): boolean {
    return deadline - this.#options.clock.now() >= MIN_TIME_FOR_SEND_MS;
  }

  #mayRepeat(kind: 'try-another' | 'retry', { service }: AdmittedRequest): boolean {
    return kind === 'try-another' || this.#options.mayRepeat(service);
  }

  #choose(placed: PlacedRequest): ScoredInstance | null {
    const { clock, zone, random, directory, isReachable } = this.#options;
    const candidates = servingInstances(directory(), placed.admitted.service);
    const reachable = candidates.filter(isReachable);
    return chooseGate({
      candidates: reachable.length > 0 ? reachable : candidates,
      views: this.#views,
      zone,
      tried: placed.tried,
      now: clock.now(),
      random,
    });
  }

  async #sendOnce(
    placed: PlacedRequest,
    { instance, scoreMs }: ScoredInstance,
  ): Promise<SendResult> {
    const { admitted, tried } = placed;
    const { log, send } = this.#options;
    placed.try(instance);
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
    const gateCall = send(instance, this.#toCall(admitted, instance));
    placed.setCurrent({ call: gateCall, instance });
    const result = await gateCall.result;
    placed.setCurrent(null);
    if (!placed.isEnded) this.#learn(admitted, instance, result);
    return result.kind === 'replied' ? { kind: 'replied', outcome: result.reply.outcome } : result;
  }

  #toCall(admitted: AdmittedRequest, instance: Instance): MeshCall {
    const { request, route, account, rank, service, fingerprint, arrivedAt } = admitted;
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
      fingerprint,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
    };
  }

  #viewOf({ id }: Instance): GateView {
    return this.#views.get(id) ?? initialGateView;
  }

  #setView({ id }: Instance, view: GateView): void {
    this.#views.set(id, view);
  }

  #learn(admitted: AdmittedRequest, instance: Instance, result: Awaited<GateCall['result']>): void {
    const now = this.#options.clock.now();
    const view = this.#viewOf(instance);
    switch (result.kind) {
      case 'unsent':
      case 'lost':
        this.#setView(instance, recordEnd(view, 'unreachable', null, now));
        break;
      case 'replied': {
        const { outcome, load } = result.reply;
        const isServerError = outcome.kind === 'answered' && outcome.status >= 500;
        const ended = outcome.kind === 'answered' && isServerError ? 'server-error' : outcome.kind;
        this.#setView(instance, recordEnd(view, ended, load, now));
        this.#options.loadTold(admitted, load, outcome);
        break;
      }
    }
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
    this.#options.answered(code, tookMs);
  }
}
