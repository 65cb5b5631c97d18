import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

/**
 * After a longer turn of the event loop the process may have stood still since its last poll of the
 * sockets, so they are polled once more.
 */
const MAX_TURN_MS: Milliseconds = 50;

/**
 * Runs actions after everything has been read that was readable when they were submitted. A late
 * process finds a request and the departure of its caller unread at the same time; acting on the
 * request in the turn of the event loop that reads it would ignore the departure.
 */
export class ReadBarrier {
  readonly #clock: Clock;

  /** Actions submitted since the last poll of the sockets. */
  #submitted: (() => void)[] = [];

  /** Actions submitted before the last poll. */
  #polled: (() => void)[] = [];

  /** Actions whose last poll was followed by a long turn; they wait for one more poll only. */
  #delayed: (() => void)[] = [];

  #isScheduled = false;

  #turnStartedAt: Instant = 0;

  /**
   * @param clock - monotonic clock
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Submits an action.
   *
   * @param action - what to do after the sockets have been polled once more
   */
  run(action: () => void): void {
    this.#submitted.push(action);
    if (!this.#isScheduled) this.#schedule();
  }

  /**
   * Waits until the sockets have been polled once more.
   *
   * @returns a promise that resolves then
   */
  wait(): Promise<void> {
    return new Promise((resolve) => {
      this.run(resolve);
    });
  }

  #schedule(): void {
    this.#isScheduled = true;
    this.#turnStartedAt = this.#clock.now();
    setImmediate(() => this.#advance());
  }

  /** Immediates run once in each turn of the event loop, after the sockets have been polled. */
  #advance(): void {
    const isLongTurn = this.#clock.now() - this.#turnStartedAt > MAX_TURN_MS;
    const ready = isLongTurn ? this.#delayed : [...this.#delayed, ...this.#polled];
    this.#delayed = isLongTurn ? this.#polled : [];
    this.#polled = this.#submitted;
    this.#submitted = [];
    this.#isScheduled = false;
    if (this.#polled.length + this.#delayed.length > 0) this.#schedule();
    ready.forEach((action) => action());
  }
}
