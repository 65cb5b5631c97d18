import type { AnswerBreaker } from '../core/dispatch/answer-breaker.js';
import type { InstanceId } from '../core/directory/instance.js';
import type { Log } from '../core/logs/log-entry.js';

/** Logs when a gate stops to send calls for answers without end, and when it sends them again. */
export class BreakerLog {
  readonly #log: Log;

  #isOpen = false;

  /**
   * @param log - destination of the lines
   */
  constructor(log: Log) {
    this.#log = log;
  }

  /**
   * Logs a change since the last call.
   *
   * @param breaker - the breaker at present
   * @param instance - the backend server
   */
  update(breaker: AnswerBreaker, instance: InstanceId): void {
    switch (breaker.kind) {
      case 'open':
        if (!this.#isOpen) {
          this.#write(instance, `gets no calls, the next trial is after ${breaker.openMs} ms`);
        }
        this.#isOpen = true;
        break;
      case 'half-open':
        // It follows an open one, and either opens again or closes.
        break;
      case 'closed':
        this.#close(instance, 'gets calls again after a trial');
        break;
    }
  }

  /**
   * Logs that calls start again, when another run of a backend server ended an open breaker.
   *
   * @param instance - the backend server that started
   */
  changeInstance(instance: InstanceId): void {
    this.#close(instance, 'gets calls, as it has started since');
  }

  #close(instance: InstanceId, state: string): void {
    if (this.#isOpen) this.#write(instance, state);
    this.#isOpen = false;
  }

  #write(instance: InstanceId, state: string): void {
    this.#log.write({ kind: 'event', code: 'answerBreaker', details: { instance, state } });
  }
}
