import { err, type Result } from 'neverthrow';
import type { Suspicion } from '../crash/suspicion.js';
import type { Call } from '../model/call.js';
import type { RequestId } from '../model/names.js';
import type { Inheritance } from '../retry/run-message.js';
import { buildCall } from './build-call.js';
import { refusal, type Classified, type Prepared, type Refusal } from './request-stages.js';

/** State and operations of the node that the admission of nested calls uses. */
export interface NestedView {
  /** Checks whether equal requests crashed backend servers; one may pass as a trial. */
  readonly checkCrashes: (fingerprint: string) => Suspicion;
  /** Registers a nested call with the running call that makes it. */
  readonly inherit: (child: {
    readonly parentId: RequestId;
    readonly childId: RequestId;
    readonly fingerprint: string;
  }) => Result<Inheritance, Refusal>;
}

function buildNestedCall(request: Classified, inheritance: Inheritance): Call {
  const { rootId, rootHash, caller, importance, depth, retries } = inheritance;
  const deadline = Math.min(inheritance.deadline, request.receivedAt + request.route.deadlineMs);
  // The whole call tree has the importance of its root, so that all its calls rank equally.
  return buildCall(request, { rootId, rootHash, caller, importance, depth, retries, deadline });
}

/**
 * Builds the filter that admits nested calls. They take no token of the account's rate, since their
 * root request has already taken one, and they take their retries from the running call.
 *
 * @param view - state and operations of the node
 * @returns the filter
 */
export function admitNested(view: NestedView) {
  return (request: Classified): Result<Prepared, Refusal> => {
    const { origin, requestId, fingerprint } = request;
    if (origin.kind === 'root') return err(refusal('contextInvalid'));
    if (view.checkCrashes(fingerprint).kind === 'quarantined') {
      return err(refusal('quarantined'));
    }
    return view
      .inherit({ parentId: origin.parentId, childId: requestId, fingerprint })
      .map((inheritance) => ({
        call: buildNestedCall(request, inheritance),
        origin,
        orderId: request.credentials.orderId,
        isRepeat: false,
      }));
  };
}
