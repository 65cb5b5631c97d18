import type { CrashClearance, CrashRecord } from '../model/crash-record.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { PublishedChanges } from '../publications/published-view.js';
import type { Total, Usage } from '../quota/usage.js';
import type { NodeRouteReport, SharedRouteLoad } from '../shedding/load-exchange.js';
import type { MeshCall, MeshReply } from './mesh-call.js';

/** Number that identifies a call on its link. */
export type CallNumber = number;

/** State of the published values at a node. */
export interface PublicationStatus {
  readonly revision: number;
  /** Whether the node cannot read the store at the moment. */
  readonly isStoreLost: boolean;
}

/** Frame whose body is so large that a node without room for it drops the frame as it arrives. */
export type BodyFrame =
  | {
      readonly kind: 'call';
      readonly number: CallNumber;
      readonly sentAt?: Instant | undefined;
      readonly call: MeshCall;
    }
  | { readonly kind: 'reply'; readonly number: CallNumber; readonly reply: MeshReply };

/**
 * Frames that nodes exchange over a link. Each `sentAt` is on the clock of the sender; nodes of an
 * earlier version leave it out.
 */
export type MeshFrame =
  /** First frame on a link, sent by the node that opened it. */
  | {
      readonly kind: 'hello';
      readonly node: string;
      readonly address: string;
      readonly sentAt?: Instant | undefined;
    }
  | BodyFrame
  | { readonly kind: 'cancel'; readonly number: CallNumber }
  | ({
      readonly kind: 'status';
      /** Whether the sender asks for how long the store has answered the receiver. */
      readonly asksUnbroken?: boolean | undefined;
      /** That time of the sender, in the reply. */
      readonly unbrokenMs?: Milliseconds | undefined;
    } & PublicationStatus)
  /** Changes that the receiver is missing. */
  | ({ readonly kind: 'changes' } & PublishedChanges)
  /** The sender follows the receiver's reads of the store, starting after this revision. */
  | { readonly kind: 'follow'; readonly revision: number }
  /** Result of the latest read of the store, sent to followers even without changes. */
  | ({
      readonly kind: 'feed';
      /** Time since that read; left out by nodes of an earlier version. */
      readonly ageMs?: Milliseconds | undefined;
    } & PublishedChanges)
  /** The sender cannot read the store, so it sends its followers no more feeds. */
  | { readonly kind: 'feed-lost' }
  | {
      readonly kind: 'usage';
      readonly usages: readonly Usage[];
      /** Loads of the sender's routes, for the node that adds them up. */
      readonly loads?: readonly NodeRouteReport[] | undefined;
    }
  | {
      readonly kind: 'totals';
      readonly totals: readonly Total[];
      /** Loads over all nodes. */
      readonly loads?: readonly SharedRouteLoad[] | undefined;
    }
  | {
      readonly kind: 'marks';
      readonly marks: readonly CrashRecord[];
      readonly clearances?: readonly CrashClearance[] | undefined;
    }
  /** The sender no longer accepts new calls. */
  | { readonly kind: 'leaving' }
  | { readonly kind: 'ping'; readonly sentAt?: Instant | undefined }
  /** Echo of a ping, behind all that the sender had to send when it read the ping. */
  | {
      readonly kind: 'pong';
      readonly pingSentAt?: Instant | undefined;
      readonly sentAt?: Instant | undefined;
      /**
       * The next frame, without its body. It is announced by an echo of no ping, which nodes of an
       * earlier version ignore.
       */
      readonly announced?: BodyFrame | undefined;
    };
