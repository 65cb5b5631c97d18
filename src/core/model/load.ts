/** Whether a gate takes new work. */
export type GateState = 'serving' | 'leaving' | 'zone-out';

/** Load of one gate as it sees itself. */
export interface Load {
  readonly state: GateState;
  /** Calls that run in the backend server. */
  readonly running: number;
  /** Calls that wait in the gate. */
  readonly queued: number;
  /** Calls that the gate lets run at the same time. */
  readonly limit: number;
}
