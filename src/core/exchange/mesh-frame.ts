import type { CrashRecord } from '../model/crash-record.js';
import type { Publication } from '../publications/publication.js';
import type { Total, Usage } from '../quota/usage.js';
import type { MeshCall, MeshReply } from './mesh-call.js';

/** Number of a call on its link. */
export type CallNumber = number;

/** How far a node knows the published values. */
export interface PublicationStatus {
  readonly revision: number;
  /** Whether the node cannot read the store itself at the moment. */
  readonly isStoreLost: boolean;
}

/** Changes of published values, as one node passes them on to another. */
export interface PublishedChanges {
  readonly changes: readonly Publication[];
  /** Revision up to which the changes are complete. */
  readonly revision: number;
  /** Whether the sender has read the store without a break for some seconds. */
  readonly isSettled: boolean;
}

/** What nodes send each other. */
export type MeshFrame =
  /** First frame on a link, from the node that opened it. */
  | { readonly kind: 'hello'; readonly node: string; readonly address: string }
  | { readonly kind: 'call'; readonly number: CallNumber; readonly call: MeshCall }
  | { readonly kind: 'cancel'; readonly number: CallNumber }
  | { readonly kind: 'reply'; readonly number: CallNumber; readonly reply: MeshReply }
  | ({ readonly kind: 'status' } & PublicationStatus)
  /** What a node that is behind lacks. */
  | ({ readonly kind: 'changes' } & PublishedChanges)
  /** The sender takes what the receiver reads in the store, and knows this revision. */
  | { readonly kind: 'follow'; readonly revision: number }
  /** What a reader has found in the store a moment ago, for its followers; often nothing new. */
  | ({ readonly kind: 'feed' } & PublishedChanges)
  /** The sender cannot read the store, so its followers get nothing. */
  | { readonly kind: 'feed-lost' }
  | { readonly kind: 'usage'; readonly usages: readonly Usage[] }
  | { readonly kind: 'totals'; readonly totals: readonly Total[] }
  | { readonly kind: 'marks'; readonly marks: readonly CrashRecord[] }
  /** The sender takes no new calls any more. */
  | { readonly kind: 'leaving' }
  | { readonly kind: 'ping' }
  | { readonly kind: 'pong' };
