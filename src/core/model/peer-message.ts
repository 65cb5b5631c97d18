import type { Answer, Call } from './call.js';
import type { Delta, Document, DocumentHead, Topic } from './document.js';
import type { CrashClearance, CrashRecord } from './crash-record.js';
import type { AccountName, Incarnation, RequestId } from './names.js';
import type { Instant, Milliseconds } from './time.js';

/** Request for tokens of an account, sent to the quota server of a seat. */
export interface Draw {
  readonly kind: 'draw';
  readonly drawId: number;
  readonly account: AccountName;
  readonly want: number;
  /**
   * True when no request waits for the tokens; such a draw leaves a part of the burst to draws that
   * requests wait for.
   */
  readonly isAhead: boolean;
}

/** Tokens granted to an entry; the quota server has already debited them. */
export interface Grant {
  readonly kind: 'grant';
  readonly drawId: number;
  readonly account: AccountName;
  readonly tokens: number;
  /** Time until the quota server expects to have a whole token, when it granted none. */
  readonly retryAfterMs: Milliseconds;
  /** True when the quota server has leased the shares of all later seats, so they have no tokens. */
  readonly isFinal: boolean;
}

/** Final report on a grant: the tokens that were spent and those that are returned. */
export interface Settlement {
  readonly kind: 'settlement';
  readonly drawId: number;
  readonly account: AccountName;
  readonly spent: number;
  readonly returned: number;
}

/** Request of a quota server to lease the shares of the seat that receives it. */
export interface LeaseRequest {
  readonly kind: 'lease-request';
  readonly leaseId: number;
  /** Incarnation of the requesting quota server; a share is leased to one incarnation at a time. */
  readonly incarnation: Incarnation;
  readonly accounts: readonly AccountName[];
}

/** Leased share of the rate and burst of one account. */
export interface LeasedShare {
  readonly account: AccountName;
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Unspent tokens that are transferred with the share. */
  readonly tokens: number;
}

/** Reply to a lease request; the lessor has already debited the shares. */
export interface Lease {
  readonly kind: 'lease';
  readonly leaseId: number;
  readonly incarnation: Incarnation;
  readonly shares: readonly LeasedShare[];
}

/** Heartbeat; the echo of its send time bounds the offset between the clocks of both nodes. */
export interface Ping {
  readonly kind: 'ping';
  readonly sentAt: Instant;
  readonly heads: readonly DocumentHead[];
  /** Time since the last read of the configuration service by any node, as far as is known. */
  readonly serviceAgeMs: Milliseconds;
}

/** Reply to a heartbeat. */
export interface Pong {
  readonly kind: 'pong';
  readonly echoedSentAt: Instant;
  readonly receivedAt: Instant;
}

/** The call of an order, sent to the node that stores the order. */
export interface OrderCall {
  readonly kind: 'order-call';
  readonly orderId: string;
  readonly call: Call;
}

/** A message between two nodes after the handshake. */
export type PeerMessage =
  | Ping
  | Pong
  | { readonly kind: 'call'; readonly call: Call }
  | OrderCall
  | { readonly kind: 'answer'; readonly answer: Answer }
  | { readonly kind: 'cancel'; readonly requestId: RequestId }
  | { readonly kind: 'announce'; readonly head: DocumentHead; readonly serviceAgeMs: Milliseconds }
  | { readonly kind: 'pull'; readonly topic: Topic; readonly haveDigest: string | null }
  | { readonly kind: 'delta'; readonly delta: Delta }
  | { readonly kind: 'document'; readonly document: Document }
  | Draw
  | Grant
  | Settlement
  | LeaseRequest
  | Lease
  | {
      readonly kind: 'marks';
      readonly marks: readonly CrashRecord[];
      readonly clearances?: readonly CrashClearance[] | undefined;
    }
  | { readonly kind: 'incarnations'; readonly seen: readonly SeatIncarnation[] }
  | { readonly kind: 'leaving'; readonly forMs: Milliseconds };

/** The newest known incarnation of the quota server of a seat. */
export interface SeatIncarnation {
  readonly seat: string;
  readonly incarnation: Incarnation;
}
