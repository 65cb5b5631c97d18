/** Deliberate defects with which tests show that the audit detects each broken promise. */
export type InjectedDefect =
  /** Backend servers return the answer to another request. */
  | 'crossed-answer'
  /** Backend servers answer "not run" for requests that they ran. */
  | 'false-not-run'
  /** Backend servers lose their active runs and restart cold without closing a connection. */
  | 'unseen-crash'
  /** Callers add their key in a form that the nodes cannot recognise. */
  | 'hidden-key'
  /** Callers present the key of the other account. */
  | 'other-key'
  /** Withdrawn keys are not published. */
  | 'frozen-key'
  /** Zones that are out of service are not published. */
  | 'frozen-zone'
  /** Leaving hosts are not published. */
  | 'frozen-hosts'
  /** Connections to backend servers repeat requests. */
  | 'repeated-run'
  /** The published configuration allows ten times the rate and burst. */
  | 'wrong-rate'
  /** The published configuration allows eight retries. */
  | 'wrong-retries'
  /** Graceful stops end before the active runs have ended. */
  | 'hasty-stop'
  /** Nodes log that they applied a version lower than the previous one. */
  | 'lower-version';
