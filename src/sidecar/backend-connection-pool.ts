import {
  initialIdleLimit,
  maxIdleMs,
  recordIdleBreak,
  type IdleLimit,
} from '../core/dispatch/idle-limit.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { ReadPacer } from '../runtime/read-pacer.js';
import { openMeteredClient, type MeteredClient } from '../runtime/metered-client.js';

/** A connection to the backend server that carries one request. */
export interface BackendConnection {
  readonly http: MeteredClient;
  /** Idle time before the request; 0 for a new connection. */
  readonly idleMs: Milliseconds;
}

/** Options of the connection pool. */
export interface BackendConnectionPoolOptions {
  /** Base URL of the backend server. */
  readonly url: string;
  readonly clock: Clock;
  readonly pacer: ReadPacer;
}

interface IdleConnection {
  readonly http: MeteredClient;
  /** When its last request ended. */
  readonly since: Instant;
}

const CONNECT_TIMEOUT_MS: Milliseconds = 1000;

/** Limit of the body of an answer in bytes, which is that of the largest request on the platform. */
const MAX_ANSWER_BYTES = 67_108_864;

/** Keep-alive limit of undici; the learned idle limit is never longer and applies first. */
const KEEP_ALIVE_MS: Milliseconds = 4000;

/**
 * Pool of connections to the backend server. A connection carries one request at a time: with
 * pipelining, a lost connection would not show which of its requests reached the backend server.
 */
export class BackendConnectionPool {
  readonly #options: BackendConnectionPoolOptions;

  /** Idle connections; the most recently used one is reused first. */
  readonly #idle: IdleConnection[] = [];

  readonly #busy = new Set<MeteredClient>();

  #idleLimit: IdleLimit = initialIdleLimit;

  /**
   * @param options - the backend server and the clock
   */
  constructor(options: BackendConnectionPoolOptions) {
    this.#options = options;
  }

  /** @returns a connection for one request, to be passed to `release` afterwards */
  acquire(): BackendConnection {
    const now = this.#options.clock.now();
    const limitMs = maxIdleMs(this.#idleLimit, now);
    const lastUsed = this.#idle.pop();
    const isReusable = lastUsed !== undefined && now - lastUsed.since <= limitMs;
    // The most recently used connection is too old, so all the others are too.
    if (!isReusable && lastUsed !== undefined)
      this.#destroyAll([...this.#idle.splice(0), lastUsed]);
    const connection = isReusable
      ? { http: lastUsed.http, idleMs: now - lastUsed.since }
      : { http: this.#open(), idleMs: 0 };
    this.#busy.add(connection.http);
    return connection;
  }

  /**
   * Returns a connection to the pool after its request.
   *
   * @param connection - connection from `acquire`
   */
  release({ http }: BackendConnection): void {
    if (this.#busy.delete(http)) {
      this.#idle.push({ http, since: this.#options.clock.now() });
    }
  }

  /**
   * Closes a connection instead of returning it to the pool.
   *
   * @param connection - connection from `acquire`
   */
  discard({ http }: BackendConnection): void {
    if (this.#busy.delete(http)) void http.client.destroy();
  }

  /**
   * Lowers the idle limit after a connection broke before the response to its request began.
   *
   * @param connection - connection that broke
   */
  recordBreak({ idleMs }: BackendConnection): void {
    this.#idleLimit = recordIdleBreak(this.#idleLimit, idleMs, this.#options.clock.now());
  }

  /**
   * Closes the idle connections that were not used since a request began that got no answer. A fault
   * of the network silences all open connections at once and shows on none until a request is sent.
   *
   * @param startedAt - when the request was sent
   */
  recordSilence(startedAt: Instant): void {
    const unused = this.#idle.filter(({ since }) => since <= startedAt);
    const used = this.#idle.filter(({ since }) => since > startedAt);
    this.#idle.splice(0, this.#idle.length, ...used);
    this.#destroyAll(unused);
  }

  /** Closes all connections immediately, including those with a request in flight. */
  async close(): Promise<void> {
    const all = [...this.#idle.map(({ http }) => http), ...this.#busy];
    await Promise.all(all.map(({ client }) => client.destroy()));
  }

  #destroyAll(idle: readonly IdleConnection[]): void {
    idle.forEach(({ http }) => {
      void http.client.destroy();
    });
  }

  #open(): MeteredClient {
    const { url, pacer } = this.#options;
    return openMeteredClient(url, {
      pacer,
      maxBodyBytes: MAX_ANSWER_BYTES,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      answerTimeoutMs: 0,
      keepAliveMs: KEEP_ALIVE_MS,
    });
  }
}
