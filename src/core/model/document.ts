/** Topic of a published value: the configuration, or the host list of one zone (`hosts/ZONE`). */
export type Topic = 'configuration' | `hosts/${string}`;

/** A version of a published value, with its entries; applied as a whole. */
export interface Document {
  readonly topic: Topic;
  readonly version: number;
  /** SHA-256 in hex over the sorted entries. */
  readonly digest: string;
  /** Canonical JSON text by key, for example `accounts/workshop-paisley`. */
  readonly entries: ReadonlyMap<string, string>;
}

/** Version and digest of a document, without its entries. */
export interface DocumentHead {
  readonly topic: Topic;
  readonly version: number;
  readonly digest: string;
}

/** The difference between two versions of a document. */
export interface Delta {
  readonly topic: Topic;
  readonly fromDigest: string;
  readonly version: number;
  /** Digest after the delta has been applied. */
  readonly digest: string;
  readonly changed: ReadonlyMap<string, string>;
  readonly removed: readonly string[];
}
