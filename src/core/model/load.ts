/** Whether a gate accepts new calls. */
export type GateState = 'serving' | 'leaving' | 'zone-out';

/** Load of one gate, as reported by the gate. */
export interface Load {
  readonly state: GateState;
  /** Calls running in the backend server. */
  readonly running: number;
  /** Calls queued in the gate. */
  readonly queued: number;
  /** Concurrency limit of the gate, in calls. */
  readonly limit: number;
}
