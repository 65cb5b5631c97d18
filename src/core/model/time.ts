/** A point on the process's monotonic clock, in milliseconds. */
export type Instant = number;

/** A duration in milliseconds. */
export type Milliseconds = number;

/** Source of monotonic time; tests pass a manual clock. */
export interface Clock {
  /** @returns the current instant in milliseconds, never decreasing */
  readonly now: () => Instant;
}
