import type { Configuration } from '../model/configuration.js';
import type {
  AccountName,
  BackendServerName,
  Incarnation,
  RequestId,
  ZoneName,
} from '../model/names.js';
import type { Draw, Grant, Lease, LeaseRequest, Settlement } from '../model/peer-message.js';
import type { Milliseconds } from '../model/time.js';
import type { Violation } from '../promises/violation.js';

/** Messages to the holder of a seat. */
export type QuotaServerMessage =
  | { readonly kind: 'configured'; readonly configuration: Configuration }
  | { readonly kind: 'draw'; readonly peer: BackendServerName; readonly draw: Draw }
  | {
      readonly kind: 'settled';
      readonly peer: BackendServerName;
      readonly settlement: Settlement;
    }
  | {
      readonly kind: 'lease-requested';
      readonly peer: BackendServerName;
      readonly request: LeaseRequest;
    }
  | { readonly kind: 'leased'; readonly seat: BackendServerName; readonly lease: Lease }
  /** The configuration service answered. */
  | { readonly kind: 'service-answered' }
  /** A frame came from a node of the zone. */
  | { readonly kind: 'zone-contacted'; readonly zone: ZoneName }
  | { readonly kind: 'incarnation-reported'; readonly incarnation: Incarnation }
  /** A timer of this process ran late, so the process was paused. */
  | { readonly kind: 'timer-late'; readonly lateMs: Milliseconds }
  | { readonly kind: 'tick' };

/** What a holder asks its task to do. */
export type QuotaServerEffect =
  | { readonly kind: 'grant'; readonly peer: BackendServerName; readonly grant: Grant }
  | {
      readonly kind: 'send-lease-request';
      readonly seat: BackendServerName;
      readonly request: LeaseRequest;
    }
  | { readonly kind: 'send-lease'; readonly peer: BackendServerName; readonly lease: Lease }
  | Violation;

/** Messages to the quota cache, the keeper of an entry's grants. */
export type QuotaCacheMessage =
  | { readonly kind: 'configured'; readonly configuration: Configuration }
  /** One token is wanted for a root request. */
  | { readonly kind: 'spend'; readonly requestId: RequestId; readonly account: AccountName }
  /** The caller went away before a token came. */
  | { readonly kind: 'abandoned'; readonly requestId: RequestId }
  | { readonly kind: 'granted'; readonly seat: BackendServerName; readonly grant: Grant }
  /** No draw can be sent to the seat's holder, or its grant cannot arrive any more. */
  | { readonly kind: 'seat-lost'; readonly seat: BackendServerName }
  /** The node stops; unspent tokens go back. */
  | { readonly kind: 'stop' }
  | { readonly kind: 'tick' };

/** What a quota cache asks its task to do. */
export type QuotaCacheEffect =
  | { readonly kind: 'admit'; readonly requestId: RequestId }
  | {
      readonly kind: 'refuse';
      readonly requestId: RequestId;
      readonly retryAfterMs: Milliseconds;
    }
  | { readonly kind: 'send-draw'; readonly seat: BackendServerName; readonly draw: Draw }
  | {
      readonly kind: 'send-settlement';
      readonly seat: BackendServerName;
      readonly settlement: Settlement;
    }
  | Violation;
