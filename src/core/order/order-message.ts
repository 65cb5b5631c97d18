import type { CodeName } from '../errors/registry.js';
import type { Header, Outcome } from '../model/call.js';
import type { RequestId } from '../model/names.js';
import type { Violation } from '../promises/violation.js';

/** Messages to the ledger of orders of which this node is the home. */
export type OrderMessage =
  /** A request arrived with a verified identifier that names this incarnation. */
  | {
      readonly kind: 'begin';
      readonly orderId: string;
      /** Time since the identifier was issued. */
      readonly ageMs: number;
      readonly fingerprint: string;
      readonly requestId: RequestId;
    }
  /** The run of an order ended. The outcome `refused` means that it certainly did not run. */
  | {
      readonly kind: 'settled';
      readonly orderId: string;
      readonly requestId: RequestId;
      readonly outcome: Outcome;
    }
  /** A waiting request was cancelled by its caller. */
  | { readonly kind: 'abandoned'; readonly orderId: string; readonly requestId: RequestId }
  | { readonly kind: 'tick' };

/** Effects that the ledger's task performs. */
export type OrderEffect =
  /** Run the order with the call of this request. */
  | { readonly kind: 'run'; readonly orderId: string; readonly requestId: RequestId }
  | { readonly kind: 'answer'; readonly requestId: RequestId; readonly outcome: Outcome }
  | {
      readonly kind: 'reject';
      readonly requestId: RequestId;
      readonly code: CodeName;
      /** Status and headers of an answer whose body was too large to keep. */
      readonly kept?: { readonly status: number; readonly headers: readonly Header[] };
    }
  | Violation;
