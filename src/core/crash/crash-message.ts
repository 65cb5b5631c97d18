import type { CrashClearance, CrashRecord } from '../model/crash-record.js';

/** Messages to the tracker of requests that crash backend servers. */
export type CrashMessage =
  /**
   * The own backend server crashed while requests with these fingerprints were running. Several
   * messages may name one crash.
   */
  | { readonly kind: 'crashed'; readonly crashId: string; readonly fingerprints: readonly string[] }
  /** The own backend server ran a request with the fingerprint to its end. */
  | { readonly kind: 'completed'; readonly fingerprint: string }
  /** Any backend server ran a request with the fingerprint to its end. */
  | { readonly kind: 'completed-anywhere'; readonly fingerprint: string }
  | {
      readonly kind: 'records-received';
      readonly marks: readonly CrashRecord[];
      /** Left out by nodes of an earlier version. */
      readonly clearances?: readonly CrashClearance[] | undefined;
    }
  /** This node lets a quarantined request pass as a trial. */
  | { readonly kind: 'trial-started'; readonly fingerprint: string }
  | { readonly kind: 'tick' };

/** Effects that the task of the tracker carries out. */
export type CrashEffect =
  /** Send crash records that are new to this node to its peers. */
  | { readonly kind: 'gossip-records'; readonly marks: readonly CrashRecord[] }
  | { readonly kind: 'gossip-clearances'; readonly clearances: readonly CrashClearance[] }
  /** Calls with the fingerprint are refused from now on. */
  | { readonly kind: 'quarantined'; readonly fingerprint: string };

const CLIENT_RATE_EXCEEDED = 429;
const FIRST_SERVER_ERROR = 500;

/**
 * Checks whether an answer shows that the backend server ran the request to its end. A faulty or
 * busy server also answers requests that it has not begun to run.
 *
 * @param status - HTTP status of the answer
 * @returns whether the answer clears equal requests of earlier crashes
 */
export function isCompletion(status: number): boolean {
  return status < FIRST_SERVER_ERROR && status !== CLIENT_RATE_EXCEEDED;
}
