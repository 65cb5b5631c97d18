/** Deliberate faults, by which tests show that a broken promise turns a run red. */
export type InjectedDefect =
  /** Backend servers answer with the answer to another request. */
  | 'crossed-answer'
  /** Backend servers say that they did not run what they ran. */
  | 'false-not-run'
  /** Backend servers lose what they run and start cold without any sign. */
  | 'unseen-crash'
  /** Callers write their key where the nodes cannot recognise it. */
  | 'hidden-key'
  /** Callers present the key of the other account. */
  | 'other-key'
  /** Withdrawn keys, zones that are out, or leaving hosts are not published. */
  | 'frozen-key'
  | 'frozen-zone'
  | 'frozen-hosts'
  /** Connections to backend servers repeat requests. */
  | 'repeated-run'
  /** The published configuration allows ten times the rate and burst. */
  | 'wrong-rate'
  /** The published configuration allows eight retries. */
  | 'wrong-retries'
  /** Stops end before what runs has ended. */
  | 'hasty-stop'
  /** The log of one node tells of a version in force that is lower than the last. */
  | 'lower-version';
