import type { ServiceName } from '../core/model/names.js';
import type { Clock } from '../core/model/time.js';
import {
  acquireRetry,
  emptyRetryBudget,
  recordRequest,
  type RetryBudget,
} from '../core/retry/retry-budget.js';
import type { RetryBound } from '../core/settings/sidecar-settings.js';

/** Options of the retry task. */
export interface RetryTaskOptions {
  readonly clock: Clock;
  /** @returns the bound in the current settings */
  readonly bound: () => RetryBound;
  /** @returns the number of nodes that share the bound */
  readonly nodes: () => number;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
}

/** Task that owns the share of this node in the retry budget of each service. */
export class RetryTask {
  readonly #options: RetryTaskOptions;

  /** Stays the same, so that no node rounds its share up in each of several windows. */
  readonly #offset: number;

  readonly #budgets = new Map<ServiceName, RetryBudget>();

  /**
   * @param options - clock, bound, number of nodes and source of random numbers
   */
  constructor(options: RetryTaskOptions) {
    this.#options = options;
    this.#offset = options.random();
  }

  /**
   * Counts a request in the retry budget of its service.
   *
   * @param service - service of the request
   */
  countRequest(service: ServiceName): void {
    const { clock, bound } = this.#options;
    const budget = this.#budgets.get(service) ?? emptyRetryBudget;
    this.#budgets.set(service, recordRequest(budget, bound(), clock.now()));
  }

  /**
   * Takes one retry from the budget, if it has one left.
   *
   * @param service - service of the request
   * @returns whether the request may be sent to another backend server
   */
  acquire(service: ServiceName): boolean {
    const { clock, bound, nodes } = this.#options;
    const budget = this.#budgets.get(service) ?? emptyRetryBudget;
    const grant = acquireRetry(
      budget,
      bound(),
      { nodes: nodes(), offset: this.#offset },
      clock.now(),
    );
    this.#budgets.set(service, grant.budget);
    return grant.isGranted;
  }
}
