/** A point on the process's monotonic clock, in milliseconds. */
export type Instant = number;

/** A length of time in milliseconds. */
export type Milliseconds = number;

/** Source of monotonic time; tests pass a clock of their own. */
export interface Clock {
  /** @returns the current instant in milliseconds, never decreasing */
  readonly now: () => Instant;
}
