import type { Clock } from '../core/model/time.js';

/** The monotonic clock of the process. It goes on while the process is paused. */
export const monotonicClock: Clock = { now: () => performance.now() };
