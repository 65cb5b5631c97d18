/** One simulated process; its timers and messages wait while it is paused and end with it. */
export class SimulatedProcess {
  isAlive = true;

  pausedUntil = 0;

  /** Instant since which it runs without a pause. */
  awakeSince: number;

  /**
   * @param name - name in traces
   * @param clockOffset - start of its monotonic clock, so that mixed clocks show up
   * @param now - the current instant of the run
   */
  constructor(
    readonly name: string,
    readonly clockOffset: number,
    now: number,
  ) {
    this.awakeSince = now;
  }

  /** Stops the process until an instant; its clock goes on. */
  pause(until: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, until);
    this.awakeSince = this.pausedUntil;
  }
}
