import type { Dispatcher } from 'undici';
import type { CodeName } from '../core/errors/registry.js';
import type { AnswerBuffer, AnswerHold } from './answer-buffer.js';
import { isAnswerComplete } from '../core/exchange/answer-framing.js';
import type { Dialect } from '../core/exchange/dialect.js';
import type { BackendHead } from '../core/exchange/incoming-request.js';
import type { MeshCall } from '../core/exchange/mesh-call.js';
import { BodyBuffer } from '../runtime/body-buffer.js';
import { excessCodeOf, excessOf } from '../runtime/excessive-answer.js';

/** Why an exchange failed after its request may have been written. */
export type FailureReason =
  /** Framing, pieces or interim answers passed a bound. */
  | 'overhead'
  /** More of the body arrived than its limit. */
  | 'body-too-long'
  /** The stated length of the body exceeds its limit, so none of it was read. */
  | 'length-too-large'
  /** The head or the trailers exceed the limit of the parser. */
  | 'head-too-large'
  /** All answers together held more memory than the node allows. */
  | 'evicted'
  /** The deadline passed, or the caller left. */
  | 'abandoned'
  | 'connection-broken'
  /** What arrived is no whole and valid answer to the request. */
  | 'invalid';

/** How an exchange with the backend server ended. */
export type ExchangeEnd =
  | { readonly kind: 'answered'; readonly head: BackendHead; readonly body: Uint8Array }
  /** The backend server reports that it has not run the request. */
  | { readonly kind: 'shed'; readonly head: BackendHead }
  /** No byte of the request was written. */
  | { readonly kind: 'unsent'; readonly code: CodeName; readonly isConnectionRefused: boolean }
  /** The request may have run. */
  | { readonly kind: 'failed'; readonly code: CodeName; readonly reason: FailureReason };

/**
 * Checks whether the connection of an exchange can carry another request. An answer that names no
 * request is matched by its place on the connection only: a refusal that a faulty server sends again
 * would pass for the answer to the next request.
 *
 * @param end - how the exchange ended
 * @returns whether the answer was whole and named its request
 */
export function isConnectionReusable(end: ExchangeEnd): boolean {
  switch (end.kind) {
    case 'answered':
      return end.head.requestId !== null;
    case 'shed':
    case 'unsent':
    case 'failed':
      return false;
  }
}

/** Options of an exchange. */
export interface BackendExchangeOptions {
  readonly call: MeshCall;
  readonly dialect: Dialect;
  /** Counts the bytes of all answers that are being received. */
  readonly buffer: AnswerBuffer;
  readonly onEnd: (end: ExchangeEnd) => void;
}

/** An abort by this node. */
interface Abort {
  readonly code: CodeName;
  readonly reason: Extract<FailureReason, 'abandoned' | 'evicted'>;
}

type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>;

const BROKEN_CONNECTION_CODES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'UND_ERR_SOCKET',
  'EPIPE',
]);

/** Status codes that tell a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function errorCode(error: Error): string {
  return 'code' in error && typeof error.code === 'string' ? error.code : '';
}

/** One HTTP exchange with the backend server, from the start of the request to its result. */
export class BackendExchange implements Dispatcher.DispatchHandler, AnswerHold {
  readonly #options: BackendExchangeOptions;

  #controller: Dispatcher.DispatchController | null = null;

  #isStarted = false;

  #isEnded = false;

  #aborted: Abort | null = null;

  #head: BackendHead | null = null;

  #contentLength: number | null = null;

  #isChunked = false;

  #body = new BodyBuffer(null);

  #heldBytes = 0;

  /**
   * @param options - the call, the size limit of the response and the handler of the result
   */
  constructor(options: BackendExchangeOptions) {
    this.#options = options;
  }

  /** @returns whether bytes of the request may have been written */
  get isStarted(): boolean {
    return this.#isStarted;
  }

  /** @returns whether the head of an answer was received */
  get isAnswering(): boolean {
    return this.#head !== null;
  }

  /**
   * Aborts the exchange and closes its connection, so that the backend server stops the request.
   * After its end the connection may carry another request, and nothing is done.
   *
   * @param code - result code with which the exchange ends
   */
  abort(code: CodeName): void {
    this.#abort({ code, reason: 'abandoned' });
  }

  /** {@inheritDoc AnswerHold.evict} */
  readonly evict = (): void => this.#abort({ code: 'answerTooLarge', reason: 'evicted' });

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    // undici calls this again before it resends a request on another connection. The resend is
    // aborted, since the request may have run already.
    if (this.#isStarted || this.#aborted !== null) {
      controller.abort(new Error('request aborted or already sent'));
      return;
    }
    this.#isStarted = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: HeaderValues,
  ): void {
    this.#head = this.#options.dialect.readAnswer(statusCode, headers);
    const length = headers['content-length'];
    this.#contentLength = typeof length === 'string' ? Number(length) : null;
    this.#isChunked = headers['transfer-encoding'] !== undefined;
    this.#body = new BodyBuffer(this.#contentLength);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#body.add(chunk);
    const { bufferBytes } = this.#body;
    const addedBytes = bufferBytes - this.#heldBytes;
    this.#heldBytes = bufferBytes;
    this.#options.buffer.add(this, addedBytes);
  }

  onResponseEnd(): void {
    this.#end(this.#checkAnswer());
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    const aborted = this.#aborted;
    if (!this.#isStarted) {
      const code = aborted?.code ?? 'connectFailed';
      this.#end({ kind: 'unsent', code, isConnectionRefused: aborted === null });
      return;
    }
    this.#end({
      kind: 'failed',
      code: aborted?.code ?? this.#failureCode(error),
      reason: aborted?.reason ?? this.#failureReason(error),
    });
  }

  #abort(aborted: Abort): void {
    if (this.#isEnded) return;
    this.#aborted = aborted;
    this.#controller?.abort(new Error(aborted.code));
  }

  #failureCode(error: Error): CodeName {
    return excessCodeOf(error) ?? (this.#head === null ? 'serverFailed' : 'answerTruncated');
  }

  #failureReason(error: Error): FailureReason {
    const excess = excessOf(error);
    switch (excess) {
      case 'overhead':
      case 'head-too-large':
        return excess;
      case 'too-large':
        // No more of a body arrives than its stated length.
        return this.#contentLength === null ? 'body-too-long' : 'length-too-large';
      case null:
        return BROKEN_CONNECTION_CODES.has(errorCode(error)) ? 'connection-broken' : 'invalid';
    }
  }

  #checkAnswer(): ExchangeEnd {
    const head = this.#head;
    if (this.#aborted !== null) return { kind: 'failed', ...this.#aborted };
    if (head === null || !this.#isComplete(head)) {
      return { kind: 'failed', code: 'answerTruncated', reason: 'invalid' };
    }
    if (head.requestId !== null && head.requestId !== this.#options.call.requestId) {
      return { kind: 'failed', code: 'answerInvalid', reason: 'invalid' };
    }
    if (head.isNotRun) return { kind: 'shed', head };
    // Passed on, the status would promise the caller what the backend server does not say.
    if (NOT_RUN_STATUSES.has(head.status)) {
      return { kind: 'failed', code: 'answerInvalid', reason: 'invalid' };
    }
    const isVerified = head.isSigned && head.requestId !== null;
    if (head.status < 300 && !isVerified) {
      return { kind: 'failed', code: 'answerInvalid', reason: 'invalid' };
    }
    return { kind: 'answered', head, body: this.#body.take() };
  }

  #isComplete({ status }: BackendHead): boolean {
    return isAnswerComplete({
      method: this.#options.call.method,
      status,
      contentLength: this.#contentLength,
      isChunked: this.#isChunked,
      receivedBytes: this.#body.length,
    });
  }

  #end(end: ExchangeEnd): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#body.clear();
    this.#options.buffer.release(this);
    this.#options.onEnd(end);
  }
}
