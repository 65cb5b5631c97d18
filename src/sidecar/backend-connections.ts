import { buildConnector, Client, type Dispatcher } from 'undici';
import type { Milliseconds } from '../core/model/time.js';

/** One connection to the backend server; it carries one request at a time. */
export interface BackendConnection {
  readonly client: Client;
  /** Whether the connection ended with a reset rather than in order. */
  readonly wasReset: () => boolean;
}

const CONNECT_TIMEOUT_MS: Milliseconds = 1000;

/** Backend servers close idle connections after some seconds; one in doubt is not kept. */
const KEEP_ALIVE_MS: Milliseconds = 4000;

function openConnection(url: string): BackendConnection {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  let isReset = false;
  // The library takes an answer without a length as whole also when its connection is reset, so
  // the reset is recorded here, ahead of the library's own handler.
  const watched: buildConnector.connector = (options, callback) =>
    connect(options, (...args) => {
      const [error, socket] = args;
      if (error === null) {
        isReset = false;
        socket.prependListener('error', () => {
          isReset = true;
        });
        callback(null, socket);
      } else {
        callback(error, null);
      }
    });
  const client = new Client(url, {
    pipelining: 1,
    connect: watched,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
  });
  // Without requests, a lost connection is replaced by the next request.
  client.on('connectionError', () => {});
  return { client, wasReset: () => isReset };
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

  /**
   * Sends a request on a connection.
   *
   * @param connection - the connection
   * @param options - the request
   * @param handler - handler of the exchange
   */
  send(
    { client }: BackendConnection,
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    client.dispatch(options, handler);
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const all = [...this.#idle, ...this.#busy];
    await Promise.all(all.map(({ client }) => client.destroy()));
  }
}
