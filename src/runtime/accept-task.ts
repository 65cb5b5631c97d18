import { connect, type Server, type Socket } from 'node:net';
import { performance, type EventLoopUtilization } from 'node:perf_hooks';
import { PROCESSOR_INTERVAL_MS, SATURATED_UTILIZATION } from '../core/dispatch/processor-limit.js';
import type { Details } from '../core/errors/registry.js';
import {
  decideAccepts,
  emptyBacklog,
  type AcceptBacklog,
  type AcceptEffect,
  type AcceptMessage,
} from '../core/exchange/accept-backlog.js';
import type { Clock, Instant } from '../core/model/time.js';
import { Task } from '../core/task/task.js';

/** Options of the task. */
export interface AcceptTaskOptions {
  /** Server whose listening socket the task owns. */
  readonly server: Server;
  readonly clock: Clock;
  /** Called after connections were closed unread, with their number and for how long. */
  readonly onDropped: (details: Details) => void;
}

/** Limit that any number of open connections exceeds; Node.js 20 takes 0 as no limit. */
const DROP_LIMIT = -1;

/** Closes new connections unread while a server is too late to serve those that wait. */
export class AcceptTask {
  readonly #options: AcceptTaskOptions;

  readonly #backlog: Task<AcceptBacklog, AcceptMessage, AcceptEffect>;

  /** Connection of the node to its own listening socket. */
  #probe: Socket | null = null;

  #measured: EventLoopUtilization = performance.eventLoopUtilization();

  #measuredAt: Instant = Number.NEGATIVE_INFINITY;

  #isSaturated = false;

  /**
   * @param options - the server and the clock
   */
  constructor(options: AcceptTaskOptions) {
    this.#options = options;
    this.#backlog = new Task({
      initial: emptyBacklog,
      decide: decideAccepts,
      clock: options.clock,
      perform: (effect) => this.#perform(effect),
    });
  }

  /** Watches the connections of the server from now on. */
  start(): void {
    const { server } = this.#options;
    server.on('connection', (socket: Socket) => {
      const isProbe = this.#probe !== null && socket.remotePort === this.#probe.localPort;
      if (isProbe) this.#backlog.send({ kind: 'probe-accepted' });
      else this.#backlog.send({ kind: 'accepted', isSaturated: this.#measureProcessor() });
    });
    server.on('drop', () => this.#backlog.send({ kind: 'dropped' }));
  }

  /** Measures the use of the processor once in an interval. */
  #measureProcessor(): boolean {
    const now = this.#options.clock.now();
    if (now - this.#measuredAt < PROCESSOR_INTERVAL_MS) return this.#isSaturated;
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, this.#measured);
    this.#isSaturated = utilization >= SATURATED_UTILIZATION;
    this.#measured = current;
    this.#measuredAt = now;
    return this.#isSaturated;
  }

  #perform(effect: AcceptEffect): void {
    const { server, onDropped } = this.#options;
    switch (effect.kind) {
      case 'poll':
        // Immediates run after the sockets have been polled once.
        setImmediate(() => this.#backlog.send({ kind: 'polled' }));
        break;
      case 'probe':
        this.#openProbe();
        break;
      case 'close-probe':
        this.#probe?.destroy();
        this.#probe = null;
        break;
      case 'drop':
        server.maxConnections = DROP_LIMIT;
        break;
      case 'accept': {
        server.maxConnections = Number.POSITIVE_INFINITY;
        const { dropped, tookMs } = effect;
        if (dropped > 0) onDropped({ dropped, tookMs: Math.round(tookMs) });
        break;
      }
    }
  }

  #openProbe(): void {
    const address = this.#options.server.address();
    if (address === null || typeof address === 'string') return;
    const probe = connect({ host: address.address, port: address.port });
    probe.on('error', () => {});
    probe.unref();
    this.#probe = probe;
  }
}
