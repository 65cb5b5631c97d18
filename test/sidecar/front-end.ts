import { connect, type Socket } from 'node:net';
import type { TestContext } from 'node:test';
import { httpDialect } from '../../platform/http-dialect.js';
import type { IncomingRequest } from '../../src/core/exchange/incoming-request.js';
import type { CallerLimits } from '../../src/core/policy/policy.js';
import { monotonicClock } from '../../src/runtime/monotonic-clock.js';
import type { Exchange } from '../../src/sidecar/entry-task.js';
import type { AnswerHandler } from '../../src/sidecar/placed-request.js';
import { RequestListener } from '../../src/sidecar/request-listener.js';
import { listenOn } from '../../standin/host-process.js';
import { createHeldBodies } from './held-bodies.js';

/** Limit of a body in `LIMITS`. */
export const BODY_LIMIT_BYTES = 1000;

/** Limits of the listener. */
export const LIMITS: CallerLimits = {
  headerBytes: 10_000,
  bodyBytes: BODY_LIMIT_BYTES,
  headerTimeoutMs: 1000,
  idleTimeoutMs: 10_000,
};

/** An answer as its caller sees it. */
export interface SeenAnswer {
  readonly status: number;
  readonly isLast: boolean;
  readonly body: string;
}

/** Front end whose requests are answered by the test, by their path. */
export interface FrontEnd {
  readonly listener: RequestListener;
  readonly port: number;
  /** Paths of the requests that were handled, in order. */
  readonly handled: readonly string[];
  readonly cancelled: readonly string[];
  readonly answer: (path: string, body?: string) => void;
  readonly setStopping: () => void;
  readonly setHeld: (isHeld: boolean) => void;
}

/**
 * Starts a listener whose requests are answered by the test.
 *
 * @param context - the test
 * @param options - what the test does with a request when it is handled
 * @returns the listener, and what it handled and cancelled
 */
export async function startFrontEnd(
  context: TestContext,
  { onHandled = () => {} }: { readonly onHandled?: (path: string) => void } = {},
): Promise<FrontEnd> {
  const handled: string[] = [];
  const cancelled: string[] = [];
  const pending = new Map<string, AnswerHandler>();
  let isStopping = false;
  let isHeld = false;
  const handle = (
    { path }: IncomingRequest,
    _arrivedAt: number,
    answer: AnswerHandler,
  ): Exchange => {
    handled.push(path);
    pending.set(path, answer);
    setImmediate(() => onHandled(path));
    return { cancel: () => cancelled.push(path) };
  };
  const listener = new RequestListener({
    clock: monotonicClock,
    dialect: httpDialect,
    maxBufferedBytes: 10_000_000,
    bodies: createHeldBodies(),
    maxUnreadBytes: () => 10_000_000,
    maxConnections: 100,
    handle,
    timeLimit: () => null,
    isHeld: () => isHeld,
    isStopping: () => isStopping,
    onUnreadRefusal: () => {},
    onConnectionClosed: () => {},
  });
  listener.setLimits(LIMITS);
  const port = await listenOn(listener.server, '127.0.0.1');
  context.after(() => {
    listener.server.close();
    listener.server.closeAllConnections();
  });
  const answer = (path: string, body = path): void => {
    pending.get(path)?.({ kind: 'answered', status: 200, headers: [], body: Buffer.from(body) });
  };
  return {
    listener,
    port,
    handled,
    cancelled,
    answer,
    setStopping: () => {
      isStopping = true;
    },
    setHeld: (value) => {
      isHeld = value;
    },
  };
}

/** A caller that writes raw bytes and reads the answers. */
export class RawCaller {
  readonly socket: Socket;

  #text = '';

  #isEnded = false;

  constructor(context: TestContext, port: number) {
    this.socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    this.socket.setEncoding('latin1');
    this.socket.on('data', (chunk: string) => {
      this.#text += chunk;
    });
    this.socket.on('end', () => {
      this.#isEnded = true;
      this.socket.end();
    });
    this.socket.on('error', () => {});
    context.after(() => this.socket.destroy());
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  get answers(): readonly SeenAnswer[] {
    const answers: SeenAnswer[] = [];
    let rest = this.#text;
    for (;;) {
      const headEnd = rest.indexOf('\r\n\r\n');
      if (headEnd < 0) return answers;
      const head = rest.slice(0, headEnd);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      const body = rest.slice(headEnd + 4, headEnd + 4 + length);
      if (body.length < length) return answers;
      answers.push({
        status: Number(head.split(' ')[1]),
        isLast: /connection: close/i.test(head),
        body,
      });
      rest = rest.slice(headEnd + 4 + length);
    }
  }

  get summary(): readonly (readonly [number, string, boolean])[] {
    return this.answers.map(({ status, body, isLast }) => [
      status,
      status === 200 ? body : '',
      isLast,
    ]);
  }
}

/**
 * Formats a request without a body.
 *
 * @param path - its path, which is its identifier too
 * @param headers - further header lines
 * @returns the bytes of the request as text
 */
export function get(path: string, headers = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: ${path}\r\n${headers}\r\n`;
}
