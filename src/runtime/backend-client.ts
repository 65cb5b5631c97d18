import { Pool } from 'undici';
import type { Call, Header } from '../core/model/call.js';
import type { RequestId } from '../core/model/names.js';
import { BackendExchange, type BackendExchangeOptions } from './backend-exchange.js';

/** What the client needs. */
export interface BackendClientOptions extends BackendExchangeOptions {
  readonly url: string;
  /** Connections opened at most; one call runs on one connection. */
  readonly connections: number;
}

const CONNECT_TIMEOUT_MS = 1000;

/** Owner of the connections to the backend server. */
export class BackendClient {
  readonly #options: BackendClientOptions;

  readonly #pool: Pool;

  readonly #exchanges = new Map<RequestId, BackendExchange>();

  readonly #deadlines = new Map<RequestId, NodeJS.Timeout>();

  /**
   * @param options - the backend server's URL, limits, clock and the owner's handler
   */
  constructor(options: BackendClientOptions) {
    this.#options = {
      ...options,
      onEvent: (event) => {
        if (event.kind === 'ended') this.#forget(event.requestId);
        options.onEvent(event);
      },
    };
    // One request at a time on a connection: with pipelining, a lost connection would leave
    // open which of several requests had reached the backend server.
    this.#pool = new Pool(options.url, {
      connections: options.connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /**
   * Sends a call to the backend server. It ends with exactly one `ended` event.
   *
   * @param call - the call; it is aborted at its deadline
   * @param ownHeaders - headers that the node adds, such as the context handle
   */
  dispatch(call: Call, ownHeaders: readonly Header[]): void {
    const exchange = new BackendExchange(call, this.#options);
    this.#exchanges.set(call.requestId, exchange);
    const remainingMs = Math.max(0, call.deadline - this.#options.clock.now());
    const timer = setTimeout(() => exchange.abort('deadlinePassed'), remainingMs);
    this.#deadlines.set(call.requestId, timer);
    this.#pool.dispatch(
      {
        path: call.path,
        method: call.method,
        headers: [...call.headers, ...ownHeaders].flat(),
        body: call.body.length === 0 ? null : call.body,
      },
      exchange,
    );
  }

  /**
   * Aborts a call.
   *
   * @param requestId - the call to abort; unknown ones are ignored
   */
  abort(requestId: RequestId): void {
    this.#exchanges.get(requestId)?.abort('cancelledRunning');
  }

  /** Closes all connections after the running calls have ended. */
  async close(): Promise<void> {
    await this.#pool.close();
  }

  #forget(requestId: RequestId): void {
    clearTimeout(this.#deadlines.get(requestId));
    this.#deadlines.delete(requestId);
    this.#exchanges.delete(requestId);
  }
}
