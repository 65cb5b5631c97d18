import { Client } from 'undici';
import type { Milliseconds } from '../core/model/time.js';

/** One connection to the backend server; it carries one request at a time. */
export type BackendConnection = Client;

const CONNECT_TIMEOUT_MS: Milliseconds = 1000;

/** Backend servers close idle connections after some seconds; one in doubt is not kept. */
const KEEP_ALIVE_MS: Milliseconds = 4000;

function openConnection(url: string): BackendConnection {
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
export class BackendConnections {
  readonly #url: string;

  /** Connections without a request; the one used last is used next. */
  readonly #idle: BackendConnection[] = [];

  readonly #busy = new Set<BackendConnection>();

  /**
   * @param url - base URL of the backend server
   */
  constructor(url: string) {
    this.#url = url;
  }

  /** @returns a connection for one request; it has to be given back */
  take(): BackendConnection {
    const connection = this.#idle.pop() ?? openConnection(this.#url);
    this.#busy.add(connection);
    return connection;
  }

  /**
   * Gives a connection back after its request.
   *
   * @param connection - the connection
   */
  giveBack(connection: BackendConnection): void {
    if (this.#busy.delete(connection)) this.#idle.push(connection);
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const all = [...this.#idle, ...this.#busy];
    await Promise.all(all.map((client) => client.destroy()));
  }
}
