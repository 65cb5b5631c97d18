import type { Dialect } from '../core/exchange/dialect.js';
import type { MeshCall } from '../core/exchange/mesh-call.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { ReadPacer } from '../runtime/read-pacer.js';
import { AnswerBuffer } from './answer-buffer.js';
import { BackendConnectionPool, type BackendConnection } from './backend-connection-pool.js';
import { BackendExchange, isConnectionReusable, type ExchangeEnd } from './backend-exchange.js';

/** Options of the sender. */
export interface BackendSenderOptions {
  /** Base URL of the backend server. */
  readonly url: string;
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly pacer: ReadPacer;
  /** @returns limit of the bytes of all answers that are being received */
  readonly maxBufferedBytes: () => number;
}

/** A call that was handed to a connection to the backend server. */
export interface RunningCall {
  readonly exchange: BackendExchange;
  readonly connection: BackendConnection;
  readonly startedAt: Instant;
}

/** Sends calls to the backend server, each on a connection of its own, and receives the answers. */
export class BackendSender {
  readonly #options: BackendSenderOptions;

  readonly #connectionPool: BackendConnectionPool;

  readonly #answerBuffer: AnswerBuffer;

  /**
   * @param options - the backend server and the limit of buffered bytes
   */
  constructor(options: BackendSenderOptions) {
    this.#options = options;
    this.#connectionPool = new BackendConnectionPool(options);
    this.#answerBuffer = new AnswerBuffer({
      maxBytes: options.maxBufferedBytes,
      evicts: 'largest',
    });
  }

  /**
   * Takes a connection for a call without sending it.
   *
   * @param call - the call
   * @param onEnd - called once with the result of the exchange
   * @returns the call, for `send` and `finish`
   */
  prepare(call: MeshCall, onEnd: (end: ExchangeEnd) => void): RunningCall {
    const { dialect, clock } = this.#options;
    const exchange = new BackendExchange({
      call,
      dialect,
      buffer: this.#answerBuffer,
      onEnd,
    });
    return { exchange, connection: this.#connectionPool.acquire(), startedAt: clock.now() };
  }

  /**
   * Sends a call.
   *
   * @param run - the call from `prepare`
   * @param call - its request
   * @param timeLeftMs - time until its deadline
   */
  send({ connection, exchange }: RunningCall, call: MeshCall, timeLeftMs: Milliseconds): void {
    connection.http.client.dispatch(
      {
        path: call.path,
        method: call.method,
        headers: this.#options.dialect.backendHeaders(call, timeLeftMs).flat(),
        body: call.body.length === 0 ? null : call.body,
      },
      exchange,
    );
  }

  /**
   * Takes back the connection of a call that has ended.
   *
   * @param run - the call
   * @param end - how its exchange ended
   */
  finish({ connection, exchange, startedAt }: RunningCall, end: ExchangeEnd): void {
    if (isConnectionReusable(end)) this.#connectionPool.release(connection);
    else this.#connectionPool.discard(connection);
    const isBroken = end.kind === 'failed' && end.reason === 'connection-broken';
    const isBrokenBeforeHead = isBroken && end.code === 'serverFailed';
    if (isBrokenBeforeHead) this.#connectionPool.recordBreak(connection);
    const isUnanswered = end.kind === 'failed' && end.code === 'deadlinePassed';
    if (isUnanswered && !exchange.isAnswering) this.#connectionPool.recordSilence(startedAt);
  }

  /** @returns the bytes of answers that are being received */
  get heldBytes(): number {
    return this.#answerBuffer.heldBytes;
  }

  /** Closes the connections to the backend server. */
  async close(): Promise<void> {
    await this.#connectionPool.close();
  }
}
