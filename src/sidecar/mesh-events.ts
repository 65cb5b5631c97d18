import type { CodeName, Details } from '../core/errors/registry.js';
import type { ControlPath } from './control-path.js';
import type { FrameRouter } from './frame-router.js';
import type { MeshEvent } from './mesh-task.js';
import type { PeerTable } from './peer-table.js';

/** Parts of a node that events of its links concern. */
export interface MeshEventOptions {
  readonly peers: PeerTable;
  readonly frameRouter: FrameRouter;
  readonly controlPath: ControlPath;
  readonly report: (code: CodeName, details: Details) => void;
}

/**
 * Passes an event of the links on to the parts of the node that it concerns.
 *
 * @param event - the event
 * @param options - the parts of the node
 */
export function handleMeshEvent(
  event: MeshEvent,
  { peers, frameRouter, controlPath, report }: MeshEventOptions,
): void {
  switch (event.kind) {
    case 'frame':
      frameRouter.routeFrame(event.frame, event.link);
      break;
    case 'call-dropped':
      frameRouter.refuseCall(event.link, event);
      break;
    case 'link-opened':
      peers.clearLeaving(event.address);
      frameRouter.sendCrashRecords(event.link);
      break;
    case 'link-lost':
      controlPath.feed.send({ kind: 'peer-lost', address: event.address });
      report('peerLost', { address: event.address, reason: event.reason });
      break;
    case 'frame-invalid':
      report('peerFrameInvalid', { peer: 'a peer', reason: event.reason });
      break;
    case 'calls-late':
      report('callsLate', frameRouter.describeLateCalls(event.late, event.link));
      break;
    case 'incoming-link-closed':
      frameRouter.removeLink(event.link);
      break;
  }
}
