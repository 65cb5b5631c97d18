import type { Clock, Milliseconds } from '../core/model/time.js';

/** What the watch needs. */
export interface SuspensionWatchOptions {
  /** Steady clock, which stands still while the host is suspended. */
  readonly clock: Clock;
  /** @returns the time of day in milliseconds, which goes on meanwhile */
  readonly timeOfDay: () => Milliseconds;
  /** The host stood still for this long, or its time of day was set forward. */
  readonly onResume: (suspendedMs: Milliseconds) => void;
}

const CHECK_INTERVAL_MS: Milliseconds = 250;

/** Smaller differences come from corrections of the time of day. */
const MIN_SUSPENSION_MS: Milliseconds = 500;

/**
 * Watches for suspensions of the host. A pause of the process alone shows on neither clock and
 * needs nothing: its timers run late, and requests that waited too long are refused then.
 *
 * @param options - both clocks and the handler
 * @returns the timer, to be cleared at the stop
 */
export function watchSuspension({
  clock,
  timeOfDay,
  onResume: notify,
}: SuspensionWatchOptions): NodeJS.Timeout {
  let offsetMs = timeOfDay() - clock.now();
  return setInterval(() => {
    const currentOffsetMs = timeOfDay() - clock.now();
    const suspendedMs = currentOffsetMs - offsetMs;
    offsetMs = currentOffsetMs;
    if (suspendedMs >= MIN_SUSPENSION_MS) notify(suspendedMs);
  }, CHECK_INTERVAL_MS);
}
