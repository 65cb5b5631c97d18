import type { Dispatcher } from 'undici';
import type { DispatchEnd } from '../core/admission/gate-message.js';
import { isAnswerComplete } from '../core/exchange/answer-framing.js';
import type { Call, Header } from '../core/model/call.js';
import type { RequestId } from '../core/model/names.js';
import type { Clock } from '../core/model/time.js';
import { BodyBuffer } from './body-buffer.js';
import { excessCodeOf } from './excessive-answer.js';

/** Event that the client reports to its owner. */
export type BackendEvent =
  /** The first byte is about to be written; from here on the call counts as run. */
  | { readonly kind: 'started'; readonly requestId: RequestId }
  | { readonly kind: 'ended'; readonly requestId: RequestId; readonly end: DispatchEnd }
  /** The connection broke while the call ran. */
  | { readonly kind: 'connection-reset' }
  | { readonly kind: 'connection-refused' }
  /** An answer carried the incarnation of the backend server. */
  | { readonly kind: 'incarnation'; readonly incarnation: string };

/** Clock and event handler of an exchange. */
export interface BackendExchangeOptions {
  readonly clock: Clock;
  readonly onEvent: (event: BackendEvent) => void;
}

/** Reason for aborting a call. */
export type AbortCode = 'cancelledRunning' | 'deadlinePassed';

const INCARNATION_HEADER = 'x-server-incarnation';
const NOT_RUN_HEADER = 'x-not-run';
const SERVICE_UNAVAILABLE = 503;

/** Hop-by-hop headers, and headers that the node reads or sets itself. */
const DROPPED_ANSWER_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  INCARNATION_HEADER,
  NOT_RUN_HEADER,
]);

type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>;

function firstValue(headers: HeaderValues, name: string): string | null {
  const value = headers[name];
  return typeof value === 'string' ? value : (value?.[0] ?? null);
}

function toHeaders(headers: HeaderValues): readonly Header[] {
  return Object.entries(headers).flatMap(([name, value]): readonly Header[] => {
    if (value === undefined || DROPPED_ANSWER_HEADERS.has(name)) return [];
    return typeof value === 'string' ? [[name, value]] : value.map((item): Header => [name, item]);
  });
}

function errorCode(error: Error): string {
  return 'code' in error && typeof error.code === 'string' ? error.code : '';
}

/** One request to the backend server, from the first byte to the complete answer. */
export class BackendExchange implements Dispatcher.DispatchHandler {
  readonly #call: Call;

  readonly #options: BackendExchangeOptions;

  #controller: Dispatcher.DispatchController | null = null;

  #isStarted = false;

  #isEnded = false;

  #status = 0;

  #headers: HeaderValues = {};

  #body = new BodyBuffer(null);

  #abortCode: AbortCode | null = null;

  /**
   * @param call - the call to send
   * @param options - clock and the event handler
   */
  constructor(call: Call, options: BackendExchangeOptions) {
    this.#call = call;
    this.#options = options;
  }

  /**
   * Aborts the exchange; a call that has not started ends as not run.
   *
   * @param code - reason for the abort
   */
  abort(code: AbortCode): void {
    this.#abortCode = code;
    this.#controller?.abort(new Error(code));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    // undici calls this again before it retries a request on another connection.
    const isRepeat = this.#isStarted;
    const isTooLate = this.#options.clock.now() > this.#call.startBy;
    if (isRepeat || isTooLate || this.#abortCode !== null) {
      controller.abort(new Error('not started'));
      return;
    }
    this.#isStarted = true;
    this.#options.onEvent({ kind: 'started', requestId: this.#call.requestId });
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: HeaderValues,
  ): void {
    this.#status = statusCode;
    this.#headers = headers;
    this.#body = new BodyBuffer(this.#contentLength);
    const incarnation = firstValue(headers, INCARNATION_HEADER);
    if (incarnation !== null) this.#options.onEvent({ kind: 'incarnation', incarnation });
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#body.add(chunk);
  }

  onResponseEnd(): void {
    this.#end(this.#answerEnd());
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    const code = errorCode(error);
    if (code === 'ECONNREFUSED') this.#options.onEvent({ kind: 'connection-refused' });
    const isBroken = code === 'ECONNRESET' || code === 'UND_ERR_SOCKET' || code === 'EPIPE';
    if (this.#isStarted && isBroken) this.#options.onEvent({ kind: 'connection-reset' });
    this.#end(this.#isStarted ? this.#failedEnd(error) : this.#notRunEnd());
  }

  #answerEnd(): DispatchEnd {
    if (!this.#isComplete()) return { kind: 'failed', code: 'answerTruncated' };
    const isShed = firstValue(this.#headers, NOT_RUN_HEADER) === 'true';
    if (isShed && this.#status === SERVICE_UNAVAILABLE) {
      return { kind: 'not-run', code: 'serverShed' };
    }
    const headers = toHeaders(this.#headers);
    const body = this.#body.take();
    return {
      kind: 'answered',
      outcome: { kind: 'answered', status: this.#status, headers, body },
    };
  }

  get #contentLength(): number | null {
    const length = firstValue(this.#headers, 'content-length');
    return length === null ? null : Number(length);
  }

  #isComplete(): boolean {
    return isAnswerComplete({
      method: this.#call.method,
      status: this.#status,
      contentLength: this.#contentLength,
      isChunked: firstValue(this.#headers, 'transfer-encoding') !== null,
      receivedBytes: this.#body.length,
    });
  }

  #failedEnd(error: Error): DispatchEnd {
    const brokenCode = this.#status === 0 ? 'serverFailed' : 'answerTruncated';
    return { kind: 'failed', code: this.#abortCode ?? excessCodeOf(error) ?? brokenCode };
  }

  #notRunEnd(): DispatchEnd {
    switch (this.#abortCode) {
      case 'cancelledRunning':
        return { kind: 'not-run', code: 'cancelled' };
      case 'deadlinePassed':
        return { kind: 'not-run', code: 'deadlineUnreachable' };
      case null: {
        const isTooLate = this.#options.clock.now() > this.#call.startBy;
        return { kind: 'not-run', code: isTooLate ? 'deadlineUnreachable' : 'connectFailed' };
      }
    }
  }

  #end(end: DispatchEnd): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#body.clear();
    this.#options.onEvent({ kind: 'ended', requestId: this.#call.requestId, end });
  }
}
