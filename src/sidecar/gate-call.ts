import { afterDelay, type MeshCall } from '../core/exchange/mesh-call.js';
import type { Clock } from '../core/model/time.js';
import type { DispatchTask } from './dispatch-task.js';
import type { LinkResult } from './mesh-link.js';
import type { MeshTask } from './mesh-task.js';

/** A call in flight at a gate. */
export interface GateCall {
  readonly result: Promise<LinkResult>;
  /** Cancels the call, and returns whether it certainly has not run and will not run. */
  readonly cancel: () => boolean;
}

/**
 * Submits a call to the gate of this node.
 *
 * @param gate - the gate
 * @param call - the call
 * @returns the call in flight
 */
export function callOwnGate(gate: DispatchTask, call: MeshCall): GateCall {
  let callId = 0;
  const result = new Promise<LinkResult>((resolve) => {
    callId = gate.submit(call, (reply) => resolve({ kind: 'replied', reply }));
  });
  return { result, cancel: () => gate.cancel(callId) };
}

/** The links to other nodes, and the clock of this one. */
export interface PeerGateOptions {
  readonly mesh: MeshTask;
  readonly clock: Clock;
}

/**
 * Sends a call to the gate of another node.
 *
 * @param options - the links and the clock
 * @param address - peer address of the node
 * @param call - the call
 * @returns the call in flight
 */
export function callPeerGate(
  { mesh, clock }: PeerGateOptions,
  address: string,
  call: MeshCall,
): GateCall {
  const builtAt = clock.now();
  let isCancelled = false;
  let isSent = false;
  let cancelOnLink = (): void => {};
  const start = async (): Promise<LinkResult> => {
    const link = mesh.findOpenLink(address) ?? (await mesh.findOrOpenLink(address));
    if (link === null || isCancelled) return { kind: 'unsent' };
    isSent = true;
    const { number, result } = link.call(afterDelay(call, clock.now() - builtAt));
    cancelOnLink = () => link.cancel(number);
    return result;
  };
  return {
    result: start(),
    cancel: () => {
      isCancelled = true;
      cancelOnLink();
      return !isSent;
    },
  };
}
