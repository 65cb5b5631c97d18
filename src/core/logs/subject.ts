import type { Call } from '../model/call.js';
import type { Subject } from './log-entry.js';

/**
 * Extracts the fields of a call that identify it in a log entry.
 *
 * @param call - the call
 * @returns the subject; headers and body are never logged
 */
export function subjectOf({ requestId, rootId, caller, service }: Call): Subject {
  return { requestId, rootId, caller, service };
}
