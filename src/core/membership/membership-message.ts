import type { Zone } from '../model/configuration.js';
import type { Host } from '../model/host.js';
import type { Load } from '../model/load.js';
import type { BackendServerName, ServiceName, ZoneName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** State of the link to a peer as this node sees it. */
export type LinkState = 'closed' | 'connecting' | 'open';

/** Messages to the membership of a node. */
export type MembershipMessage =
  | { readonly kind: 'zones-configured'; readonly zones: readonly Zone[] }
  /** The list of one zone, which lags. */
  | { readonly kind: 'hosts-listed'; readonly zone: ZoneName; readonly hosts: readonly Host[] }
  | {
      readonly kind: 'link-opened';
      readonly peer: BackendServerName;
      /** Address that this node connected to; it settles a seed whose name was unknown. */
      readonly address?: string;
    }
  | { readonly kind: 'link-closed'; readonly peer: BackendServerName }
  /** A frame came from the peer. */
  | {
      readonly kind: 'frame-received';
      readonly peer: BackendServerName;
      /** True for calls and answers, which keep a link from being closed as idle. */
      readonly isCallFrame?: boolean;
    }
  /** The peer said that it takes no new work for a while. */
  | {
      readonly kind: 'peer-leaving';
      readonly peer: BackendServerName;
      readonly forMs: Milliseconds;
    }
  /** An answer or a refusal told the load of a gate. */
  | {
      readonly kind: 'load-received';
      readonly peer: BackendServerName;
      readonly load: Load;
      readonly refused: boolean;
    }
  /** Calls to the service need candidates at this node. */
  | { readonly kind: 'service-wanted'; readonly service: ServiceName }
  /** Seats to which links are kept open ahead of need. */
  | { readonly kind: 'seats-wanted'; readonly seats: readonly BackendServerName[] }
  /** A message to the peer is due: it remembers an order or holds credit. */
  | { readonly kind: 'peer-wanted'; readonly peer: BackendServerName }
  | { readonly kind: 'tick' };

/** What membership asks its task to do. */
export type MembershipEffect =
  | {
      readonly kind: 'connect';
      readonly peer: BackendServerName;
      readonly address: string;
    }
  | { readonly kind: 'disconnect'; readonly peer: BackendServerName }
  | { readonly kind: 'neighbours-changed'; readonly neighbours: readonly BackendServerName[] }
  | { readonly kind: 'hosts-changed'; readonly hosts: readonly Host[] };

/** A backend server that a call may be sent to, as seen by this node. */
export interface Candidate {
  readonly backendServer: BackendServerName;
  readonly zone: ZoneName;
  readonly region: string;
  /** Last load told by the gate; null when it has told none. */
  readonly load: Load | null;
  /** Instant of the last refusal; null when there was none. */
  readonly refusedAt: Instant | null;
}
