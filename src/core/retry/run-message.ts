import type { Caller, Feedback } from '../model/call.js';
import type { Importance } from '../model/configuration.js';
import type { RequestId } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { Violation } from '../promises/violation.js';

/** Values that a nested call inherits from the running call that makes it. */
export interface Inheritance {
  readonly parentId: RequestId;
  readonly rootId: RequestId;
  readonly rootHash: number;
  readonly caller: Caller;
  readonly importance: Importance;
  readonly depth: number;
  readonly deadline: Instant;
  /** Retries reserved from the parent's budget for this call. */
  readonly retries: number;
}

/** Retries, latency and feedback of a run that has ended. */
export interface RunReport {
  readonly requestId: RequestId;
  readonly retriesSpent: number;
  readonly ownLatencyMs: Milliseconds;
  /** Lowest admit fraction of each downstream service, at most 8 services. */
  readonly feedback: readonly Feedback[];
}

/** Messages to the ledger of running calls. */
export type RunMessage =
  | {
      readonly kind: 'run-started';
      readonly requestId: RequestId;
      readonly rootId: RequestId;
      readonly rootHash: number;
      readonly caller: Caller;
      readonly importance: Importance;
      readonly depth: number;
      readonly deadline: Instant;
      readonly retries: number;
    }
  /** The running call makes a nested call. */
  | {
      readonly kind: 'child-started';
      readonly parentId: RequestId;
      readonly childId: RequestId;
      readonly fingerprint: string;
    }
  /** A nested call ended; `retriesSpent` is null when its answer was lost. */
  | {
      readonly kind: 'child-ended';
      readonly parentId: RequestId;
      readonly childId: RequestId;
      readonly isSuccess: boolean;
      readonly retriesSpent: number | null;
      readonly feedback: readonly Feedback[];
    }
  | { readonly kind: 'run-ended'; readonly requestId: RequestId };

/** Effects that the task of the ledger carries out. */
export type RunEffect =
  | {
      readonly kind: 'child-permitted';
      readonly childId: RequestId;
      readonly inheritance: Inheritance;
    }
  | {
      readonly kind: 'child-refused';
      readonly childId: RequestId;
      readonly code: 'contextInvalid' | 'retryBudgetSpent' | 'deadlineUnreachable';
    }
  | { readonly kind: 'run-reported'; readonly report: RunReport }
  /** The run ended before its nested call, whose result is no longer needed. */
  | { readonly kind: 'cancel-child'; readonly childId: RequestId }
  | Violation;
