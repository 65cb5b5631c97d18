import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

/** A time during which the process handled no events. */
export type Pause =
  /** The host was suspended, or the time of day was set forward. */
  | { readonly kind: 'suspended'; readonly pausedMs: Milliseconds }
  /** The process was stopped, starved of processor time or busy with one event. */
  | { readonly kind: 'stalled'; readonly pausedMs: Milliseconds };

/** Options of the pause watch. */
export interface PauseWatchOptions {
  /** Monotonic clock, which does not advance while the host is suspended. */
  readonly clock: Clock;
  /** @returns the time of day in milliseconds, which advances during a suspension */
  readonly timeOfDay: () => Milliseconds;
  /** Called after each pause. */
  readonly onPause: (pause: Pause) => void;
}

const CHECK_INTERVAL_MS: Milliseconds = 250;

/** Shorter differences between the clocks come from corrections of the time of day. */
const MIN_SUSPENSION_MS: Milliseconds = 500;

/** A check that is late by less than this is usual in a busy process. */
const MIN_STALL_MS: Milliseconds = 250;

/** Time that reading the events takes that waited during a pause. */
const SETTLE_MS: Milliseconds = 50;

interface Reading {
  readonly steadyAt: Instant;
  readonly dayAt: Milliseconds;
}

/**
 * Detects pauses of the process. A suspension of the host shows as a difference between two clocks,
 * any other pause as a late check. The process handles the events that waited meanwhile before its
 * timers, so `check` is also called when such an event arrives.
 */
export class PauseWatch {
  readonly #options: PauseWatchOptions;

  readonly #timer: NodeJS.Timeout;

  #last: Reading;

  #settledAt: Instant = Number.NEGATIVE_INFINITY;

  /**
   * @param options - both clocks and the handler
   */
  constructor(options: PauseWatchOptions) {
    this.#options = options;
    this.#last = this.#read();
    this.#timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  /** Compares the clocks with the last check, and reports a pause since then. */
  check(): void {
    const last = this.#last;
    const current = this.#read();
    this.#last = current;
    const steadyMs = current.steadyAt - last.steadyAt;
    const suspendedMs = current.dayAt - last.dayAt - steadyMs;
    const stalledMs = steadyMs - CHECK_INTERVAL_MS;
    if (suspendedMs >= MIN_SUSPENSION_MS) {
      this.#reportPause({ kind: 'suspended', pausedMs: suspendedMs }, current);
    } else if (stalledMs >= MIN_STALL_MS) {
      this.#reportPause({ kind: 'stalled', pausedMs: stalledMs }, current);
    }
  }

  /**
   * Checks for a pause and computes how long a request has to wait before it is handled. After a pause, its cancellation
   * may have arrived too and be read later, so requests wait until all such events are read.
   *
   * @returns the wait in milliseconds; 0 unless a pause has just ended
   */
  measureHold(): Milliseconds {
    this.check();
    return Math.max(0, this.#settledAt - this.#last.steadyAt);
  }

  /** Stops the checks. */
  close(): void {
    clearInterval(this.#timer);
  }

  #reportPause(pause: Pause, { steadyAt }: Reading): void {
    this.#settledAt = steadyAt + SETTLE_MS;
    this.#options.onPause(pause);
  }

  #read(): Reading {
    const { clock, timeOfDay } = this.#options;
    return { steadyAt: clock.now(), dayAt: timeOfDay() };
  }
}
