import { err, type Result } from 'neverthrow';
import type { Call } from '../model/call.js';
import type { RequestId } from '../model/names.js';
import type { Inheritance } from '../retry/run-message.js';
import { buildCall } from './build-call.js';
import { refusal, type Classified, type Prepared, type Refusal } from './request-stages.js';

/** What the admission of deeper calls needs to ask of the node. */
export interface NestedView {
  readonly isQuarantined: (fingerprint: string) => boolean;
  /** Registers a deeper call with the running call that makes it. */
  readonly inherit: (child: {
    readonly parentId: RequestId;
    readonly childId: RequestId;
    readonly fingerprint: string;
  }) => Result<Inheritance, Refusal>;
}

function nestedCall(request: Classified, inheritance: Inheritance): Call {
  const { rootId, rootHash, caller, importance, depth, retries } = inheritance;
  const deadline = Math.min(inheritance.deadline, request.receivedAt + request.route.deadlineMs);
  // The whole call tree has the importance of its root, so that it shares one fate.
  return buildCall(request, { rootId, rootHash, caller, importance, depth, retries, deadline });
}

/**
 * Builds the filter that admits deeper calls. They spend nothing of the account's rate, since
 * their root request has done so, and they take their retries from the running call.
 *
 * @param view - what the filter reads and asks of the node
 * @returns the filter
 */
export function admitNested(view: NestedView) {
  return (request: Classified): Result<Prepared, Refusal> => {
    const { origin, requestId, fingerprint } = request;
    if (origin.kind === 'root') return err(refusal('contextInvalid'));
    if (view.isQuarantined(fingerprint)) return err(refusal('quarantined'));
    return view
      .inherit({ parentId: origin.parentId, childId: requestId, fingerprint })
      .map((inheritance) => ({
        call: nestedCall(request, inheritance),
        origin,
        orderId: request.credentials.orderId,
        isRepeat: false,
      }));
  };
}
