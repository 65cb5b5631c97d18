import { performance, type EventLoopUtilization } from 'node:perf_hooks';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

/** Interval of the measurements; shorter ones show single long events. */
const PROCESSOR_INTERVAL_MS: Milliseconds = 100;

/** Measures how much of the time the event loop of the process handles events. */
export class ProcessorWatch {
  readonly #clock: Clock;

  #last: EventLoopUtilization = performance.eventLoopUtilization();

  #lastAt: Instant;

  #utilization = 0;

  /**
   * @param clock - monotonic clock
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastAt = clock.now();
  }

  /** @returns the last measured utilization, from 0 to 1 */
  get utilization(): number {
    return this.#utilization;
  }

  /** Measures the use of the processor when an interval has passed since the last time. */
  measure(): void {
    const now = this.#clock.now();
    if (now - this.#lastAt < PROCESSOR_INTERVAL_MS) return;
    const current = performance.eventLoopUtilization();
    this.#utilization = performance.eventLoopUtilization(current, this.#last).utilization;
    this.#last = current;
    this.#lastAt = now;
  }
}
