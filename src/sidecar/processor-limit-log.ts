import {
  isReportable,
  noProcessorLimit,
  type ProcessorLimit,
} from '../core/dispatch/processor-limit.js';
import type { Log } from '../core/logs/log-entry.js';

/** What the log says about the limit from the processor. */
export interface ProcessorLimitReport {
  readonly limit: ProcessorLimit;
  /** Share of the time in which the node handled events, from 0 to 1. */
  readonly utilization: number;
  /** Calls that may run at the same time. */
  readonly calls: number;
}

/** Logs the start, the end and large changes of the limit that the processor sets to a gate. */
export class ProcessorLimitLog {
  readonly #log: Log;

  #reported: ProcessorLimit = noProcessorLimit;

  /**
   * @param log - destination of the lines
   */
  constructor(log: Log) {
    this.#log = log;
  }

  /**
   * Logs the limit if it differs enough from the last line.
   *
   * @param report - the limit at present
   */
  update({ limit, utilization, calls }: ProcessorLimitReport): void {
    if (!isReportable(this.#reported, limit)) return;
    this.#reported = limit;
    const details = {
      state: limit.kind === 'limited' ? 'saturated' : 'relaxed',
      utilization: Math.round(utilization * 100) / 100,
      limit: calls,
    };
    this.#log.write({ kind: 'event', code: 'processorLimit', details });
  }
}
