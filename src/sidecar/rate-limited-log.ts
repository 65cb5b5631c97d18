import type { Log, LogEntry } from '../core/logs/log-entry.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

/** Lines about requests that went well, and all lines, that are written in one second at most. */
const MAX_SUCCESS_LINES_PER_SECOND = 300;
const MAX_LINES_PER_SECOND = 1500;

const WINDOW_MS: Milliseconds = 1000;

function isSuccess(entry: LogEntry): boolean {
  return entry.kind === 'decision' && entry.code === 'ok';
}

/** A log whose volume is bounded under load; it says how many lines it left out. */
export class RateLimitedLog implements Log {
  readonly #log: Log;

  readonly #clock: Clock;

  #windowStart: Instant = Number.NEGATIVE_INFINITY;

  #lines = 0;

  #droppedLines = 0;

  /**
   * @param log - where lines go
   * @param clock - monotonic clock
   */
  constructor(log: Log, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** {@inheritDoc Log.write} */
  readonly write = (entry: LogEntry): void => {
    const now = this.#clock.now();
    if (now - this.#windowStart >= WINDOW_MS) this.#startWindow(now);
    const limit = isSuccess(entry) ? MAX_SUCCESS_LINES_PER_SECOND : MAX_LINES_PER_SECOND;
    if (this.#lines >= limit) {
      this.#droppedLines += 1;
      return;
    }
    this.#lines += 1;
    this.#log.write(entry);
  };

  #startWindow(now: Instant): void {
    const dropped = this.#droppedLines;
    this.#windowStart = now;
    this.#lines = 0;
    this.#droppedLines = 0;
    if (dropped > 0) this.#log.write({ kind: 'event', code: 'linesDropped', details: { dropped } });
  }
}
