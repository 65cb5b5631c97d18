import type { Fault } from '../errors/fault.js';
import type { Delta, Document, DocumentHead, Topic } from '../model/document.js';
import type { Host } from '../model/host.js';
import type { BackendServerName } from '../model/names.js';
import type { PeerMessage } from '../model/peer-message.js';
import type { Milliseconds } from '../model/time.js';
import type { Violation } from '../promises/violation.js';

/** Messages to the gossip task of a node. */
export type GossipMessage =
  | { readonly kind: 'service-value'; readonly document: Document }
  /** A read or watch of the configuration service ended without a newer value. */
  | { readonly kind: 'service-unchanged'; readonly topic: Topic }
  | { readonly kind: 'service-failed'; readonly topic: Topic }
  /** A peer reported the heads of its documents in an announcement or a heartbeat. */
  | {
      readonly kind: 'heads-received';
      readonly peer: BackendServerName;
      readonly heads: readonly DocumentHead[];
      readonly serviceAgeMs: Milliseconds;
    }
  | {
      readonly kind: 'pull-received';
      readonly peer: BackendServerName;
      readonly topic: Topic;
      readonly haveDigest: string | null;
    }
  | { readonly kind: 'delta-received'; readonly peer: BackendServerName; readonly delta: Delta }
  | {
      readonly kind: 'document-received';
      readonly peer: BackendServerName;
      readonly document: Document;
    }
  | { readonly kind: 'neighbours-changed'; readonly neighbours: readonly BackendServerName[] }
  | { readonly kind: 'hosts-changed'; readonly hosts: readonly Host[] }
  | { readonly kind: 'tick' };

/** Effects that the gossip task performs. */
export type GossipEffect =
  | { readonly kind: 'read-service'; readonly topic: Topic }
  | { readonly kind: 'watch-service'; readonly topic: Topic; readonly after: number }
  | { readonly kind: 'send'; readonly peer: BackendServerName; readonly message: PeerMessage }
  /** The document passed its check and is now in force. */
  | { readonly kind: 'apply'; readonly document: Document }
  | { readonly kind: 'rejected'; readonly head: DocumentHead; readonly faults: readonly Fault[] }
  | { readonly kind: 'ignored-older'; readonly head: DocumentHead }
  /** The requests sent at the start are answered or have timed out; the node may serve. */
  | { readonly kind: 'ready' }
  | Violation;
