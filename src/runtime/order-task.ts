import { randomBytes } from 'node:crypto';
import type { CodeName } from '../core/errors/registry.js';
import type { Identity } from '../core/membership/handshake.js';
import type { Log } from '../core/logs/log-entry.js';
import type { Call, Caller, Outcome } from '../core/model/call.js';
import type { BackendServerName, RequestId } from '../core/model/names.js';
import type { Clock } from '../core/model/time.js';
import { OrderIdSigner, type OrderClaim } from '../core/order/order-id.js';
import { decideOrders, initialOrderLedger, type OrderLedger } from '../core/order/order-ledger.js';
import type { OrderEffect, OrderMessage } from '../core/order/order-message.js';
import type { Attempt } from '../core/pipeline/next-attempt.js';
import type { ViolationReporter } from '../core/promises/report.js';
import { Task } from '../core/task/task.js';
import type { CallResult } from './placement.js';

/** Dependencies of the order task on its node. */
export interface OrderTaskOptions {
  readonly identity: Identity;
  readonly secret: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly report: ViolationReporter;
  /** Sends a call to gates; used for orders whose home is this node. */
  readonly place: (call: Call) => Promise<CallResult>;
  /** Sends an order to its home, the node that stores its outcome. */
  readonly sendToHome: (home: BackendServerName, call: Call, orderId: string) => Promise<Attempt>;
}

interface WaitingRequest {
  readonly call: Call;
  readonly settle: (result: CallResult) => void;
}

const TICK_INTERVAL_MS = 1000;
const RANDOM_BYTES = 16;

function resultWithoutCost(outcome: Outcome): CallResult {
  return { outcome, retriesSpent: 0, feedback: [] };
}

/** An unknown order, or one whose answer was dropped, may have run, so it is not refused. */
function rejectionOutcome(code: CodeName): Outcome {
  return code === 'orderUnknown' || code === 'orderAnswerDropped'
    ? { kind: 'failed', code }
    : { kind: 'refused', code, retryAfterMs: 0 };
}

/** Owns the ledger of orders, the non-idempotent requests whose outcomes are stored. */
export class OrderTask {
  readonly #options: OrderTaskOptions;

  readonly #signer: OrderIdSigner;

  readonly #task: Task<OrderLedger, OrderMessage, OrderEffect>;

  readonly #waitingRequests = new Map<RequestId, WaitingRequest>();

  readonly #ticker: NodeJS.Timeout;

  /**
   * @param options - identity, secret, clock and the functions that send calls
   */
  constructor(options: OrderTaskOptions) {
    this.#options = options;
    this.#signer = new OrderIdSigner(options.secret);
    this.#task = new Task({
      initial: initialOrderLedger(),
      decide: decideOrders,
      clock: options.clock,
      perform: (effect) => this.#perform(effect),
    });
    this.#ticker = setInterval(() => this.#task.send({ kind: 'tick' }), TICK_INTERVAL_MS);
  }

  /**
   * Issues an order identifier whose home is this node.
   *
   * @param caller - the caller that will use it
   * @returns the value of the `almondhoist-order-id` header
   */
  issue(caller: Caller): string {
    const { identity, clock } = this.#options;
    const claim: OrderClaim = {
      home: identity.node,
      homeIncarnation: identity.incarnation,
      caller,
      issuedAt: clock.now(),
    };
    return this.#signer.issue(claim, randomBytes(RANDOM_BYTES));
  }

  /**
   * Runs an order at most once, on this node or at its home.
   *
   * @param call - the call of this request
   * @param orderId - identifier that the caller sent
   * @returns the result of the order
   */
  async run(call: Call, orderId: string): Promise<CallResult> {
    const claim = this.#signer.verify(orderId, call.caller);
    if (claim.isErr()) {
      return resultWithoutCost({ kind: 'refused', code: claim.error, retryAfterMs: 0 });
    }
    const { home } = claim.value;
    const { identity, log, sendToHome } = this.#options;
    if (home === identity.node) return this.runLocally(call, orderId);
    const { requestId, rootId, caller, service } = call;
    const code = 'chosenHome';
    log.write({ kind: 'placement', requestId, rootId, caller, service, orderId, home, code });
    return this.#toResult(await sendToHome(home, call, orderId));
  }

  /**
   * Runs an order whose home is this node.
   *
   * @param call - the call of this request
   * @param orderId - order identifier that names this node as its home
   * @returns the result of the order
   */
  async runLocally(call: Call, orderId: string): Promise<CallResult> {
    const { identity, clock } = this.#options;
    const claim = this.#signer.verify(orderId, call.caller);
    if (claim.isErr()) {
      return resultWithoutCost({ kind: 'refused', code: claim.error, retryAfterMs: 0 });
    }
    const { home, homeIncarnation, issuedAt } = claim.value;
    if (home !== identity.node || homeIncarnation !== identity.incarnation) {
      return resultWithoutCost({ kind: 'failed', code: 'orderUnknown' });
    }
    return this.#begin(call, orderId, clock.now() - issuedAt);
  }

  /**
   * Runs a nested non-idempotent call at most once within the run of its parent. The backend
   * server sends no order identifier: the parent and the content identify the nested call.
   *
   * @param call - the nested call
   * @param parentId - the running call that makes the nested call
   * @returns the result of the nested call
   */
  async runNested(call: Call, parentId: RequestId): Promise<CallResult> {
    return this.#begin(call, `nested:${parentId}:${call.fingerprint}`, 0);
  }

  /** Stops the timer. */
  close(): void {
    clearInterval(this.#ticker);
  }

  #begin(call: Call, orderId: string, ageMs: number): Promise<CallResult> {
    const { requestId, fingerprint } = call;
    return new Promise((resolve) => {
      this.#waitingRequests.set(requestId, { call, settle: resolve });
      this.#task.send({ kind: 'begin', orderId, ageMs, fingerprint, requestId });
    });
  }

  #toResult(attempt: Attempt): CallResult {
    switch (attempt.kind) {
      case 'replied': {
        const { outcome, retriesSpent, feedback } = attempt.answer;
        return { outcome, retriesSpent, feedback };
      }
      // An earlier request with the same identifier may have run, so this is not "not run".
      case 'unsent':
        return resultWithoutCost({ kind: 'failed', code: 'linkLost' });
      case 'lost':
        return resultWithoutCost({ kind: 'failed', code: attempt.code });
    }
  }

  #perform(effect: OrderEffect): void {
    switch (effect.kind) {
      case 'run':
        void this.#runOrder(effect.orderId, effect.requestId);
        break;
      case 'answer':
        this.#settle(effect.requestId, resultWithoutCost(effect.outcome));
        break;
      case 'reject':
        this.#settle(effect.requestId, resultWithoutCost(rejectionOutcome(effect.code)));
        break;
      case 'violation':
        this.#options.report(effect);
        break;
    }
  }

  async #runOrder(orderId: string, requestId: RequestId): Promise<void> {
    const waiting = this.#waitingRequests.get(requestId);
    if (waiting === undefined) return;
    const result = await this.#options.place(waiting.call);
    // Only the request that started the run gets its retries and feedback; others get the outcome.
    this.#settle(requestId, result);
    this.#task.send({ kind: 'settled', orderId, requestId, outcome: result.outcome });
  }

  #settle(requestId: RequestId, result: CallResult): void {
    this.#waitingRequests.get(requestId)?.settle(result);
    this.#waitingRequests.delete(requestId);
  }
}
