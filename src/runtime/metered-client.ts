import { connect as connectTcp, type Socket } from 'node:net';
import { connect as connectTls } from 'node:tls';
import { Client, type buildConnector, type Dispatcher } from 'undici';
import { canHaveBody } from '../core/exchange/answer-framing.js';
import type { Milliseconds } from '../core/model/time.js';
import { ExcessiveAnswer } from './excessive-answer.js';
import { paceReading } from './paced-reading.js';
import { ReadMeter } from './read-meter.js';
import type { ReadPacer } from './read-pacer.js';

/** Options of a client. */
export interface MeteredClientOptions {
  /** Grants processor time to read long answers. */
  readonly pacer: ReadPacer;
  /** Limit of the body of an answer. */
  readonly maxBodyBytes: number;
  readonly connectTimeoutMs: Milliseconds;
  /** Longest wait for the head of an answer, and between two pieces of its body; 0 for any time. */
  readonly answerTimeoutMs: Milliseconds;
  /** Time after which an unused connection is closed. */
  readonly keepAliveMs?: Milliseconds;
}

/** A client, and the meter of its connection. */
export interface MeteredClient {
  readonly client: Dispatcher;
  readonly meter: ReadMeter;
}

type Headers = Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>[2];

/** Passes an answer on and counts what it costs. */
class MeteredHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;

  readonly #meter: ReadMeter;

  readonly #method: string;

  constructor(handler: Dispatcher.DispatchHandler, meter: ReadMeter, method: string) {
    this.#handler = handler;
    this.#meter = meter;
    this.#method = method;
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    this.#meter.begin();
    this.#handler.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Headers,
    statusMessage?: string,
  ): void {
    if (statusCode < 200) this.#meter.addInterimAnswer();
    // The head of the answer follows; an interim answer says nothing that its reader needs.
    if (statusCode >= 100 && statusCode < 200) return;
    this.#handler.onResponseStart?.(controller, statusCode, headers, statusMessage);
    const statedBytes = canHaveBody(this.#method, statusCode) ? headers['content-length'] : 0;
    if (Number(statedBytes) > this.#meter.maxBodyBytes) {
      controller.abort(new ExcessiveAnswer('too-large'));
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#meter.addChunk(chunk.length);
    // The last portion can exceed the limit and end the answer.
    if (this.#meter.isBodyTooLarge) {
      controller.abort(new ExcessiveAnswer('too-large'));
      return;
    }
    this.#handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(controller: Dispatcher.DispatchController, trailers: Headers): void {
    this.#meter.end();
    this.#meter.addTrailers(Object.values(trailers).flat().length);
    const { excess } = this.#meter;
    if (excess !== null) {
      this.#handler.onResponseError?.(controller, new ExcessiveAnswer(excess));
      return;
    }
    this.#handler.onResponseEnd?.(controller, trailers);
  }

  onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
    this.#meter.end();
    this.#handler.onResponseError?.(controller, error);
  }
}

const DEFAULT_HTTP_PORT = 80;
const DEFAULT_HTTPS_PORT = 443;

/** Opens a connection. No server name is sent, since URLs in the settings hold IP addresses. */
function openSocket({ protocol, hostname: host, port }: buildConnector.Options): Socket {
  if (protocol === 'https:') {
    return connectTls({
      host,
      port: Number(port || DEFAULT_HTTPS_PORT),
      ALPNProtocols: ['http/1.1'],
    });
  }
  return connectTcp({ host, port: Number(port || DEFAULT_HTTP_PORT) });
}

/** Opens connections with a timeout of its own, as the timers of undici fire up to a second late. */
function createConnector(
  meter: ReadMeter,
  pacer: ReadPacer,
  timeoutMs: Milliseconds,
): buildConnector.connector {
  return (options, callback) => {
    const socket = openSocket(options);
    paceReading(socket, meter, pacer);
    const timer = setTimeout(() => socket.destroy(new Error('no connection in time')), timeoutMs);
    const fail = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('error', fail);
    socket.once(options.protocol === 'https:' ? 'secureConnect' : 'connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      callback(null, socket);
    });
    socket.setNoDelay(true);
  };
}

/**
 * Opens an HTTP client with one connection, which carries one request at a time.
 *
 * @param url - base URL of the server
 * @param options - limits of its answers, and the pacer
 * @returns the client and the meter of what its answers cost
 */
export function openMeteredClient(
  url: string | URL,
  { pacer, maxBodyBytes, connectTimeoutMs, answerTimeoutMs, keepAliveMs }: MeteredClientOptions,
): MeteredClient {
  const meter = new ReadMeter(maxBodyBytes);
  const client = new Client(url, {
    pipelining: 1,
    connect: createConnector(meter, pacer, connectTimeoutMs),
    headersTimeout: answerTimeoutMs,
    bodyTimeout: answerTimeoutMs,
    ...(keepAliveMs === undefined ? {} : { keepAliveTimeout: keepAliveMs }),
  });
  const metered = client.compose(
    (dispatch) => (options, handler) =>
      dispatch(options, new MeteredHandler(handler, meter, options.method)),
  );
  return { client: metered, meter };
}
