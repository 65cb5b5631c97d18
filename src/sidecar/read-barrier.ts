/**
 * Runs actions after everything has been read that was readable when they were submitted. A late
 * process finds a request and the departure of its caller unread at the same time; acting on the
 * request in the turn of the event loop that reads it would ignore the departure.
 */
export class ReadBarrier {
  /** Actions submitted since the last poll of the sockets. */
  #submitted: (() => void)[] = [];

  /** Actions submitted before the last poll. */
  #polled: (() => void)[] = [];

  #isScheduled = false;

  /**
   * Submits an action.
   *
   * @param action - what to do after the sockets have been polled once more
   */
  run(action: () => void): void {
    this.#submitted.push(action);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#advance());
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

  /** Immediates run once in each turn of the event loop, after the sockets have been polled. */
  #advance(): void {
    const ready = this.#polled;
    this.#polled = this.#submitted;
    this.#submitted = [];
    this.#isScheduled = this.#polled.length > 0;
    if (this.#isScheduled) setImmediate(() => this.#advance());
    ready.forEach((action) => action());
  }
}
