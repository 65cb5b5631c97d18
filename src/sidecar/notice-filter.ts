import type { DispatchMessage } from '../core/dispatch/dispatch-state.js';
import type { StartLimit } from '../core/dispatch/start-limit.js';
import type { InstanceId } from '../core/directory/instance.js';
import type { CodeName, Details } from '../core/errors/registry.js';
import type { BackendNotice, HealthReport } from '../core/exchange/incoming-request.js';
import type { Log } from '../core/logs/log-entry.js';
import type { Instant } from '../core/model/time.js';
import type { ExchangeEnd } from './backend-exchange.js';

/** Options of the filter. */
export interface NoticeFilterOptions {
  readonly log: Log;
  /** @returns the limit in force, to log changes only */
  readonly limit: () => StartLimit;
  /** @returns whether the backend server is known to leave */
  readonly isLeaving: () => boolean;
  readonly send: (message: DispatchMessage) => void;
}

/** Limit of the logged part of a text that a backend server sent. */
const MAX_LOGGED_CHARACTERS = 40;

function describeLimit(limit: StartLimit): string | number {
  return limit.kind === 'limited' ? limit.ratePerSecond : 'none';
}

/** Filter that turns what a backend server states in its answers into messages to the gate. */
export class NoticeFilter {
  readonly #options: NoticeFilterOptions;

  /** Last unreadable limit, which is logged once. */
  #unreadableText: string | null = null;

  /**
   * @param options - the gate and the log
   */
  constructor(options: NoticeFilterOptions) {
    this.#options = options;
  }

  /**
   * Applies the notice of an answer to a request.
   *
   * @param end - how the exchange ended
   * @param instance - instance that the request was addressed to
   * @param sentAt - when the request was sent
   */
  applyExchange(end: ExchangeEnd, instance: InstanceId, sentAt: Instant): void {
    switch (end.kind) {
      case 'answered':
      case 'shed':
        if (!end.head.isMisdirected) this.#apply(end.head.notice, instance, sentAt);
        break;
      case 'unsent':
      case 'failed':
        break;
    }
  }

  /**
   * Applies the notice of a health answer. One without a limit does not end a limit, since only
   * answers to requests are known to state it.
   *
   * @param report - the health answer
   */
  applyHealthReport({ instanceId, notice }: HealthReport): void {
    if (instanceId === null) return;
    if (notice.limit.kind !== 'none') this.#apply(notice, instanceId, Number.NEGATIVE_INFINITY);
    else if (notice.isLeaving) this.#applyLeaving(instanceId);
  }

  #apply({ limit, isLeaving }: BackendNotice, instance: InstanceId, sentAt: Instant): void {
    const before = this.#options.limit();
    this.#options.send({ kind: 'limit-stated', statement: { limit, sentAt } });
    const after = this.#options.limit();
    if (limit.kind === 'unreadable') this.#logUnreadable(limit.text, instance, after);
    else if (
      after.kind !== before.kind &&
      (before.kind === 'limited' || after.kind === 'limited')
    ) {
      this.#logEvent('limitStated', { instance, limit: describeLimit(after) });
    }
    if (isLeaving) this.#applyLeaving(instance);
  }

  #applyLeaving(instance: InstanceId): void {
    if (this.#options.isLeaving()) return;
    this.#options.send({ kind: 'leaving-stated' });
    this.#logEvent('backendLeaving', { instance });
  }

  #logUnreadable(text: string, instance: InstanceId, limit: StartLimit): void {
    if (this.#unreadableText === text) return;
    this.#unreadableText = text;
    this.#logEvent('limitUnreadable', {
      instance,
      text: text.slice(0, MAX_LOGGED_CHARACTERS),
      limit: describeLimit(limit),
    });
  }

  #logEvent(code: CodeName, details: Details): void {
    this.#options.log.write({ kind: 'event', code, details });
  }
}
