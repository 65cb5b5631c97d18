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

/** Messages to the quota server of a seat. */
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
  /** A frame arrived from a node of the zone. */
  | { readonly kind: 'zone-contacted'; readonly zone: ZoneName }
  /** Another node reported an incarnation of this seat's quota server. */
  | { readonly kind: 'incarnation-reported'; readonly incarnation: Incarnation }
  /** A timer of this process fired late, which shows that the process was paused. */
  | { readonly kind: 'timer-late'; readonly lateMs: Milliseconds }
  | { readonly kind: 'tick' };

/** Effects that a quota server's task performs. */
export type QuotaServerEffect =
  | { readonly kind: 'grant'; readonly peer: BackendServerName; readonly grant: Grant }
  | {
      readonly kind: 'send-lease-request';
      readonly seat: BackendServerName;
      readonly request: LeaseRequest;
    }
  | { readonly kind: 'send-lease'; readonly peer: BackendServerName; readonly lease: Lease }
  | Violation;

/** Messages to the quota cache, which holds an entry's grants. */
export type QuotaCacheMessage =
  | { readonly kind: 'configured'; readonly configuration: Configuration }
  /** A root request needs one token. */
  | { readonly kind: 'spend'; readonly requestId: RequestId; readonly account: AccountName }
  /** The caller cancelled before a token was available. */
  | { readonly kind: 'abandoned'; readonly requestId: RequestId }
  | { readonly kind: 'granted'; readonly seat: BackendServerName; readonly grant: Grant }
  /** The seat's quota server is unreachable, so outstanding draws get no grant. */
  | { readonly kind: 'seat-lost'; readonly seat: BackendServerName }
  /** The node stops; unspent tokens are returned. */
  | { readonly kind: 'stop' }
  | { readonly kind: 'tick' };

/** Effects that a quota cache's task performs. */
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
