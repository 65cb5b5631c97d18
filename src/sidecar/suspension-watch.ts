import type { Clock, Milliseconds } from '../core/model/time.js';

/** Options of the suspension watch. */
export interface SuspensionWatchOptions {
  /** Monotonic clock, which does not advance while the host is suspended. */
  readonly clock: Clock;
  /** @returns the time of day in milliseconds, which advances during a suspension */
  readonly timeOfDay: () => Milliseconds;
  /** Called with the duration after a suspension, or after the time of day was set forward. */
  readonly onResume: (suspendedMs: Milliseconds) => void;
}

const CHECK_INTERVAL_MS: Milliseconds = 250;

/** Shorter differences between the clocks come from corrections of the time of day. */
const MIN_SUSPENSION_MS: Milliseconds = 500;

/**
 * Detects suspensions of the host by comparing two clocks. A pause of the process alone does not
 * change their difference and needs no handling: its timers fire late, and requests that waited
 * too long are refused.
 *
 * @param options - both clocks and the handler
 * @returns the timer of the check, which the caller clears
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
