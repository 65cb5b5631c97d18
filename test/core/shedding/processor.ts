import {
  PROCESSOR_INTERVAL_MS,
  type ProcessorUse,
} from '../../../src/core/dispatch/processor-limit.js';
import type { EventQueue } from './event-queue.js';

/** Processor of a simulated node: handles one event after the other, in the order of arrival. */
export class Processor {
  readonly #eventQueue: EventQueue;

  #busyUntil = 0;

  /** Time for which the events so far keep the processor busy. */
  #assignedMs = 0;

  #measuredAt = 0;

  #measuredBusyMs = 0;

  /** Share of the last interval in which the processor was busy. */
  utilization = 0;

  constructor(eventQueue: EventQueue) {
    this.#eventQueue = eventQueue;
  }

  /** Measures the use of the processor once in each interval; null in between. */
  measure(): ProcessorUse | null {
    const { now } = this.#eventQueue;
    const elapsedMs = now - this.#measuredAt;
    if (elapsedMs < PROCESSOR_INTERVAL_MS) return null;
    const busyMs = this.#assignedMs - Math.max(0, this.#busyUntil - now);
    this.utilization = (busyMs - this.#measuredBusyMs) / elapsedMs;
    this.#measuredAt = now;
    this.#measuredBusyMs = busyMs;
    return { utilization: this.utilization, elapsedMs };
  }

  /** Runs an action after the events that wait, and after its own time. */
  handle(workMs: number, action: () => void): void {
    if (workMs === 0) {
      action();
      return;
    }
    const { now } = this.#eventQueue;
    this.#busyUntil = Math.max(now, this.#busyUntil) + workMs;
    this.#assignedMs += workMs;
    this.#eventQueue.schedule(this.#busyUntil - now, action);
  }
}
