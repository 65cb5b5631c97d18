import { performance, type EventLoopUtilization } from 'node:perf_hooks';
import { PROCESSOR_INTERVAL_MS, type ProcessorUse } from '../core/dispatch/processor-limit.js';
import { processorPressure } from '../core/shedding/processor-pressure.js';
import type { Clock, Instant } from '../core/model/time.js';

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

  /** @returns pressure on the processor, from 0 to 1 */
  get pressure(): number {
    return processorPressure(this.#utilization);
  }

  /**
   * Measures the use of the processor. Calls drive the measurement, so that it needs no timer.
   *
   * @returns the use since the last measurement, or null before an interval has passed
   */
  measure(): ProcessorUse | null {
    const now = this.#clock.now();
    const elapsedMs = now - this.#lastAt;
    if (elapsedMs < PROCESSOR_INTERVAL_MS) return null;
    const current = performance.eventLoopUtilization();
    this.#utilization = performance.eventLoopUtilization(current, this.#last).utilization;
    this.#last = current;
    this.#lastAt = now;
    return { utilization: this.#utilization, elapsedMs };
  }
}
