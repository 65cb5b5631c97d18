import type { Attempt } from '../core/pipeline/next-attempt.js';
import type { Answer } from '../core/model/call.js';
import type { RequestId } from '../core/model/names.js';
import type { Milliseconds } from '../core/model/time.js';

interface OutstandingCall {
  readonly settle: (attempt: Attempt) => void;
  readonly timer: NodeJS.Timeout;
}

/** Calls sent over one link that wait for their answers, by identifier and never by order. */
export class OutstandingCalls {
  readonly #calls = new Map<RequestId, OutstandingCall>();

  /** @returns the number of calls that wait */
  get size(): number {
    return this.#calls.size;
  }

  /**
   * Waits for the answer to a call.
   *
   * @param requestId - identifier of the call
   * @param timeoutMs - time after which the answer is of no use
   * @returns what became of the call
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
   * Hands an answer to the call that waits for it.
   *
   * @param answer - the answer
   * @returns false when no call waits for it, because it came late or twice
   */
  answer(answer: Answer): boolean {
    return this.#settle(answer.requestId, { kind: 'replied', answer });
  }

  /** Settles every waiting call as lost, because the link is gone. */
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
