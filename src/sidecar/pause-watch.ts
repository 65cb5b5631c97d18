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
  /** Called with each regular check, by how much it was late. */
  readonly onCheck: (lateMs: Milliseconds) => void;
  /** Called after each pause. */
  readonly onPause: (pause: Pause) => void;
  /** Called when the events that waited during the last pause have been read. */
  readonly onSettled: () => void;
}

const CHECK_INTERVAL_MS: Milliseconds = 250;

/** Shorter differences between the clocks come from corrections of the time of day. */
const MIN_SUSPENSION_MS: Milliseconds = 500;

/** A check that is late by less than this is usual in a busy process. */
const MIN_STALL_MS: Milliseconds = 250;

/** Time for reading the events that waited during a pause; large messages take several reads. */
const SETTLE_MS: Milliseconds = 50;

/** Reads that follow; the close of a link between nodes is reported some reads after its frames. */
const SETTLE_READS = 16;

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

  /** When the timer last fired. */
  #lastTickAt: Instant;

  #settling: NodeJS.Timeout | null = null;

  /**
   * @param options - both clocks and the handler
   */
  constructor(options: PauseWatchOptions) {
    this.#options = options;
    this.#last = this.#read();
    this.#lastTickAt = this.#last.steadyAt;
    this.#timer = setInterval(() => this.#checkRegularly(), CHECK_INTERVAL_MS);
  }

  /**
   * Compares the clocks with the last check, and reports a pause since then.
   *
   * @returns whether events that waited during a pause may still be unread
   */
  check(): boolean {
    const last = this.#last;
    const current = this.#read();
    this.#last = current;
    const steadyMs = current.steadyAt - last.steadyAt;
    const suspendedMs = current.dayAt - last.dayAt - steadyMs;
    const stalledMs = steadyMs - CHECK_INTERVAL_MS;
    if (suspendedMs >= MIN_SUSPENSION_MS) {
      this.#startSettling({ kind: 'suspended', pausedMs: suspendedMs });
    } else if (stalledMs >= MIN_STALL_MS) {
      this.#startSettling({ kind: 'stalled', pausedMs: stalledMs });
    }
    return this.#settling !== null;
  }

  /** Stops the checks. */
  close(): void {
    clearInterval(this.#timer);
    if (this.#settling !== null) clearTimeout(this.#settling);
  }

  #checkRegularly(): void {
    const now = this.#options.clock.now();
    this.#options.onCheck(Math.max(0, now - this.#lastTickAt - CHECK_INTERVAL_MS));
    this.#lastTickAt = now;
    this.check();
  }

  #startSettling(pause: Pause): void {
    if (this.#settling !== null) clearTimeout(this.#settling);
    this.#settling = this.#waitUntil(this.#last.steadyAt + SETTLE_MS);
    this.#options.onPause(pause);
  }

  /** The timers of a process that has just resumed may count from before the pause. */
  #waitUntil(instant: Instant): NodeJS.Timeout {
    const settling = setTimeout(() => {
      if (this.#settling !== settling) return;
      if (this.#options.clock.now() < instant) this.#settling = this.#waitUntil(instant);
      else this.#settle(settling, SETTLE_READS);
    }, instant - this.#options.clock.now());
    return settling;
  }

  /** Waits for some more reads: a starved process may run its timers before it reads at all. */
  #settle(settling: NodeJS.Timeout, readsLeft: number): void {
    // A further pause starts the wait anew.
    if (this.#settling !== settling) return;
    if (readsLeft > 0) {
      // An immediate runs after the sockets have been read once.
      setImmediate(() => this.#settle(settling, readsLeft - 1));
      return;
    }
    this.#settling = null;
    this.#options.onSettled();
  }

  #read(): Reading {
    const { clock, timeOfDay } = this.#options;
    return { steadyAt: clock.now(), dayAt: timeOfDay() };
  }
}
