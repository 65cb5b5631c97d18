import {
  createServer as createHttpServer,
  STATUS_CODES,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { createServer as createHttpsServer } from 'node:https';
import type { Duplex } from 'node:stream';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import { getResultCode, type Details } from '../core/errors/registry.js';
import type { Header } from '../core/model/call.js';
import type { RequestId } from '../core/model/names.js';
import type { Clock } from '../core/model/time.js';
import type { RawRequest } from '../core/pipeline/request-stages.js';
import { AcceptTask } from './accept-task.js';
import { BodyBuffer } from './body-buffer.js';
import type { EntryReply } from './entry-task.js';
import type { TlsMaterial } from './tls-material.js';

/** Handlers that a node offers to a front end of any protocol. */
export interface RequestHandlers {
  readonly newRequestId: () => RequestId;
  readonly handle: (request: RawRequest) => Promise<EntryReply>;
  /** Refuses a request whose body is over the limit and is not read to its end. */
  readonly refuseTooLarge: (request: RawRequest) => EntryReply;
  /** Refuses a request that is not valid HTTP. */
  readonly refuseMalformed: (request: RawRequest) => EntryReply;
  /** Issues an order identifier to the caller of the request. */
  readonly issueOrder: (request: RawRequest) => EntryReply;
  /** Called when the caller closes its connection before the answer. */
  readonly onAbandoned: (requestId: RequestId) => void;
}

/** Limits, TLS and request handlers of the listener. */
export interface CallerListenerOptions extends RequestHandlers {
  readonly clock: Clock;
  readonly tls: TlsMaterial | null;
  readonly maxBodyBytes: number;
  /** @returns whether the node is stopping; connections then close after their next answer */
  readonly isStopping: () => boolean;
  /** Called after new connections were closed unread, since they had waited for too long. */
  readonly onConnectionsDropped: (details: Details) => void;
}

type CallerContext = Context<{ Bindings: HttpBindings }>;

const MAX_HEADER_BYTES = 32_768;
const MAX_REQUESTS_PER_SOCKET = 0;
const NO_BODY = new Uint8Array();

/** Error code of the HTTP parser for headers over the limit. */
const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';

type BodyResult =
  | { readonly kind: 'read'; readonly bytes: Uint8Array }
  | { readonly kind: 'too-large' }
  /** The caller disconnected, or the rest of the body is not valid HTTP. */
  | { readonly kind: 'broken' };

async function readBody(context: CallerContext, maxBytes: number): Promise<BodyResult> {
  const { incoming } = context.env;
  const { headers } = incoming;
  const hasBody = 'content-length' in headers || 'transfer-encoding' in headers;
  if (!hasBody) return { kind: 'read', bytes: NO_BODY };
  const declaredBytes = Number(headers['content-length'] ?? Number.POSITIVE_INFINITY);
  // No memory is reserved for a body that will be refused.
  const buffer = new BodyBuffer(declaredBytes <= maxBytes ? declaredBytes : null);
  try {
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
      if (buffer.length + chunk.length > maxBytes) return { kind: 'too-large' };
      buffer.add(chunk);
    }
  } catch {
    return { kind: 'broken' };
  }
  return { kind: 'read', bytes: buffer.take() };
}

function toHeaders(context: CallerContext): readonly Header[] {
  const { rawHeaders } = context.env.incoming;
  return rawHeaders.flatMap((name, index): readonly Header[] =>
    index % 2 === 0 ? [[name.toLowerCase(), rawHeaders[index + 1] ?? '']] : [],
  );
}

/** Writes an answer to a connection whose request could not be parsed. */
function writeReply(socket: Duplex, reply: EntryReply): void {
  const head = [
    `HTTP/1.1 ${reply.status} ${STATUS_CODES[reply.status] ?? ''}`,
    'connection: close',
    `content-length: ${reply.body.length}`,
    ...reply.headers.map(([name, value]) => `${name}: ${value}`),
    `almondhoist-request-id: ${reply.requestId}`,
    `almondhoist-code: ${getResultCode(reply.code).number}`,
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  socket.end(reply.body);
}

function toResponse(reply: EntryReply, isStopping: boolean): Response {
  const headers = new Headers(
    reply.headers.map(([name, value]): [string, string] => [name, value]),
  );
  headers.set('almondhoist-request-id', reply.requestId);
  headers.set('almondhoist-code', String(getResultCode(reply.code).number));
  if (reply.isNotRun) headers.set('almondhoist-not-run', 'true');
  if (reply.orderId !== null) headers.set('almondhoist-order-id', reply.orderId);
  if (reply.retryAfterMs > 0) {
    headers.set('retry-after', String(Math.ceil(reply.retryAfterMs / 1000)));
    headers.set('almondhoist-retry-after-ms', String(Math.ceil(reply.retryAfterMs)));
  }
  if (isStopping) headers.set('connection', 'close');
  const hasBody = reply.status !== 204 && reply.status !== 304;
  return new Response(hasBody ? Buffer.from(reply.body) : null, { status: reply.status, headers });
}

/** HTTP front end for callers; it only reads requests and writes answers. */
export class CallerListener {
  readonly #options: CallerListenerOptions;

  readonly server: Server;

  /** Requests without a complete answer, by connection; pipelining allows several. */
  readonly #openRequests = new WeakMap<Duplex, readonly IncomingMessage[]>();

  /**
   * @param options - TLS, limits and the node's handlers
   */
  constructor(options: CallerListenerOptions) {
    this.#options = options;
    const app = new Hono<{ Bindings: HttpBindings }>();
    app.post('/almondhoist/orders', (context) => this.#issueOrder(context));
    app.all('*', (context) => this.#handle(context));
    // @hono/node-server replaces the global Response by a class that it writes without a stream.
    const listener = getRequestListener((request, env) => app.fetch(request, env), {
      errorHandler: () => toResponse(this.#refuseUnread('requestMalformed'), true),
    });
    const { tls } = options;
    // The request listener refuses a request without a host header with an error code.
    const settings = { maxHeaderSize: MAX_HEADER_BYTES, requireHostHeader: false };
    this.server =
      tls === null
        ? createHttpServer(settings, listener)
        : createHttpsServer({ ...settings, cert: tls.cert, key: tls.key }, listener);
    this.server.maxRequestsPerSocket = MAX_REQUESTS_PER_SOCKET;
    const { clock, onConnectionsDropped: onDropped } = options;
    new AcceptTask({ server: this.server, clock, onDropped }).start();
    this.server.on('request', (incoming, outgoing) => this.#trackRequest(incoming, outgoing));
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) =>
      this.#refuseUnparsed(error, socket),
    );
  }

  #trackRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const { socket } = incoming;
    this.#openRequests.set(socket, [...(this.#openRequests.get(socket) ?? []), incoming]);
    outgoing.once('close', () => {
      const others = (this.#openRequests.get(socket) ?? []).filter((other) => other !== incoming);
      this.#openRequests.set(socket, others);
    });
  }

  #refuseUnparsed({ code }: NodeJS.ErrnoException, socket: Duplex): void {
    // An answer sent now would be taken as the answer to a complete request that is still running.
    const isRunning = (this.#openRequests.get(socket) ?? []).some(({ complete }) => complete);
    if (isRunning || !socket.writable || code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const isTooLarge = code === HEADER_OVERFLOW;
    writeReply(socket, this.#refuseUnread(isTooLarge ? 'requestTooLarge' : 'requestMalformed'));
  }

  /** Unread headers may name an order that has run, so the refusal is not marked "not run". */
  #refuseUnread(code: 'requestTooLarge' | 'requestMalformed'): EntryReply {
    const { clock, newRequestId, refuseTooLarge, refuseMalformed } = this.#options;
    const request: RawRequest = {
      requestId: newRequestId(),
      receivedAt: clock.now(),
      method: '',
      target: '',
      headers: [],
      body: new Uint8Array(),
    };
    const refuse = code === 'requestTooLarge' ? refuseTooLarge : refuseMalformed;
    return { ...refuse(request), isNotRun: false };
  }

  #rawRequest(context: CallerContext, body: Uint8Array): RawRequest {
    const { clock, newRequestId } = this.#options;
    return {
      requestId: newRequestId(),
      receivedAt: clock.now(),
      method: context.req.method,
      target: context.env.incoming.url ?? '/',
      headers: toHeaders(context),
      body,
    };
  }

  async #handle(context: CallerContext): Promise<Response> {
    const { maxBodyBytes, handle, isStopping, onAbandoned } = this.#options;
    const body = await readBody(context, maxBodyBytes);
    switch (body.kind) {
      case 'too-large':
        return this.#refuseTooLarge(context);
      case 'broken':
        // This answer is not sent: the connection is closed, or the parse error has been answered.
        return new Response(null, { status: 400 });
      case 'read': {
        const request = this.#rawRequest(context, body.bytes);
        const { outgoing } = context.env;
        outgoing.once('close', () => {
          if (!outgoing.writableFinished) onAbandoned(request.requestId);
        });
        return toResponse(await handle(request), isStopping());
      }
    }
  }

  #issueOrder(context: CallerContext): Response {
    const reply = this.#options.issueOrder(this.#rawRequest(context, new Uint8Array()));
    return toResponse(reply, this.#options.isStopping());
  }

  /** The rest of the body is not read, so the connection cannot carry another request. */
  #refuseTooLarge(context: CallerContext): Response {
    const reply = this.#options.refuseTooLarge(this.#rawRequest(context, new Uint8Array()));
    return toResponse(reply, true);
  }
}
