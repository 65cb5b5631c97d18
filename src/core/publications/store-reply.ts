import type { Milliseconds } from '../model/time.js';
import type { Publication } from './publication.js';

/** Result of a call to the store of published values. */
export type StoreReply =
  /** All values as of a revision. */
  | {
      readonly kind: 'listing';
      readonly publications: readonly Publication[];
      readonly asOf: number;
    }
  | { readonly kind: 'changes'; readonly changes: readonly Publication[]; readonly asOf: number }
  /** The store no longer has the history after the requested revision. */
  | { readonly kind: 'history-lost' }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Client for reading published values from the store. */
export interface StoreReader {
  /** @returns all values */
  readonly list: () => Promise<StoreReply>;
  /**
   * @param after - last known revision
   * @param waitMs - maximum wait for a change, in milliseconds
   * @returns the changes after the revision, once there is one or the wait has ended
   */
  readonly watch: (after: number, waitMs: Milliseconds) => Promise<StoreReply>;
  /** Cancels the waiting call and closes its connection. */
  readonly cancel: () => void;
}
