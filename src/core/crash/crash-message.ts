import type { CrashRecord } from '../model/crash-record.js';

/** Messages to the tracker of requests that crash backend servers. */
export type CrashMessage =
  /** The backend server crashed while requests with these fingerprints were running. */
  | { readonly kind: 'crashed'; readonly crashId: string; readonly fingerprints: readonly string[] }
  /** A call with the fingerprint ran to completion. */
  | { readonly kind: 'completed'; readonly fingerprint: string }
  | { readonly kind: 'records-received'; readonly marks: readonly CrashRecord[] }
  | { readonly kind: 'tick' };

/** Effects that the task of the tracker carries out. */
export type CrashEffect =
  /** Send crash records that are new to this node to its peers. */
  | { readonly kind: 'gossip-records'; readonly marks: readonly CrashRecord[] }
  /** Calls with the fingerprint are refused from now on. */
  | { readonly kind: 'quarantined'; readonly fingerprint: string };
