import type { Zone } from '../model/configuration.js';
import type { Host } from '../model/host.js';
import type { Load } from '../model/load.js';
import type { BackendServerName, ServiceName, ZoneName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** State of the link to a peer, as observed by this node. */
export type LinkState = 'closed' | 'connecting' | 'open';

/** Messages to the membership task of a node. */
export type MembershipMessage =
  | { readonly kind: 'zones-configured'; readonly zones: readonly Zone[] }
  /** Host list of one zone; it can lag behind the actual hosts. */
  | { readonly kind: 'hosts-listed'; readonly zone: ZoneName; readonly hosts: readonly Host[] }
  | {
      readonly kind: 'link-opened';
      readonly peer: BackendServerName;
      /** Address that this node connected to; it resolves a seed whose name was unknown. */
      readonly address?: string;
    }
  | { readonly kind: 'link-closed'; readonly peer: BackendServerName }
  | {
      readonly kind: 'frame-received';
      readonly peer: BackendServerName;
      /** True for calls and answers, which keep a link from being closed as idle. */
      readonly isCallFrame?: boolean;
    }
  /** The peer announced that it accepts no new work for `forMs`. */
  | {
      readonly kind: 'peer-leaving';
      readonly peer: BackendServerName;
      readonly forMs: Milliseconds;
    }
  /** An answer or a refusal carried the load of the peer's gate. */
  | {
      readonly kind: 'load-received';
      readonly peer: BackendServerName;
      readonly load: Load;
      readonly refused: boolean;
    }
  /** This node sends calls to the service and needs candidates for them. */
  | { readonly kind: 'service-used'; readonly service: ServiceName }
  /** Quota servers of these seats to which links are kept open before a draw is sent. */
  | { readonly kind: 'seat-links-requested'; readonly seats: readonly BackendServerName[] }
  /** A message to the peer is due, because it stores an order or runs a quota server. */
  | { readonly kind: 'link-requested'; readonly peer: BackendServerName }
  | { readonly kind: 'tick' };

/** Effects that the membership task performs. */
export type MembershipEffect =
  | {
      readonly kind: 'connect';
      readonly peer: BackendServerName;
      readonly address: string;
    }
  | { readonly kind: 'disconnect'; readonly peer: BackendServerName }
  | { readonly kind: 'neighbours-changed'; readonly neighbours: readonly BackendServerName[] }
  | { readonly kind: 'hosts-changed'; readonly hosts: readonly Host[] };

/** Backend server to which this node may send a call. */
export interface Candidate {
  readonly backendServer: BackendServerName;
  readonly zone: ZoneName;
  readonly region: string;
  /** Last load reported by the gate; null when none is known. */
  readonly load: Load | null;
  /** Instant of the last refusal; null without a refusal. */
  readonly refusedAt: Instant | null;
}
