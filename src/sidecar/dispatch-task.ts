import {
  decideDispatch,
  dispatchLimit,
  gateLoad,
  startDispatch,
} from '../core/dispatch/dispatch.js';
import type {
  Condition,
  DispatchEffect,
  DispatchMessage,
  DispatchState,
  TicketId,
} from '../core/dispatch/dispatch-state.js';
import type { Instance } from '../core/directory/instance.js';
import type { CodeName } from '../core/errors/registry.js';
import type { Dialect } from '../core/exchange/dialect.js';
import type { GateLoad, MeshCall, MeshOutcome, MeshReply } from '../core/exchange/mesh-call.js';
import type { Log } from '../core/logs/log-entry.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { ServiceProfile } from '../core/policy/policy.js';
import { reportViolations, type ViolationReporter } from '../core/promises/report.js';
import { assertPromise } from '../core/promises/violation.js';
import { Task } from '../core/task/task.js';
import { BackendExchange, type ExchangeEnd } from './backend-exchange.js';
import { BackendConnections, type BackendConnection } from './backend-connections.js';
import { BackendWatch } from './backend-watch.js';

/** What a gate needs of its node. */
export interface DispatchTaskOptions {
  /** Base URL of the backend server. */
  readonly url: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly dialect: Dialect;
  /** Pressure of the services that the backend server calls, from 0 to 1. */
  readonly downstreamPressure: () => number;
  readonly crashed: (fingerprints: readonly string[]) => void;
  readonly completed: (fingerprint: string) => void;
  readonly answered: (code: CodeName) => void;
  /** An assertion of a promise failed. */
  readonly violated: ViolationReporter;
}

/** A call at the gate, from its arrival to its reply. */
interface Ticket {
  readonly call: MeshCall;
  readonly arrivedAt: Instant;
  readonly deadline: Instant;
  readonly reply: (reply: MeshReply) => void;
  readonly timer: NodeJS.Timeout;
}

/** A running call. */
interface Run {
  readonly exchange: BackendExchange;
  readonly connection: BackendConnection;
  readonly startedAt: Instant;
}

const MAX_ANSWER_BYTES = 67_108_864;
const QUEUE_TICK_MS: Milliseconds = 10;

/** A backend server answers at its deadline by itself, a little later than the gate's clock. */
const DEADLINE_GRACE_MS: Milliseconds = 30;

const NO_SLOTS = 1;

/** The node's side towards its own backend server: the only sender to it. */
export class DispatchTask {
  readonly #options: DispatchTaskOptions;

  readonly #task: Task<DispatchState, DispatchMessage, DispatchEffect>;

  readonly #tickets = new Map<TicketId, Ticket>();

  readonly #runs = new Map<TicketId, Run>();

  readonly #watch: BackendWatch;

  readonly #connections: BackendConnections;

  #nextTicket: TicketId = 1;

  #queueTimer: NodeJS.Timeout | null = null;

  /** Entry of the directory for the address. */
  #listed: Instance | null = null;

  #isStopping = false;

  /**
   * @param options - address of the backend server and the node's handlers
   */
  constructor(options: DispatchTaskOptions) {
    this.#options = options;
    this.#task = new Task({
      initial: startDispatch({ slots: NO_SLOTS, coldRatePerSecond: 0 }),
      decide: decideDispatch,
      clock: options.clock,
      perform: (effect) => this.#perform(effect),
    });
    const { url, clock, dialect, crashed } = options;
    this.#connections = new BackendConnections({ url, clock });
    this.#watch = new BackendWatch({
      url,
      clock,
      dialect,
      crashed,
      changed: (condition, reason) => this.#setCondition(condition, reason),
    });
  }

  /** @returns the number of calls that wait or run */
  get pending(): number {
    return this.#tickets.size;
  }

  /** @returns whether the backend server is known to take requests */
  get isOpen(): boolean {
    const { closed, condition } = this.#task.state;
    return closed === null && (condition.kind === 'warm' || condition.kind === 'cold');
  }

  /** @returns the load of the gate and of what lies behind it */
  get load(): GateLoad {
    const { clock, downstreamPressure } = this.#options;
    return gateLoad(this.#task.state, downstreamPressure(), clock.now());
  }

  /**
   * Applies what the directory and the policy say of the backend server.
   *
   * @param listed - entry for the address, or null when there is none
   * @param profile - profile of its service, or null when the policy has none
   * @param closed - why no new call may be taken, or null
   */
  update(listed: Instance | null, profile: ServiceProfile | null, closed: CodeName | null): void {
    const before = this.#listed;
    this.#listed = listed;
    if (profile !== null) this.#watch.setHealthPath(profile.healthPath);
    if (listed !== null && profile !== null) {
      this.#task.send({
        kind: 'resized',
        slots: listed.slots,
        coldRatePerSecond: profile.warmUpRatePerSecond,
      });
    }
    this.#close(closed);
    if (listed === null) return;
    const isNewRun = before?.id !== listed.id || before.startedAtUnixMs !== listed.startedAtUnixMs;
    if (isNewRun) this.#suspect('a new entry in the directory');
    // A backend server may become cold again without a new run.
    else if (listed.warmUpLeftMs > 0 && before.warmUpLeftMs === 0) {
      this.#watch.learn({ kind: 'warming-up-listed' });
    }
  }

  /** Takes no new calls any more. */
  stop(): void {
    this.#isStopping = true;
    this.#close(null);
  }

  /** The backend server may have started anew meanwhile, so its health is asked before a call. */
  recheck(reason: string): void {
    this.#suspect(reason);
  }

  /**
   * Takes a call.
   *
   * @param call - the call
   * @param reply - called once, unless the call is cancelled
   * @returns number of the call for a cancellation
   */
  take(call: MeshCall, reply: (reply: MeshReply) => void): TicketId {
    const ticket = this.#nextTicket;
    this.#nextTicket += 1;
    const now = this.#options.clock.now();
    const timer = setTimeout(() => this.#expire(ticket), Math.max(0, call.timeLeftMs));
    const deadline = now + call.timeLeftMs;
    this.#tickets.set(ticket, { call, arrivedAt: now, deadline, reply, timer });
    const mismatch = this.#mismatch(call);
    if (mismatch !== null) {
      this.#reply(ticket, this.#refusal(mismatch, false));
      return ticket;
    }
    const { rank, objectiveLeftMs, timeLeftMs } = call;
    this.#task.send({ kind: 'arrived', ticket, rank, objectiveLeftMs, timeLeftMs });
    this.#scheduleQueue();
    return ticket;
  }

  /**
   * Gives up a call whose caller no longer waits. One that may not run twice is left to end.
   *
   * @param ticket - number of the call
   */
  cancel(ticket: TicketId): void {
    const found = this.#tickets.get(ticket);
    if (found === undefined) return;
    const run = this.#runs.get(ticket);
    if (run === undefined) {
      this.#forget(ticket);
      this.#task.send({ kind: 'cancelled', ticket });
    } else if (found.call.repeatability === 'idempotent') {
      run.exchange.abort('cancelledRunning');
    }
  }

  /** Closes the connections to the backend server. */
  async close(): Promise<void> {
    this.#watch.close();
    if (this.#queueTimer !== null) clearTimeout(this.#queueTimer);
    await this.#connections.close();
  }

  #suspect(reason: string): void {
    this.#watch.learn({ kind: 'suspected', reason });
  }

  #close(code: CodeName | null): void {
    const next = this.#isStopping ? 'nodeLeaving' : code;
    if (this.#task.state.closed === next) return;
    const wasOut = this.#task.state.closed === 'zoneOut';
    this.#task.send({ kind: 'closed', code: next });
    this.#event('accessClosed', {
      state: next === null ? 'open' : 'closed',
      reason: next ?? 'none',
    });
    // Backend servers may have become cold while their zone was out.
    if (wasOut && next === null) this.#suspect('its zone takes work again');
  }

  #mismatch({ instance, service }: MeshCall): CodeName | null {
    if (this.#listed?.id === instance && this.#listed.service !== service)
      return 'instanceReplaced';
    const current = this.#watch.instance ?? this.#listed?.id ?? null;
    if (current === instance) return null;
    this.#watch.ask();
    return 'instanceReplaced';
  }

  #perform(effect: DispatchEffect): void {
    switch (effect.kind) {
      case 'start':
        this.#start(effect.ticket);
        break;
      case 'refuse':
        this.#reply(effect.ticket, {
          kind: 'refused',
          code: effect.code,
          retryAfterMs: effect.retryAfterMs,
          wasOffered: false,
        });
        break;
      case 'violation':
        this.#options.violated(effect);
        break;
    }
  }

  #start(ticket: TicketId): void {
    const isFirst = !this.#runs.has(ticket);
    const detail = () => `call ${ticket} starts a second time`;
    reportViolations(assertPromise('at-most-once', isFirst, detail), this.#options.violated);
    const found = this.#tickets.get(ticket);
    if (found === undefined) {
      this.#task.send({ kind: 'ended', ticket, end: 'failed' });
      return;
    }
    const { call, deadline } = found;
    const now = this.#options.clock.now();
    const { dialect } = this.#options;
    const connection = this.#connections.take();
    const exchange = new BackendExchange({
      call,
      dialect,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      onEnd: (end) => this.#ended(ticket, end),
    });
    this.#runs.set(ticket, { exchange, connection, startedAt: now });
    connection.client.dispatch(
      {
        path: call.path,
        method: call.method,
        headers: dialect.backendHeaders(call, deadline - now).flat(),
        body: call.body.length === 0 ? null : call.body,
      },
      exchange,
    );
  }

  #ended(ticket: TicketId, end: ExchangeEnd): void {
    const found = this.#tickets.get(ticket);
    const run = this.#runs.get(ticket);
    if (run !== undefined) this.#connections.giveBack(run.connection);
    if (found === undefined) {
      this.#runs.delete(ticket);
      this.#task.send({ kind: 'ended', ticket, end: 'failed' });
      return;
    }
    this.#watch.learnEnd(found.call.fingerprint, end);
    const isBrokenEarly = end.kind === 'failed' && end.isBroken && end.code === 'serverFailed';
    if (isBrokenEarly && run !== undefined) this.#connections.broke(run.connection);
    switch (end.kind) {
      case 'answered':
        this.#options.completed(found.call.fingerprint);
        this.#reply(ticket, {
          kind: 'answered',
          status: end.head.status,
          headers: end.head.headers,
          body: end.body,
        });
        this.#task.send({ kind: 'ended', ticket, end: 'answered' });
        break;
      case 'shed': {
        const code = end.head.isMisdirected ? 'instanceReplaced' : 'serverShed';
        this.#reply(ticket, this.#refusal(code, !end.head.isMisdirected));
        this.#task.send({ kind: 'ended', ticket, end: 'shed' });
        break;
      }
      case 'unsent':
        this.#reply(ticket, this.#refusal(end.code, false));
        this.#task.send({ kind: 'ended', ticket, end: 'failed' });
        break;
      case 'failed':
        this.#reply(ticket, { kind: 'failed', code: end.code });
        this.#task.send({ kind: 'ended', ticket, end: 'failed' });
        break;
    }
    this.#runs.delete(ticket);
    this.#scheduleQueue();
  }

  #setCondition(condition: Condition, reason: string): void {
    const before = this.#task.state.condition.kind;
    this.#task.send({ kind: 'condition', condition });
    this.#scheduleQueue();
    if (before === condition.kind) return;
    const instance = this.#watch.instance ?? this.#listed?.id ?? 'unknown';
    this.#event('backendCondition', { instance, condition: condition.kind, reason });
  }

  #expire(ticket: TicketId): void {
    const run = this.#runs.get(ticket);
    if (run === undefined) {
      this.#reply(ticket, this.#refusal('deadlineUnreachable', false));
      this.#task.send({ kind: 'cancelled', ticket });
      return;
    }
    setTimeout(() => {
      if (this.#runs.has(ticket)) run.exchange.abort('deadlinePassed');
    }, DEADLINE_GRACE_MS);
  }

  #refusal(code: CodeName, wasOffered: boolean): MeshOutcome {
    return { kind: 'refused', code, retryAfterMs: 0, wasOffered };
  }

  #forget(ticket: TicketId): Ticket | null {
    const found = this.#tickets.get(ticket) ?? null;
    if (found !== null) clearTimeout(found.timer);
    this.#tickets.delete(ticket);
    return found;
  }

  #reply(ticket: TicketId, outcome: MeshOutcome): void {
    const run = this.#runs.get(ticket);
    const found = this.#forget(ticket);
    if (found === null) return;
    const now = this.#options.clock.now();
    const code = outcome.kind === 'answered' ? 'ok' : outcome.code;
    this.#options.answered(code);
    const { running, queue, condition } = this.#task.state;
    this.#options.log.write({
      kind: 'decision',
      stage: 'gate',
      requestId: found.call.requestId,
      code,
      details: {
        instance: found.call.instance,
        status: outcome.kind === 'answered' ? outcome.status : 0,
        tookMs: Math.round(now - found.arrivedAt),
        ranMs: run === undefined ? 0 : Math.round(now - run.startedAt),
        running: running.size,
        queued: queue.length,
        limit: dispatchLimit(this.#task.state),
        condition: condition.kind,
      },
    });
    found.reply({ outcome, load: this.load });
  }

  /** Waiting calls make room in time, and a cold backend server gets its next one. */
  #scheduleQueue(): void {
    if (this.#queueTimer !== null || this.#task.state.queue.length === 0) return;
    this.#queueTimer = setTimeout(() => {
      this.#queueTimer = null;
      this.#task.send({ kind: 'tick' });
      this.#scheduleQueue();
    }, QUEUE_TICK_MS);
  }

  #event(code: CodeName, details: Readonly<Record<string, string | number>>): void {
    this.#options.log.write({ kind: 'event', code, details });
  }
}
