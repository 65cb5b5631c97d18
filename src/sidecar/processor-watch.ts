import { performance } from 'node:perf_hooks';
import { PROCESSOR_INTERVAL_MS, type ProcessorUse } from '../core/dispatch/processor-limit.js';
import { processorPressure } from '../core/shedding/processor-pressure.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

/** Times of the event loop since its start. */
export interface LoopTimes {
  /** Time in which it handled events. */
  readonly active: Milliseconds;
  /** Time in which it waited for events. */
  readonly idle: Milliseconds;
}

/**
 * Measures how much of the time the event loop of the process handles events. Whoever asks drives
 * the measurement, so that it needs no timer.
 */
export class ProcessorWatch {
  readonly #clock: Clock;

  readonly #readTimes: () => LoopTimes;

  #last: LoopTimes;

  #lastAt: Instant;

  #utilization = 0;

  /** Time that was measured since `takeUse` last returned it. */
  #untakenMs: Milliseconds = 0;

  /**
   * @param clock - monotonic clock
   * @param readTimes - reads the times of the event loop
   */
  constructor(clock: Clock, readTimes: () => LoopTimes = () => performance.eventLoopUtilization()) {
    this.#clock = clock;
    this.#readTimes = readTimes;
    this.#last = readTimes();
    this.#lastAt = clock.now();
  }

  /** @returns the utilization in the last interval, from 0 to 1 */
  get utilization(): number {
    this.#measure();
    return this.#utilization;
  }

  /** @returns pressure on the processor, from 0 to 1 */
  get pressure(): number {
    return processorPressure(this.utilization);
  }

  /**
   * Takes the use of the processor, once for each measurement.
   *
   * @returns the use since the last one that was taken, or null without a new measurement
   */
  takeUse(): ProcessorUse | null {
    this.#measure();
    if (this.#untakenMs === 0) return null;
    const use = { utilization: this.#utilization, elapsedMs: this.#untakenMs };
    this.#untakenMs = 0;
    return use;
  }

  #measure(): void {
    const now = this.#clock.now();
    const elapsedMs = now - this.#lastAt;
    if (elapsedMs < PROCESSOR_INTERVAL_MS) return;
    const current = this.#readTimes();
    const activeMs = current.active - this.#last.active;
    const totalMs = activeMs + current.idle - this.#last.idle;
    this.#utilization = totalMs > 0 ? activeMs / totalMs : 0;
    this.#last = current;
    this.#lastAt = now;
    this.#untakenMs += elapsedMs;
  }
}
