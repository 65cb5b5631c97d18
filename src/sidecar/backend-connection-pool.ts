import { Client } from 'undici';
import {
  initialIdleLimit,
  maxIdleMs,
  recordIdleBreak,
  type IdleLimit,
} from '../core/dispatch/idle-limit.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

/** A connection to the backend server that carries one request. */
export interface BackendConnection {
  readonly client: Client;
  /** How long it had been idle before the request; 0 for a new one. */
  readonly idleMs: Milliseconds;
}

/** What the connections need. */
export interface BackendConnectionPoolOptions {
  /** Base URL of the backend server. */
  readonly url: string;
  readonly clock: Clock;
}

interface IdleConnection {
  readonly client: Client;
  readonly since: Instant;
}

const CONNECT_TIMEOUT_MS: Milliseconds = 1000;

/** Upper bound of the library; the learned limit is the one that binds. */
const KEEP_ALIVE_MS: Milliseconds = 4000;

function openClient(url: string): Client {
  const client = new Client(url, {
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
  });
  // Without a request, a lost connection is replaced by the next request.
  client.on('connectionError', () => {});
  return client;
}

/**
 * Connections to the backend server. One request runs on one connection: with pipelining, a lost
 * connection would leave open which of several requests had reached the backend server.
 */
export class BackendConnectionPool {
  readonly #options: BackendConnectionPoolOptions;

  /** Connections without a request; the one used last is used next. */
  readonly #idle: IdleConnection[] = [];

  readonly #busy = new Set<Client>();

  #idleLimit: IdleLimit = initialIdleLimit;

  /**
   * @param options - the backend server and the clock
   */
  constructor(options: BackendConnectionPoolOptions) {
    this.#options = options;
  }

  /** @returns a connection for one request; it has to be given back */
  acquire(): BackendConnection {
    const now = this.#options.clock.now();
    const limitMs = maxIdleMs(this.#idleLimit, now);
    const lastUsed = this.#idle.pop();
    const isReusable = lastUsed !== undefined && now - lastUsed.since <= limitMs;
    // The one used last is too old, so the others are as well.
    if (!isReusable && lastUsed !== undefined)
      this.#destroyAll([...this.#idle.splice(0), lastUsed]);
    const connection = isReusable
      ? { client: lastUsed.client, idleMs: now - lastUsed.since }
      : { client: openClient(this.#options.url), idleMs: 0 };
    this.#busy.add(connection.client);
    return connection;
  }

  /**
   * Gives a connection back after its request.
   *
   * @param connection - the connection
   */
  release({ client }: BackendConnection): void {
    if (this.#busy.delete(client)) {
      this.#idle.push({ client, since: this.#options.clock.now() });
    }
  }

  /**
   * Learns that a connection broke under its request before any answer.
   *
   * @param connection - the connection
   */
  recordBreak({ idleMs }: BackendConnection): void {
    this.#idleLimit = recordIdleBreak(this.#idleLimit, idleMs, this.#options.clock.now());
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const all = [...this.#idle.map(({ client }) => client), ...this.#busy];
    await Promise.all(all.map((client) => client.destroy()));
  }

  #destroyAll(idle: readonly IdleConnection[]): void {
    idle.forEach(({ client }) => {
      void client.destroy();
    });
  }
}
