import type { CrashRecord } from '../model/crash-record.js';

/** Messages to the watch for requests that crash backend servers. */
export type CrashMessage =
  /** The backend server crashed while these fingerprints ran. */
  | { readonly kind: 'crashed'; readonly crashId: string; readonly fingerprints: readonly string[] }
  /** A call with the fingerprint ran to its end. */
  | { readonly kind: 'completed'; readonly fingerprint: string }
  | { readonly kind: 'marks-received'; readonly marks: readonly CrashRecord[] }
  | { readonly kind: 'tick' };

/** What the watch asks its task to do. */
export type CrashEffect =
  /** Send marks that are new here to the neighbours. */
  | { readonly kind: 'spread-marks'; readonly marks: readonly CrashRecord[] }
  /** A fingerprint is refused from now on. */
  | { readonly kind: 'quarantined'; readonly fingerprint: string };
