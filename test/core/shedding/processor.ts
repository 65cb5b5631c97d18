import type { EventQueue } from './event-queue.js';

/** Processor of a simulated node: handles one event after the other, in the order of arrival. */
export class Processor {
  readonly #eventQueue: EventQueue;

  #busyUntil = 0;

  constructor(eventQueue: EventQueue) {
    this.#eventQueue = eventQueue;
  }

  /** Runs an action after the events that wait, and after its own time. */
  handle(workMs: number, action: () => void): void {
    if (workMs === 0) {
      action();
      return;
    }
    const { now } = this.#eventQueue;
    this.#busyUntil = Math.max(now, this.#busyUntil) + workMs;
    this.#eventQueue.schedule(this.#busyUntil - now, action);
  }
}
