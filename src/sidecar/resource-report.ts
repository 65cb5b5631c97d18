import { getHeapStatistics } from 'node:v8';
import type { CodeName, Details } from '../core/errors/registry.js';
import {
  updateMemoryAlarm,
  type MemoryAlarm,
  type MemoryUse,
} from '../core/memory/memory-alarm.js';
import type { AnswerCost } from '../core/reading/answer-cost.js';
import type { ReadPacer } from '../runtime/read-pacer.js';
import type { HeldBytes } from './held-bodies.js';
import type { SidecarMetrics } from './sidecar-metrics.js';

/** Options of the report. */
export interface ResourceReportOptions {
  /** Memory of the host in bytes. */
  readonly hostLimitBytes: number;
  readonly metrics: SidecarMetrics;
  readonly heldBytes: () => HeldBytes;
  readonly pacer: ReadPacer;
  readonly report: (code: CodeName, details: Details) => void;
}

const BYTES_PER_MEGABYTE = 1_000_000;

function toMegabytes(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MEGABYTE);
}

/** Reports the memory of the process and what the answers of its backend server cost. */
export class ResourceReport {
  readonly #options: ResourceReportOptions;

  #alarm: MemoryAlarm = 'calm';

  /**
   * @param options - metrics, log and the memory of the host
   */
  constructor(options: ResourceReportOptions) {
    this.#options = options;
  }

  /**
   * Counts an answer.
   *
   * @param cost - what reading it has cost
   */
  countAnswer({ wireBytes, bodyBytes, chunks }: AnswerCost): void {
    const { answerBytes, answerChunks } = this.#options.metrics;
    answerBytes.inc({ part: 'wire' }, wireBytes);
    answerBytes.inc({ part: 'body' }, bodyBytes);
    answerChunks.inc(chunks);
  }

  /** Measures the use of the memory, and logs when it is nearly used up and when it no longer is. */
  update(): void {
    const { hostLimitBytes, metrics, heldBytes, pacer } = this.#options;
    const statistics = getHeapStatistics();
    const use: MemoryUse = {
      heapBytes: statistics.used_heap_size,
      externalBytes: statistics.external_memory,
      heapLimitBytes: statistics.heap_size_limit,
      hostLimitBytes,
    };
    const held = heldBytes();
    metrics.pacedConnections.set(pacer.waiting);
    metrics.heapBytes.set(use.heapBytes);
    metrics.heapLimitBytes.set(use.heapLimitBytes);
    metrics.externalBytes.set(use.externalBytes);
    metrics.heldBytes.set({ holder: 'answers' }, held.answers);
    metrics.heldBytes.set({ holder: 'unread answers' }, held.unreadAnswers);
    metrics.heldBytes.set({ holder: 'requests' }, held.requests);
    metrics.heldBytes.set({ holder: 'frames' }, held.frames);
    const alarm = updateMemoryAlarm(this.#alarm, use);
    if (alarm !== this.#alarm) this.#logUse(alarm, use, held);
    this.#alarm = alarm;
  }

  #logUse(alarm: MemoryAlarm, { heapBytes, externalBytes }: MemoryUse, held: HeldBytes): void {
    this.#options.report('memoryUse', {
      state: alarm,
      heapMb: toMegabytes(heapBytes),
      externalMb: toMegabytes(externalBytes),
      answersMb: toMegabytes(held.answers),
      unreadMb: toMegabytes(held.unreadAnswers),
    });
  }
}
