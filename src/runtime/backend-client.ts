import type { Call, Header } from '../core/model/call.js';
import type { RequestId } from '../core/model/names.js';
import { BackendExchange, type BackendExchangeOptions } from './backend-exchange.js';
import type { BackendPool, Environment } from './environment.js';

/** Options of the client, besides those of each exchange. */
export interface BackendClientOptions extends BackendExchangeOptions {
  readonly url: string;
  /** Maximum number of connections; each carries one call at a time. */
  readonly connections: number;
  /** Limit of the body of an answer. */
  readonly maxBodyBytes: number;
  readonly openPool: Environment['openPool'];
}

/** Owns the connections to the backend server. */
export class BackendClient {
  readonly #options: BackendClientOptions;

  readonly #pool: BackendPool;

  readonly #exchanges = new Map<RequestId, BackendExchange>();

  readonly #deadlineTimers = new Map<RequestId, NodeJS.Timeout>();

  /**
   * @param options - the backend server's URL, limits, clock and the event handler
   */
  constructor(options: BackendClientOptions) {
    this.#options = {
      ...options,
      onEvent: (event) => {
        if (event.kind === 'ended') this.#release(event.requestId);
        options.onEvent(event);
      },
    };
    const { url, connections, maxBodyBytes, openPool } = options;
    this.#pool = openPool(url, connections, maxBodyBytes);
  }

  /**
   * Sends a call to the backend server. Each call ends with exactly one `ended` event.
   *
   * @param call - the call; it is aborted at its deadline
   * @param addedHeaders - headers that the node adds, such as the context handle
   */
  dispatch(call: Call, addedHeaders: readonly Header[]): void {
    const exchange = new BackendExchange(call, this.#options);
    this.#exchanges.set(call.requestId, exchange);
    const remainingMs = Math.max(0, call.deadline - this.#options.clock.now());
    const timer = setTimeout(() => exchange.abort('deadlinePassed'), remainingMs);
    this.#deadlineTimers.set(call.requestId, timer);
    this.#pool.dispatch(
      {
        path: call.path,
        method: call.method,
        headers: [...call.headers, ...addedHeaders].flat(),
        body: call.body.length === 0 ? null : call.body,
      },
      exchange,
    );
  }

  /**
   * Aborts a call.
   *
   * @param requestId - the call to abort; an unknown one is ignored
   */
  abort(requestId: RequestId): void {
    this.#exchanges.get(requestId)?.abort('cancelledRunning');
  }

  /**
   * Closes all connections.
   *
   * @param isOrderly - whether running calls may finish first
   */
  async close(isOrderly: boolean): Promise<void> {
    await (isOrderly ? this.#pool.close() : this.#pool.destroy());
  }

  #release(requestId: RequestId): void {
    clearTimeout(this.#deadlineTimers.get(requestId));
    this.#deadlineTimers.delete(requestId);
    this.#exchanges.delete(requestId);
  }
}
