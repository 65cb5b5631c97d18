import type { Attempt } from '../core/pipeline/next-attempt.js';
import type { Answer } from '../core/model/call.js';
import type { RequestId } from '../core/model/names.js';
import type { Milliseconds } from '../core/model/time.js';

interface OutstandingCall {
  readonly settle: (attempt: Attempt) => void;
  readonly timer: NodeJS.Timeout;
}

/** Calls sent over one link; answers are matched by identifier, whatever their order. */
export class OutstandingCalls {
  readonly #calls = new Map<RequestId, OutstandingCall>();

  /** @returns the number of calls without an answer */
  get size(): number {
    return this.#calls.size;
  }

  /**
   * Waits for the answer to a call.
   *
   * @param requestId - identifier of the call
   * @param timeoutMs - time after which the call counts as lost
   * @returns the result of the attempt
   */
  add(requestId: RequestId, timeoutMs: Milliseconds): Promise<Attempt> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#settle(requestId, { kind: 'lost', code: 'deadlinePassed' });
      }, timeoutMs);
      this.#calls.set(requestId, { settle: resolve, timer });
    });
  }

  /**
   * Settles the call that an answer belongs to.
   *
   * @param answer - the answer
   * @returns false when no call waits for it, because it is late or a duplicate
   */
  answer(answer: Answer): boolean {
    return this.#settle(answer.requestId, { kind: 'replied', answer });
  }

  /** Settles every waiting call as lost, after the link has closed. */
  failAll(): void {
    [...this.#calls.keys()].forEach((requestId) =>
      this.#settle(requestId, { kind: 'lost', code: 'linkLost' }),
    );
  }

  #settle(requestId: RequestId, attempt: Attempt): boolean {
    const call = this.#calls.get(requestId);
    if (call === undefined) return false;
    this.#calls.delete(requestId);
    clearTimeout(call.timer);
    call.settle(attempt);
    return true;
  }
}
