import type { Caller, Feedback } from '../model/call.js';
import type { Importance } from '../model/configuration.js';
import type { RequestId } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { Violation } from '../promises/violation.js';

/** What a deeper call inherits from the running call that makes it. */
export interface Inheritance {
  readonly parentId: RequestId;
  readonly rootId: RequestId;
  readonly rootHash: number;
  readonly caller: Caller;
  readonly importance: Importance;
  readonly depth: number;
  readonly deadline: Instant;
  /** Extra sends reserved from the parent for this child. */
  readonly retries: number;
}

/** What the ledger reports of a run that has ended. */
export interface RunReport {
  readonly requestId: RequestId;
  readonly retriesSpent: number;
  readonly ownLatencyMs: Milliseconds;
  /** Lowest admit fraction of each service below, at most 8 services. */
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
  /** The running call makes a deeper call. */
  | {
      readonly kind: 'child-started';
      readonly parentId: RequestId;
      readonly childId: RequestId;
      readonly fingerprint: string;
    }
  /** A deeper call ended; `retriesSpent` is null when its answer was lost. */
  | {
      readonly kind: 'child-ended';
      readonly parentId: RequestId;
      readonly childId: RequestId;
      readonly succeeded: boolean;
      readonly retriesSpent: number | null;
      readonly feedback: readonly Feedback[];
    }
  | { readonly kind: 'run-ended'; readonly requestId: RequestId };

/** What the ledger asks its task to do. */
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
  /** The run ended while deeper calls were outstanding; they are of no use any more. */
  | { readonly kind: 'cancel-child'; readonly childId: RequestId }
  | Violation;
