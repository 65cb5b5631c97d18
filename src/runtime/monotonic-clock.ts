import type { Clock } from '../core/model/time.js';

/** Monotonic clock of the process. It keeps running while the process is suspended. */
export const monotonicClock: Clock = { now: () => performance.now() };
