/** What the tracker knows against a request. */
export type Suspicion =
  /** No equal request ran at a recent crash, or one has run to its end since. */
  | { readonly kind: 'none' }
  /** An equal request ran at a crash, which does not suffice to refuse this one. */
  | { readonly kind: 'suspected'; readonly fingerprint: string }
  /** Equal requests ran at several crashes, and none has run to its end since. */
  | { readonly kind: 'quarantined' }
  /** One quarantined request may run, to find out whether it is harmless. */
  | { readonly kind: 'trial-due'; readonly fingerprint: string };
