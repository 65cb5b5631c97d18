import {
  createServer,
  STATUS_CODES,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { Duplex } from 'node:stream';
import { formatCodeMessage, getResultCode, type CodeName } from '../core/errors/registry.js';
import type { Dialect } from '../core/exchange/dialect.js';
import type { IncomingRequest } from '../core/exchange/incoming-request.js';
import type { MeshOutcome } from '../core/exchange/mesh-call.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { CallerLimits } from '../core/policy/policy.js';
import type { Exchange } from './entry-task.js';

/** What the listener needs of its node. */
export interface RequestListenerOptions {
  readonly clock: Clock;
  readonly dialect: Dialect;
  /** Bytes of request bodies that may be held at the same time. */
  readonly maxHeldBytes: number;
  readonly handle: (request: IncomingRequest, arrivedAt: Instant) => Exchange;
  readonly isStopping: () => boolean;
  /** A request was refused before it was read. */
  readonly unread: (code: CodeName) => void;
}

const NO_BODY = new Uint8Array();
const DEFAULT_STATUS = 502;
const MAX_HEADER_BYTES = 65_536;

/** Limits until the first policy is known. */
const INITIAL_BODY_BYTES = 67_108_864;

/** A connection is closed a little after the caller has stopped to use it. */
const IDLE_MARGIN_MS: Milliseconds = 1000;

/** Error code of the HTTP parser for headers over the limit. */
const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';

/** Status that a caller gets for a result code. */
function statusOf(code: CodeName): number {
  return getResultCode(code).httpStatus ?? DEFAULT_STATUS;
}

function retryAfterText(retryAfterMs: Milliseconds): string {
  return (retryAfterMs / 1000).toFixed(3);
}

/** Front end of the platform's callers: reads whole requests and writes whole answers. */
export class RequestListener {
  readonly #options: RequestListenerOptions;

  readonly server: Server;

  #limits: CallerLimits | null = null;

  #heldBytes = 0;

  /** Requests that wait until bytes are given back. */
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
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#refuseUnread(
        error.code === HEADER_OVERFLOW ? 'requestTooLarge' : 'requestMalformed',
        socket,
      ),
    );
  }

  /**
   * Applies the limits of a policy.
   *
   * @param limits - what callers may send, and how long they may take
   */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAt = this.#options.clock.now();
    const { headers } = request;
    const maxBytes = this.#limits?.bodyBytes ?? INITIAL_BODY_BYTES;
    if (Number(headers['content-length'] ?? 0) > maxBytes) {
      this.#options.unread('requestTooLarge');
      this.#refuse(response, 'requestTooLarge', true);
      return;
    }
    const hasBody = 'content-length' in headers || 'transfer-encoding' in headers;
    if (!hasBody) {
      this.#serve(request, response, NO_BODY, arrivedAt);
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
    let isGivenUp = false;
    const release = (): void => {
      this.#release(length);
      length = 0;
    };
    request.on('data', (chunk: Buffer) => {
      if (isGivenUp) return;
      chunks.push(chunk);
      length += chunk.length;
      this.#heldBytes += chunk.length;
      if (length > maxBytes) {
        isGivenUp = true;
        release();
        this.#options.unread('requestTooLarge');
        this.#refuse(response, 'requestTooLarge', true);
      } else if (this.#heldBytes > this.#options.maxHeldBytes) {
        request.pause();
        this.#paused.add(request);
      }
    });
    request.on('end', () => {
      if (isGivenUp) return;
      response.on('close', release);
      this.#serve(request, response, Buffer.concat(chunks), arrivedAt);
    });
    request.on('close', () => {
      this.#paused.delete(request);
      if (!request.complete) release();
    });
    // The close event that follows is the end of an unfinished request.
    request.on('error', () => {});
  }

  #release(bytes: number): void {
    this.#heldBytes -= bytes;
    if (this.#heldBytes > this.#options.maxHeldBytes) return;
    this.#paused.forEach((request) => request.resume());
    this.#paused.clear();
  }

  #serve(
    request: IncomingMessage,
    response: ServerResponse,
    body: Uint8Array,
    arrivedAt: Instant,
  ): void {
    const { dialect, handle } = this.#options;
    const head = dialect.readRequest({
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      rawHeaders: request.rawHeaders,
    });
    const exchange = handle({ ...head, body }, arrivedAt);
    response.on('close', () => {
      if (!response.writableEnded) exchange.cancel();
    });
    void exchange.outcome.then((outcome) => this.#write(response, outcome));
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
    isLast: boolean,
    retryAfterMs: Milliseconds = 0,
  ): void {
    const text = `${getResultCode(code).number} ${formatCodeMessage(code, {})}\n`;
    const isClosing = isLast || this.#options.isStopping();
    response.writeHead(statusOf(code), {
      'content-type': 'text/plain',
      'content-length': Buffer.byteLength(text),
      ...(retryAfterMs > 0 ? { 'retry-after': retryAfterText(retryAfterMs) } : {}),
      ...(isClosing ? { connection: 'close' } : {}),
    });
    response.end(text);
  }

  /** Answers on a connection on which no request could be read. */
  #refuseUnread(code: CodeName, socket: Duplex): void {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    this.#options.unread(code);
    const status = statusOf(code);
    socket.end(
      `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
    );
  }
}
