import type { Instance } from '../directory/instance.js';
import type { ZoneName } from '../model/names.js';
import type { Policy } from '../policy/policy.js';

/** A published value before decoding; its text is null when the value was removed. */
export interface Publication {
  readonly key: string;
  /** Revision of the last change; a higher revision replaces a lower one. */
  readonly revision: number;
  readonly text: string | null;
}

/** A decoded published value. */
export type PublishedValue =
  | { readonly kind: 'policy'; readonly policy: Policy }
  | { readonly kind: 'instance'; readonly instance: Instance }
  | { readonly kind: 'zone-out'; readonly zone: ZoneName };
