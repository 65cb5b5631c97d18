import { createServer as createHttpServer, type Server } from 'node:http';
import { createServer as createHttpsServer } from 'node:https';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import { resultCode } from '../core/errors/registry.js';
import type { Header } from '../core/model/call.js';
import type { RequestId } from '../core/model/names.js';
import type { Clock } from '../core/model/time.js';
import type { RawRequest } from '../core/pipeline/exchange.js';
import type { EntryReply } from './entry-task.js';
import type { TlsMaterial } from './tls-material.js';

/** What a node offers to a front end, whatever protocol that speaks. */
export interface Front {
  readonly newRequestId: () => RequestId;
  readonly handle: (request: RawRequest) => Promise<EntryReply>;
  /** Refuses a request whose body is not read to its end. */
  readonly refuseTooLarge: (request: RawRequest) => EntryReply;
  /** Issues an order identifier to the caller of the request. */
  readonly issueOrder: (request: RawRequest) => EntryReply;
  /** The caller closed its connection before the answer. */
  readonly abandoned: (requestId: RequestId) => void;
}

/** What the listener needs of its node. */
export interface CallerListenerOptions extends Front {
  readonly clock: Clock;
  readonly tls: TlsMaterial | null;
  readonly maxBodyBytes: number;
  /** @returns whether the node is stopping, so that connections end with their next answer */
  readonly isStopping: () => boolean;
}

type CallerContext = Context<{ Bindings: HttpBindings }>;

const MAX_HEADER_BYTES = 32_768;
const MAX_REQUESTS_PER_SOCKET = 0;
const NO_BODY = new Uint8Array();

type Body = { readonly kind: 'read'; readonly bytes: Uint8Array } | { readonly kind: 'too-large' };

async function readBody(context: CallerContext, maxBytes: number): Promise<Body> {
  const { incoming } = context.env;
  const { headers } = incoming;
  const hasBody = 'content-length' in headers || 'transfer-encoding' in headers;
  if (!hasBody) return { kind: 'read', bytes: NO_BODY };
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of incoming as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > maxBytes) return { kind: 'too-large' };
    chunks.push(chunk);
  }
  return { kind: 'read', bytes: Buffer.concat(chunks) };
}

function headersOf(context: CallerContext): readonly Header[] {
  const { rawHeaders } = context.env.incoming;
  return rawHeaders.flatMap((name, index): readonly Header[] =>
    index % 2 === 0 ? [[name.toLowerCase(), rawHeaders[index + 1] ?? '']] : [],
  );
}

function toResponse(reply: EntryReply, isStopping: boolean): Response {
  const headers = new Headers(
    reply.headers.map(([name, value]): [string, string] => [name, value]),
  );
  headers.set('almondhoist-request-id', reply.requestId);
  headers.set('almondhoist-code', String(resultCode(reply.code).number));
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

/** Front end for callers over HTTP; it only reads requests and writes answers. */
export class CallerListener {
  readonly #options: CallerListenerOptions;

  readonly server: Server;

  /**
   * @param options - TLS, limits and the node's handlers
   */
  constructor(options: CallerListenerOptions) {
    this.#options = options;
    const app = new Hono<{ Bindings: HttpBindings }>();
    app.post('/almondhoist/orders', (context) => this.#issueOrder(context));
    app.all('*', (context) => this.#handle(context));
    // The library's own Response class, which it installs, is written without a stream.
    const listener = getRequestListener((request, env) => app.fetch(request, env));
    const { tls } = options;
    const settings = { maxHeaderSize: MAX_HEADER_BYTES };
    this.server =
      tls === null
        ? createHttpServer(settings, listener)
        : createHttpsServer({ ...settings, cert: tls.cert, key: tls.key }, listener);
    this.server.maxRequestsPerSocket = MAX_REQUESTS_PER_SOCKET;
  }

  #rawRequest(context: CallerContext, body: Uint8Array): RawRequest {
    const { clock, newRequestId } = this.#options;
    return {
      requestId: newRequestId(),
      receivedAt: clock.now(),
      method: context.req.method,
      target: context.env.incoming.url ?? '/',
      headers: headersOf(context),
      body,
    };
  }

  async #handle(context: CallerContext): Promise<Response> {
    const { maxBodyBytes, handle, isStopping, abandoned } = this.#options;
    const body = await readBody(context, maxBodyBytes);
    switch (body.kind) {
      case 'too-large':
        return this.#refuseTooLarge(context);
      case 'read': {
        const request = this.#rawRequest(context, body.bytes);
        const { outgoing } = context.env;
        outgoing.once('close', () => {
          if (!outgoing.writableFinished) abandoned(request.requestId);
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
