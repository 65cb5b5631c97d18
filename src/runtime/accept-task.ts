import type { Server } from 'node:net';
import {
  decideAccepts,
  emptyBacklog,
  type AcceptBacklog,
  type AcceptEffect,
  type AcceptMessage,
} from '../core/exchange/accept-backlog.js';
import type { Details } from '../core/errors/registry.js';
import type { Clock } from '../core/model/time.js';
import { Task } from '../core/task/task.js';

/** Options of the task. */
export interface AcceptTaskOptions {
  /** Server whose listening socket the task owns. */
  readonly server: Server;
  readonly clock: Clock;
  /** Called after connections were closed unread, with their number and for how long. */
  readonly onDropped: (details: Details) => void;
}

/** A server takes at most one connection with this limit. */
const DROP_LIMIT = 1;

/** Closes new connections unread while a server is too late to serve those that wait. */
export class AcceptTask {
  readonly #options: AcceptTaskOptions;

  readonly #backlog: Task<AcceptBacklog, AcceptMessage, AcceptEffect>;

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
    server.on('connection', () => this.#backlog.send({ kind: 'accepted' }));
    server.on('drop', () => this.#backlog.send({ kind: 'dropped' }));
  }

  #perform(effect: AcceptEffect): void {
    const { server, onDropped } = this.#options;
    switch (effect.kind) {
      case 'poll':
        // Immediates run after the sockets have been polled once.
        setImmediate(() => this.#backlog.send({ kind: 'polled' }));
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
}
