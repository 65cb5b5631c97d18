import type { Answer, Call } from './call.js';
import type { Delta, Document, DocumentHead, Topic } from './document.js';
import type { CrashRecord } from './crash-record.js';
import type { AccountName, Incarnation, RequestId } from './names.js';
import type { Instant, Milliseconds } from './time.js';

/** Request for tokens of an account, sent to the holder of a seat. */
export interface Draw {
  readonly kind: 'draw';
  readonly drawId: number;
  readonly account: AccountName;
  readonly want: number;
  /** True when no request waits for it; such a draw leaves a part of the burst to those that wait. */
  readonly isAhead: boolean;
}

/** Tokens given to an entry; already debited at the holder. */
export interface Grant {
  readonly kind: 'grant';
  readonly drawId: number;
  readonly account: AccountName;
  readonly tokens: number;
  /** Time until the holder expects a whole token when it gave none. */
  readonly retryAfterMs: Milliseconds;
  /** True when the holder has the shares of all later seats too, so asking them would be in vain. */
  readonly isFinal: boolean;
}

/** Report that a grant is used up: what was spent and what comes back. */
export interface Settlement {
  readonly kind: 'settlement';
  readonly drawId: number;
  readonly account: AccountName;
  readonly spent: number;
  readonly returned: number;
}

/** Request of a holder to use the shares of the seat that receives it. */
export interface LeaseRequest {
  readonly kind: 'lease-request';
  readonly leaseId: number;
  /** A lessor serves one run of a holder at a time. */
  readonly incarnation: Incarnation;
  readonly accounts: readonly AccountName[];
}

/** Share of one account that is leased. */
export interface LeasedShare {
  readonly account: AccountName;
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Free tokens that move with the share. */
  readonly tokens: number;
}

/** Reply to a lease request; already debited at the lessor. */
export interface Lease {
  readonly kind: 'lease';
  readonly leaseId: number;
  readonly incarnation: Incarnation;
  readonly shares: readonly LeasedShare[];
}

/** Heartbeat; the echo of the sender's clock bounds the offset between both clocks. */
export interface Ping {
  readonly kind: 'ping';
  readonly sentAt: Instant;
  readonly heads: readonly DocumentHead[];
  /** Time since any node was known to have read the configuration service. */
  readonly serviceAgeMs: Milliseconds;
}

/** Reply to a heartbeat. */
export interface Pong {
  readonly kind: 'pong';
  readonly echoedSentAt: Instant;
  readonly receivedAt: Instant;
}

/** An order request on its way to the node that remembers the order. */
export interface OrderCall {
  readonly kind: 'order-call';
  readonly orderId: string;
  readonly call: Call;
}

/** All messages between two nodes after the handshake. */
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
  | { readonly kind: 'marks'; readonly marks: readonly CrashRecord[] }
  | { readonly kind: 'incarnations'; readonly seen: readonly SeatIncarnation[] }
  | { readonly kind: 'leaving'; readonly forMs: Milliseconds };

/** The newest incarnation known of a seat's holder. */
export interface SeatIncarnation {
  readonly seat: string;
  readonly incarnation: Incarnation;
}
