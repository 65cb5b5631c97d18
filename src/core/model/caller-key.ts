import type { Caller } from './call.js';

/** Text form of a caller, for use as the key of a map. */
export type CallerKey = 'anonymous' | `account:${string}`;

/**
 * Builds the key of a caller. All anonymous callers share one key.
 *
 * @param caller - the caller
 * @returns its key
 */
export function callerKey(caller: Caller): CallerKey {
  switch (caller.kind) {
    case 'account':
      return `account:${caller.account}`;
    case 'anonymous':
      return 'anonymous';
  }
}
