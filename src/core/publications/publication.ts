import type { Instance } from '../directory/instance.js';
import type { ZoneName } from '../model/names.js';
import type { Policy } from '../policy/policy.js';

/** One published value as it was read, before it is decoded; null when it was removed. */
export interface Publication {
  readonly key: string;
  /** Revision of its last change; a higher one replaces a lower one. */
  readonly revision: number;
  readonly text: string | null;
}

/** What a published value says. */
export type PublishedValue =
  | { readonly kind: 'policy'; readonly policy: Policy }
  | { readonly kind: 'instance'; readonly instance: Instance }
  | { readonly kind: 'zone-out'; readonly zone: ZoneName };
