import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { CodeName, Details } from '../core/errors/registry.js';
import type { Dialect } from '../core/exchange/dialect.js';
import type { IncomingHead, IncomingRequest } from '../core/exchange/incoming-request.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { CallerLimits } from '../core/policy/policy.js';
import { AcceptTask } from '../runtime/accept-task.js';
import { AnswerBuffer } from './answer-buffer.js';
import { CallerConnection } from './caller-connection.js';
import type { Exchange } from './entry-task.js';
import type { HeldBodies } from './held-bodies.js';
import type { CompleteRequest } from './open-request.js';
import type { AnswerHandler } from './placed-request.js';
import { RequestBodies } from './request-bodies.js';

/** Options of the listener. */
export interface RequestListenerOptions {
  readonly clock: Clock;
  readonly dialect: Dialect;
  /** Limit of the bytes of request bodies that are buffered at the same time. */
  readonly maxBufferedBytes: number;
  /** Counts all bodies that the node holds. */
  readonly bodies: HeldBodies;
  /** @returns limit of the bytes of answers that callers have not read */
  readonly maxUnreadBytes: () => number;
  /** Limit of the connections of callers. */
  readonly maxConnections: number;
  readonly handle: (
    request: IncomingRequest,
    arrivedAt: Instant,
    answer: AnswerHandler,
  ) => Exchange;
  /** @returns time from the head of a request to its deadline; null when it is not known */
  readonly timeLimit: (head: IncomingHead) => Milliseconds | null;
  /** @returns whether requests wait until `release`, in case their callers left during a pause */
  readonly isHeld: () => boolean;
  readonly isStopping: () => boolean;
  /** Called when a request is refused before it was read completely. */
  readonly onUnreadRefusal: (code: CodeName) => void;
  /** Called when connections are closed to keep a limit of the node. */
  readonly onConnectionClosed: (code: CodeName, details: Details) => void;
}

const EMPTY_BODY = new Uint8Array();

function releaseNothing(): void {}

const MAX_HEADER_BYTES = 65_536;

/** Limit of a request body until the first policy is known. */
const INITIAL_MAX_BODY_BYTES = 67_108_864;

/** Added to the idle timeout, so that the caller stops using a connection before it is closed. */
const KEEP_ALIVE_MARGIN_MS: Milliseconds = 1000;

/** How often the connections are checked for headers that did not arrive in time. */
const TIMEOUT_CHECK_INTERVAL_MS: Milliseconds = 1000;

/** Result codes of the errors of the HTTP server of Node.js; any other is a malformed request. */
const ERROR_CODES: Readonly<Record<string, CodeName>> = {
  HPE_HEADER_OVERFLOW: 'requestTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'requestIncomplete',
};

/** HTTP front end for callers of the platform: reads complete requests and writes responses. */
export class RequestListener {
  readonly #options: RequestListenerOptions;

  readonly server: Server;

  readonly #bodies: RequestBodies;

  readonly #connections = new Map<Duplex, CallerConnection>();

  readonly #unreadAnswers: AnswerBuffer;

  #limits: CallerLimits | null = null;

  /**
   * @param options - limits and the node's handlers
   */
  constructor(options: RequestListenerOptions) {
    this.#options = options;
    const { maxBufferedBytes, maxUnreadBytes, bodies, clock } = options;
    const limits = { totalBytes: maxBufferedBytes, bodyBytes: INITIAL_MAX_BODY_BYTES };
    this.#bodies = new RequestBodies(limits, bodies, clock);
    this.#unreadAnswers = new AnswerBuffer({ maxBytes: maxUnreadBytes, evicts: 'oldest' });
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: 0,
        keepAliveTimeout: 0,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      },
      (request, response) => this.#receive(request, response),
    );
    this.server.on('connection', (socket: Socket) => this.#open(socket));
    const onDropped = (details: Details): void =>
      options.onConnectionClosed('acceptsBehind', details);
    new AcceptTask({ server: this.server, clock, onDropped }).start();
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#refuseUnread(error, socket),
    );
  }

  /**
   * Applies the limits of a policy.
   *
   * @param limits - size and time limits of requests
   */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.#bodies.limitBody(limits.bodyBytes);
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
  }

  /** @returns the number of answers that callers have not read so far that all bytes are written */
  get unwrittenAnswers(): number {
    return [...this.#connections.values()].reduce((sum, each) => sum + each.unwrittenAnswers, 0);
  }

  /** @returns the bytes of answers that callers have not read */
  get unreadBytes(): number {
    return this.#unreadAnswers.heldBytes;
  }

  /** @returns the bytes of bodies of callers */
  get requestBytes(): number {
    return this.#bodies.heldBytes;
  }

  /** Handles the held requests whose callers are still there. */
  release(): void {
    this.#connections.forEach((connection) => connection.release());
  }

  #open(socket: Socket): void {
    const { clock, isHeld, isStopping, maxConnections, onConnectionClosed } = this.#options;
    if (this.#connections.size >= maxConnections) this.#closeLongestIdle();
    const connection = new CallerConnection({
      clock,
      socket,
      conditions: () => ({ isHeld: isHeld(), isStopping: isStopping() }),
      handle: (request, answer) => this.#handle(request, answer),
      unreadAnswers: this.#unreadAnswers,
      onUnread: () => onConnectionClosed('answerUnread', {}),
    });
    this.#connections.set(socket, connection);
    socket.once('close', () => this.#connections.delete(socket));
  }

  /**
   * Closes the connection that has been without a complete request for longest; one whose body is
   * still being read counts as such. Without one, the node is over its limit until a request ends.
   */
  #closeLongestIdle(): void {
    let longest: { readonly socket: Duplex; readonly since: Instant } | null = null;
    for (const [socket, { idleSince }] of this.#connections) {
      if (idleSince !== null && (longest === null || idleSince < longest.since)) {
        longest = { socket, since: idleSince };
      }
    }
    if (longest === null) return;
    longest.socket.destroy();
    this.#connections.delete(longest.socket);
    this.#options.onConnectionClosed('connectionsExceeded', {});
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined) return;
    const arrivedAt = this.#options.clock.now();
    const head = this.#readHead(request);
    const bodiless = { head, response, body: EMPTY_BODY, arrivedAt, release: releaseNothing };
    if (RequestBodies.hasBody(request)) this.#readBody(request, bodiless, connection);
    else connection.receive(bodiless);
  }

  #readBody(
    request: IncomingMessage,
    bodiless: CompleteRequest,
    connection: CallerConnection,
  ): void {
    const { head } = bodiless;
    const maxBytes = this.#limits?.bodyBytes ?? INITIAL_MAX_BODY_BYTES;
    const refuse = (code: CodeName): void => {
      this.#options.onUnreadRefusal(code);
      connection.refuse(bodiless, code);
    };
    // A body for which no route sets a time limit ends with the time of an idle connection.
    const timeLimit = (): Milliseconds | null =>
      this.#options.timeLimit(head) ?? this.#limits?.idleTimeoutMs ?? null;
    this.#bodies.read(request, { maxBytes, timeLimit }, (result) => {
      switch (result.kind) {
        case 'complete': {
          const { body, release } = result;
          connection.receive({ ...bodiless, body, release });
          break;
        }
        case 'too-large':
          refuse('requestTooLarge');
          break;
        case 'late':
          refuse(result.isHeldBack ? 'deadlineUnreachable' : 'requestIncomplete');
          break;
      }
    });
  }

  #handle({ head, body, arrivedAt }: CompleteRequest, answer: AnswerHandler): Exchange {
    return this.#options.handle({ ...head, body }, arrivedAt, answer);
  }

  #readHead({ method = 'GET', url = '/', rawHeaders }: IncomingMessage): IncomingHead {
    return this.#options.dialect.readRequest({ method, target: url, rawHeaders });
  }

  /**
   * Refuses what could not be parsed. A connection on which nothing was sent yet gets no answer, as
   * its caller would take it for that of its first request; the idle timeout holds for it.
   */
  #refuseUnread(error: NodeJS.ErrnoException, socket: Duplex): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || !socket.writable) {
      socket.destroy();
      return;
    }
    if (connection.isUnused) {
      const leftMs = (this.#limits?.idleTimeoutMs ?? 0) - connection.ageMs;
      // The HTTP server reports a connection without a request only once, at the header timeout.
      const timer = setTimeout(() => connection.isUnused && socket.destroy(), Math.max(0, leftMs));
      socket.once('close', () => clearTimeout(timer));
      return;
    }
    const code = ERROR_CODES[error.code ?? ''] ?? 'requestMalformed';
    this.#options.onUnreadRefusal(code);
    connection.refuseUnread(code);
  }
}
