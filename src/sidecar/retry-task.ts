import type { ServiceName } from '../core/model/names.js';
import type { Clock } from '../core/model/time.js';
import {
  askRepeat,
  emptyRetryBudget,
  recordRequest,
  type RetryBudget,
} from '../core/retry/retry-budget.js';
import type { RetryBound } from '../core/settings/sidecar-settings.js';

/** What the retry budgets need. */
export interface RetryTaskOptions {
  readonly clock: Clock;
  /** @returns the bound of the settings in force */
  readonly bound: () => RetryBound;
  /** @returns number of nodes that share the bound */
  readonly nodes: () => number;
}

/** Owner of this node's part of the retry budget of each service. */
export class RetryTask {
  readonly #options: RetryTaskOptions;

  readonly #budgets = new Map<ServiceName, RetryBudget>();

  /**
   * @param options - clock and bound
   */
  constructor(options: RetryTaskOptions) {
    this.#options = options;
  }

  /**
   * Counts a request.
   *
   * @param service - its service
   */
  countRequest(service: ServiceName): void {
    const { clock, bound } = this.#options;
    const budget = this.#budgets.get(service) ?? emptyRetryBudget;
    this.#budgets.set(service, recordRequest(budget, bound(), clock.now()));
  }

  /**
   * Asks for a repeat.
   *
   * @param service - service of the request
   * @returns whether the request may be sent to another backend server
   */
  acquire(service: ServiceName): boolean {
    const { clock, bound, nodes } = this.#options;
    const budget = this.#budgets.get(service) ?? emptyRetryBudget;
    const grant = askRepeat(budget, bound(), nodes(), clock.now());
    this.#budgets.set(service, grant.budget);
    return grant.isGranted;
  }
}
