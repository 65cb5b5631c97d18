import type { Call } from '../model/call.js';
import type { Subject } from './log-entry.js';

/**
 * Takes from a call what names it in a log line.
 *
 * @param call - the call
 * @returns its subject, without headers and body
 */
export function subjectOf({ requestId, rootId, caller, service }: Call): Subject {
  return { requestId, rootId, caller, service };
}
