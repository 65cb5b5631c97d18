import type { Milliseconds } from '../model/time.js';
import type { Publication } from './publication.js';

/** What a call to the store of published values came to. */
export type StoreReply =
  /** All values, complete as of a revision. */
  | {
      readonly kind: 'listing';
      readonly publications: readonly Publication[];
      readonly asOf: number;
    }
  | { readonly kind: 'changes'; readonly changes: readonly Publication[]; readonly asOf: number }
  /** The store has dropped the history after the revision that was asked for. */
  | { readonly kind: 'history-lost' }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Reader of published values. */
export interface StoreReader {
  /** @returns all values */
  readonly list: () => Promise<StoreReply>;
  /**
   * @param after - revision that is known
   * @param waitMs - longest wait for a change, in milliseconds
   * @returns the changes after it, as soon as there is one or after a wait
   */
  readonly watch: (after: number, waitMs: Milliseconds) => Promise<StoreReply>;
  /** Gives up the call that waits, and its connection. */
  readonly cancel: () => void;
}
