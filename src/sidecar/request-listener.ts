import {
  createServer,
  STATUS_CODES,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { formatCodeMessage, getResultCode, type CodeName } from '../core/errors/registry.js';
import type { Dialect } from '../core/exchange/dialect.js';
import type { IncomingRequest } from '../core/exchange/incoming-request.js';
import type { MeshOutcome } from '../core/exchange/mesh-call.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { CallerLimits } from '../core/policy/policy.js';
import type { Exchange } from './entry-task.js';

/** Options of the listener. */
export interface RequestListenerOptions {
  readonly clock: Clock;
  readonly dialect: Dialect;
  /** Limit of the bytes of request bodies that are buffered at the same time. */
  readonly maxBufferedBytes: number;
  readonly handle: (request: IncomingRequest, arrivedAt: Instant) => Exchange;
  /** @returns whether requests wait until `release`, in case their callers left during a pause */
  readonly isHeld: () => boolean;
  readonly isStopping: () => boolean;
  /** Called when a request is refused before it was read completely. */
  readonly onUnreadRefusal: (code: CodeName) => void;
}

/** A request whose body has been read. */
interface CompleteRequest {
  readonly body: Uint8Array;
  readonly arrivedAt: Instant;
  /** Called once, when the request is answered or cancelled. */
  readonly onEnd: () => void;
}

const EMPTY_BODY = new Uint8Array();
const DEFAULT_ERROR_STATUS = 502;
const MAX_HEADER_BYTES = 65_536;

/** Limit of a request body until the first policy is known. */
const INITIAL_MAX_BODY_BYTES = 67_108_864;

/** Added to the idle timeout, so that the caller stops using a connection before it is closed. */
const KEEP_ALIVE_MARGIN_MS: Milliseconds = 1000;

/** Error code of the HTTP parser of Node.js for headers over the size limit. */
const HEADER_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';

/** HTTP status of a result code. */
function statusOf(code: CodeName): number {
  return getResultCode(code).httpStatus ?? DEFAULT_ERROR_STATUS;
}

function formatRetryAfter(retryAfterMs: Milliseconds): string {
  return (retryAfterMs / 1000).toFixed(3);
}

/** HTTP front end for callers of the platform: reads complete requests and writes responses. */
export class RequestListener {
  readonly #options: RequestListenerOptions;

  readonly server: Server;

  #limits: CallerLimits | null = null;

  #bufferedBytes = 0;

  /** What to do when a connection closes before its requests are answered, by connection. */
  readonly #openRequests = new Map<Socket, Set<() => void>>();

  /** Requests that were read after a pause and wait for `release`. */
  readonly #held: (() => void)[] = [];

  /** Requests whose bodies are not read further until buffered bytes are released. */
  readonly #paused = new Set<IncomingMessage>();

  /**
   * @param options - limits and the node's handlers
   */
  constructor(options: RequestListenerOptions) {
    this.#options = options;
    this.server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, keepAliveTimeout: 0 },
      (request, response) => this.#receive(request, response),
    );
    this.server.on('connection', (socket: Socket) => this.#watchConnection(socket));
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#refuseUnread(
        error.code === HEADER_OVERFLOW_CODE ? 'requestTooLarge' : 'requestMalformed',
        socket,
      ),
    );
  }

  /**
   * Applies the limits of a policy.
   *
   * @param limits - size and time limits of requests
   */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
  }

  /** Handles the held requests whose callers are still there. */
  release(): void {
    this.#held.splice(0).forEach((handle) => handle());
  }

  /**
   * Cancels the requests of a connection when its caller ends it, which is read before the connection
   * counts as closed. A response emits no event of its own while it waits behind another one.
   */
  #watchConnection(socket: Socket): void {
    const cancellations = new Set<() => void>();
    this.#openRequests.set(socket, cancellations);
    const cancelAll = (): void => {
      if (!this.#openRequests.delete(socket)) return;
      cancellations.forEach((cancel) => cancel());
    };
    socket.once('end', cancelAll);
    socket.once('close', cancelAll);
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAt = this.#options.clock.now();
    const { headers } = request;
    const maxBytes = this.#limits?.bodyBytes ?? INITIAL_MAX_BODY_BYTES;
    if (Number(headers['content-length'] ?? 0) > maxBytes) {
      this.#options.onUnreadRefusal('requestTooLarge');
      this.#refuse(response, 'requestTooLarge', true);
      return;
    }
    const hasBody = 'content-length' in headers || 'transfer-encoding' in headers;
    if (!hasBody) {
      this.#serve(request, response, { body: EMPTY_BODY, arrivedAt, onEnd: () => {} });
      return;
    }
    this.#readBody(request, response, maxBytes, arrivedAt);
  }

  #readBody(
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: number,
    arrivedAt: Instant,
  ): void {
    const chunks: Buffer[] = [];
    let length = 0;
    let isRejected = false;
    let isServed = false;
    const release = (): void => {
      this.#release(length);
      length = 0;
    };
    request.on('data', (chunk: Buffer) => {
      if (isRejected) return;
      chunks.push(chunk);
      length += chunk.length;
      this.#bufferedBytes += chunk.length;
      if (length > maxBytes) {
        isRejected = true;
        release();
        this.#options.onUnreadRefusal('requestTooLarge');
        this.#refuse(response, 'requestTooLarge', true);
      } else if (this.#bufferedBytes > this.#options.maxBufferedBytes) {
        request.pause();
        this.#paused.add(request);
      }
    });
    request.on('end', () => {
      if (isRejected) return;
      isServed = true;
      this.#serve(request, response, { body: Buffer.concat(chunks), arrivedAt, onEnd: release });
    });
    request.on('close', () => {
      this.#paused.delete(request);
      // A body that is held back may have arrived completely without ever being read to its end.
      if (!isServed) release();
    });
    // The close event that follows handles an incomplete request.
    request.on('error', () => {});
  }

  #release(bytes: number): void {
    this.#bufferedBytes -= bytes;
    if (this.#bufferedBytes > this.#options.maxBufferedBytes) return;
    this.#paused.forEach((request) => request.resume());
    this.#paused.clear();
  }

  #serve(request: IncomingMessage, response: ServerResponse, complete: CompleteRequest): void {
    const handle = (): void => this.#handle(request, response, complete);
    if (this.#options.isHeld()) this.#held.push(handle);
    else handle();
  }

  #handle(
    request: IncomingMessage,
    response: ServerResponse,
    { body, arrivedAt, onEnd }: CompleteRequest,
  ): void {
    const cancellations = this.#openRequests.get(request.socket);
    // The connection closed before the last byte of the request was handled.
    if (cancellations === undefined) {
      onEnd();
      return;
    }
    const { dialect, handle } = this.#options;
    const head = dialect.readRequest({
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      rawHeaders: request.rawHeaders,
    });
    const exchange = handle({ ...head, body }, arrivedAt);
    const cancel = (): void => {
      onEnd();
      exchange.cancel();
    };
    cancellations.add(cancel);
    void exchange.outcome.then((outcome) => {
      if (!cancellations.delete(cancel)) return;
      onEnd();
      this.#write(response, outcome);
    });
  }

  #write(response: ServerResponse, outcome: MeshOutcome): void {
    if (response.destroyed || response.headersSent) return;
    switch (outcome.kind) {
      case 'answered': {
        const headers = outcome.headers.flat();
        if (this.#options.isStopping()) headers.push('connection', 'close');
        headers.push('content-length', String(outcome.body.length));
        response.writeHead(outcome.status, headers);
        response.end(outcome.body);
        break;
      }
      case 'refused':
        this.#refuse(response, outcome.code, false, outcome.retryAfterMs);
        break;
      case 'failed':
        this.#refuse(response, outcome.code, false);
        break;
    }
  }

  #refuse(
    response: ServerResponse,
    code: CodeName,
    hasToClose: boolean,
    retryAfterMs: Milliseconds = 0,
  ): void {
    const text = `${getResultCode(code).number} ${formatCodeMessage(code, {})}\n`;
    const isClosing = hasToClose || this.#options.isStopping();
    response.writeHead(statusOf(code), {
      'content-type': 'text/plain',
      'content-length': Buffer.byteLength(text),
      ...(retryAfterMs > 0 ? { 'retry-after': formatRetryAfter(retryAfterMs) } : {}),
      ...(isClosing ? { connection: 'close' } : {}),
    });
    response.end(text);
  }

  /** Responds on a connection whose request could not be parsed. */
  #refuseUnread(code: CodeName, socket: Duplex): void {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    this.#options.onUnreadRefusal(code);
    const status = statusOf(code);
    socket.end(
      `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
    );
  }
}
