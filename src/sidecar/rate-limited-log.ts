import type { Log, LogEntry } from '../core/logs/log-entry.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

/** After this many lines in a second, lines about successful requests are dropped. */
const MAX_SUCCESS_LINES_PER_SECOND = 300;

/** After this many lines in a second, all lines are dropped. */
const MAX_LINES_PER_SECOND = 1500;

const WINDOW_MS: Milliseconds = 1000;

function isSuccess(entry: LogEntry): boolean {
  return entry.kind === 'decision' && entry.code === 'ok';
}

/** Log with a limited rate of lines, which reports the number of dropped lines. */
export class RateLimitedLog implements Log {
  readonly #log: Log;

  readonly #clock: Clock;

  #windowStart: Instant = Number.NEGATIVE_INFINITY;

  #lines = 0;

  #droppedLines = 0;

  /**
   * @param log - destination of the lines
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
