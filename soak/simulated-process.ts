/** A simulated process. Its timers and messages are deferred while it is paused and end with it. */
export class SimulatedProcess {
  isAlive = true;

  pausedUntil = 0;

  /** Time since which the process has run without a pause. */
  awakeSince: number;

  /**
   * @param name - name in traces
   * @param clockOffset - start of its monotonic clock in milliseconds; it differs between processes
   *   so that a comparison of times of two clocks is detected
   * @param now - current time of the run in milliseconds
   */
  constructor(
    readonly name: string,
    readonly clockOffset: number,
    now: number,
  ) {
    this.awakeSince = now;
  }

  /** Pauses the process until a time; its clock continues. */
  pause(until: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, until);
    this.awakeSince = this.pausedUntil;
  }
}
