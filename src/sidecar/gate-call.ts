import { afterDelay, type MeshCall } from '../core/exchange/mesh-call.js';
import type { Clock } from '../core/model/time.js';
import type { DispatchTask } from './dispatch-task.js';
import type { LinkResult, MeshLink } from './mesh-link.js';
import type { MeshTask } from './mesh-task.js';

/** A call in flight at a gate. */
export interface GateCall {
  /** Cancels the call, and returns whether it certainly has not run and will not run. */
  readonly cancel: () => boolean;
}

/** Takes the result of a call; called once, unless the call is cancelled before. */
export type ResultHandler = (result: LinkResult) => void;

/**
 * Submits a call to the gate of this node.
 *
 * @param gate - the gate
 * @param call - the call
 * @param receive - takes the result, at once when the gate refuses the call
 * @returns the call in flight
 */
export function callOwnGate(gate: DispatchTask, call: MeshCall, receive: ResultHandler): GateCall {
  const callId = gate.submit(call, (reply) => receive({ kind: 'replied', reply }));
  return { cancel: () => gate.cancel(callId) };
}

/** The links to other nodes, and the clock of this one. */
export interface PeerGateOptions {
  readonly mesh: MeshTask;
  readonly clock: Clock;
}

function callOverLink(link: MeshLink, call: MeshCall, receive: ResultHandler): GateCall {
  const number = link.call(call, receive);
  return {
    cancel: () => {
      link.cancel(number);
      return false;
    },
  };
}

/** Opens a link for a call, which may be cancelled meanwhile. */
function callOverNewLink(
  { mesh, clock }: PeerGateOptions,
  address: string,
  call: MeshCall,
  receive: ResultHandler,
): GateCall {
  const builtAt = clock.now();
  let isCancelled = false;
  let sent: GateCall | null = null;
  const send = (link: MeshLink | null): void => {
    if (isCancelled) return;
    if (link === null) receive({ kind: 'unsent' });
    else sent = callOverLink(link, afterDelay(call, clock.now() - builtAt), receive);
  };
  void mesh.findOrOpenLink(address).then(send);
  return {
    cancel: () => {
      isCancelled = true;
      return sent === null || sent.cancel();
    },
  };
}

/**
 * Sends a call to the gate of another node.
 *
 * @param options - the links and the clock
 * @param address - peer address of the node
 * @param call - the call
 * @param receive - takes the result
 * @returns the call in flight
 */
export function callPeerGate(
  options: PeerGateOptions,
  address: string,
  call: MeshCall,
  receive: ResultHandler,
): GateCall {
  const link = options.mesh.findOpenLink(address);
  return link === null
    ? callOverNewLink(options, address, call, receive)
    : callOverLink(link, call, receive);
}
