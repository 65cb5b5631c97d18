import type { ResultAsync } from 'neverthrow';
import { getResultCode, type CodeName } from '../core/errors/registry.js';
import type { Log } from '../core/logs/log-entry.js';
import { subjectOf } from '../core/logs/subject.js';
import type { Call, Caller, Header, Outcome } from '../core/model/call.js';
import type { RequestId } from '../core/model/names.js';
import { codeOf, hasSucceeded } from '../core/model/outcome.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import {
  refusal,
  type Origin,
  type Prepared,
  type RawRequest,
  type Refusal,
} from '../core/pipeline/request-stages.js';
import type { Metrics } from './metrics.js';
import type { OrderTask } from './order-task.js';
import type { CallResult, Placement } from './placement.js';
import type { ChildResult, RunTask } from './run-task.js';

/** Answer to a request, independent of the protocol of the front end. */
export interface EntryReply {
  readonly requestId: RequestId;
  readonly code: CodeName;
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** True only if no backend server can have run the request. */
  readonly isNotRun: boolean;
  readonly retryAfterMs: Milliseconds;
  readonly orderId: string | null;
}

/** Dependencies of the entry on its node. */
export interface EntryTaskOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly prepare: (request: RawRequest) => ResultAsync<Prepared, Refusal>;
  readonly placement: Placement;
  readonly orders: OrderTask;
  readonly runs: RunTask;
  /** Called when a root request has ended. */
  readonly onRootEnd: (call: Call, result: CallResult) => void;
  /** Cancels an outstanding send at its gate. */
  readonly cancelSend: (peer: string, sendId: string) => void;
}

const HTTP_CREATED = 201;
const HTTP_INTERNAL_ERROR = 500;

function errorBody(requestId: RequestId, code: CodeName): Uint8Array {
  const { number, title, message, hint } = getResultCode(code);
  return Buffer.from(JSON.stringify({ code: number, title, message, hint, requestId }));
}

/** Owns the requests of callers: prepares, places and answers them. */
export class EntryTask {
  readonly #options: EntryTaskOptions;

  /** Calls without an answer, for cancellation and graceful stop; null before preparation. */
  readonly #openCalls = new Map<RequestId, Call | null>();

  /**
   * @param options - the pipeline, placement, orders and other dependencies
   */
  constructor(options: EntryTaskOptions) {
    this.#options = options;
  }

  /** @returns the number of requests without an answer */
  get openCount(): number {
    return this.#openCalls.size;
  }

  /**
   * Answers a request.
   *
   * @param request - the request as the front end received it
   * @returns the answer for the caller
   */
  async handle(request: RawRequest): Promise<EntryReply> {
    this.#openCalls.set(request.requestId, null);
    const prepared = await this.#options.prepare(request);
    const reply = await prepared.match(
      (preparedRequest) => this.#place(preparedRequest, request),
      async (refused) => this.refuse(request, refused),
    );
    this.#openCalls.delete(request.requestId);
    this.#options.metrics.answers.inc({ code: reply.code });
    const durationMs = this.#options.clock.now() - request.receivedAt;
    this.#options.metrics.duration.observe(durationMs / 1000);
    return reply;
  }

  /**
   * Cancels a request whose caller has disconnected. Orders are not cancelled: their outcome is
   * kept for a repeated request.
   *
   * @param requestId - identifier of the request
   */
  cancel(requestId: RequestId): void {
    const call = this.#openCalls.get(requestId);
    if (call === undefined || call === null || !call.idempotent) return;
    const currentSend = this.#options.placement.findSend(requestId);
    if (currentSend !== null) this.#options.cancelSend(currentSend.peer, currentSend.id);
  }

  /**
   * Builds the answer to a request that a filter refused.
   *
   * @param request - the request
   * @param refused - the refusal
   * @returns the answer for the caller
   */
  refuse(request: RawRequest, refused: Refusal): EntryReply {
    const { requestId } = request;
    const { code, retryAfterMs, orderFor } = refused;
    this.#options.log.write({ kind: 'refusal', requestId, code, retryAfterMs });
    const orderId = orderFor === undefined ? null : this.#options.orders.issue(orderFor);
    // An earlier request with this order identifier may have run; only its home knows the outcome.
    const hasOrderId = request.headers.some(([name]) => name === 'almondhoist-order-id');
    return {
      ...this.#errorReply(requestId, code, { isNotRun: !hasOrderId, retryAfterMs }),
      orderId,
    };
  }

  /**
   * Issues an order identifier and builds the answer that contains it.
   *
   * @param request - the request for an identifier
   * @param origin - the origin of the request
   * @returns the answer for the caller
   */
  issueOrderId(request: RawRequest, origin: Origin): EntryReply {
    const caller: Caller = origin.kind === 'root' ? origin.caller : { kind: 'anonymous' };
    if (origin.kind === 'root' && origin.keyState === 'unknown') {
      return this.refuse(request, refusal('keyUnknown'));
    }
    const orderId = this.#options.orders.issue(caller);
    return {
      requestId: request.requestId,
      code: 'ok',
      status: HTTP_CREATED,
      headers: [['content-type', 'application/json']],
      body: Buffer.from(JSON.stringify({ orderId })),
      isNotRun: false,
      retryAfterMs: 0,
      orderId,
    };
  }

  async #place(prepared: Prepared, request: RawRequest): Promise<EntryReply> {
    const { call, origin } = prepared;
    this.#openCalls.set(call.requestId, call);
    const result = await this.#run(prepared);
    switch (origin.kind) {
      case 'root':
        this.#options.onRootEnd(call, result);
        break;
      case 'nested':
        this.#options.runs.endChild(this.#childResult(call, origin.parentId, result));
        break;
    }
    return this.#answer(call, result.outcome, request);
  }

  #run({ call, origin, orderId }: Prepared): Promise<CallResult> {
    const { placement, orders } = this.#options;
    if (call.idempotent) return placement.place(call);
    if (orderId !== null) return orders.run(call, orderId);
    switch (origin.kind) {
      case 'nested':
        return orders.runNested(call, origin.parentId);
      case 'root':
        return orders.run(call, orders.issue(call.caller));
    }
  }

  #childResult(
    call: Call,
    parentId: RequestId,
    { outcome, retriesSpent, feedback }: CallResult,
  ): ChildResult {
    return {
      parentId,
      childId: call.requestId,
      isSuccess: hasSucceeded(outcome),
      retriesSpent,
      feedback,
    };
  }

  #answer(call: Call, outcome: Outcome, request: RawRequest): EntryReply {
    const { requestId } = call;
    const code = codeOf(outcome);
    const reply: EntryReply =
      outcome.kind === 'answered'
        ? {
            requestId,
            code,
            status: outcome.status,
            headers: outcome.headers,
            body: outcome.body,
            isNotRun: false,
            retryAfterMs: 0,
            orderId: null,
          }
        : this.#errorReply(requestId, code, {
            isNotRun: outcome.kind === 'refused' && code !== 'orderMismatch',
            retryAfterMs: outcome.kind === 'refused' ? outcome.retryAfterMs : 0,
          });
    this.#logAnswer(call, reply, request);
    return reply;
  }

  #errorReply(
    requestId: RequestId,
    code: CodeName,
    options: { readonly isNotRun: boolean; readonly retryAfterMs: Milliseconds },
  ): EntryReply {
    return {
      requestId,
      code,
      status: getResultCode(code).httpStatus ?? HTTP_INTERNAL_ERROR,
      headers: [['content-type', 'application/json']],
      body: errorBody(requestId, code),
      isNotRun: options.isNotRun,
      retryAfterMs: options.retryAfterMs,
      orderId: null,
    };
  }

  #logAnswer(call: Call, { code, status }: EntryReply, request: RawRequest): void {
    const durationMs = this.#options.clock.now() - request.receivedAt;
    this.#options.log.write({ kind: 'entry-answer', ...subjectOf(call), code, status, durationMs });
  }
}
