/** How a call ended at the backend server. */
export type DispatchEnd =
  | 'answered'
  | 'failed'
  | 'shed'
  /** Its answer was given up after more than any answer may hold. */
  | 'excessive'
  /** Its answer was given up early, and may be what its caller asked for or one without end. */
  | 'inconclusive';
