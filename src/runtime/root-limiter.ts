import type { Call, Caller } from '../core/model/call.js';
import type { Route } from '../core/model/configuration.js';
import type { AccountName } from '../core/model/names.js';
import { hasSucceeded } from '../core/model/outcome.js';
import type { Clock } from '../core/model/time.js';
import {
  admitFractionFor,
  INITIAL_BACKPRESSURE,
  pruneBackpressure,
  recordFeedback,
  type Backpressure,
} from '../core/pressure/pressure.js';
import {
  admitRoot,
  INITIAL_CALLER_RETRIES,
  recordRootResult,
  type CallerRetries,
} from '../core/retry/caller-retry.js';
import type { CallResult } from './placement.js';

const PRUNE_INTERVAL_MS = 5000;

/** Owns the limits that an entry derives from the results of its root requests. */
export class RootLimiter {
  readonly #clock: Clock;

  readonly #ticker: NodeJS.Timeout;

  #pressure: Backpressure = INITIAL_BACKPRESSURE;

  #retries: CallerRetries = INITIAL_CALLER_RETRIES;

  /**
   * @param clock - monotonic clock
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#ticker = setInterval(() => {
      this.#pressure = pruneBackpressure(this.#pressure, clock.now());
    }, PRUNE_INTERVAL_MS);
  }

  /**
   * @param route - route of a root request
   * @param caller - its caller
   * @returns fraction of root hashes to admit under the pressure of the services behind the route
   */
  admitFraction(route: Route, caller: Caller): number {
    return admitFractionFor(this.#pressure, route.name, caller, this.#clock.now());
  }

  /**
   * Counts a root request against the retry budget of its caller.
   *
   * @param account - the account
   * @param fingerprint - fingerprint of the request
   * @returns whether it is a first request, a repeat within the budget, or one beyond it (`no`)
   */
  classifyRequest(account: AccountName, fingerprint: string): 'first' | 'repeat' | 'no' {
    const caller: Caller = { kind: 'account', account };
    const request = { caller, fingerprint, now: this.#clock.now() };
    const { state, isRepeat, isAdmitted } = admitRoot(this.#retries, request);
    this.#retries = state;
    if (!isAdmitted) return 'no';
    return isRepeat ? 'repeat' : 'first';
  }

  /**
   * Updates pressure and retry budget with the result of a root request.
   *
   * @param call - the root request
   * @param result - its result
   */
  recordResult(call: Call, { outcome, feedback }: CallResult): void {
    const { route, caller, fingerprint } = call;
    const now = this.#clock.now();
    this.#pressure = recordFeedback(this.#pressure, { route, caller, feedback, now });
    this.#retries = recordRootResult(
      this.#retries,
      { caller, fingerprint, now },
      hasSucceeded(outcome),
    );
  }

  /** Stops the timer. */
  close(): void {
    clearInterval(this.#ticker);
  }
}
