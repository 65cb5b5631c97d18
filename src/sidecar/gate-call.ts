import type { MeshCall } from '../core/exchange/mesh-call.js';
import type { DispatchTask } from './dispatch-task.js';
import type { LinkResult } from './mesh-link.js';
import type { MeshTask } from './mesh-task.js';

/** A call that is with a gate. */
export interface GateCall {
  readonly result: Promise<LinkResult>;
  readonly cancel: () => void;
}

/**
 * Calls the gate of this node.
 *
 * @param gate - the gate
 * @param call - the call
 * @returns the call under way
 */
export function callOwnGate(gate: DispatchTask, call: MeshCall): GateCall {
  let ticket = 0;
  const result = new Promise<LinkResult>((resolve) => {
    ticket = gate.take(call, (reply) => resolve({ kind: 'replied', reply }));
  });
  return { result, cancel: () => gate.cancel(ticket) };
}

/**
 * Calls the gate of another node.
 *
 * @param mesh - the links to other nodes
 * @param address - peer address of the node
 * @param call - the call
 * @returns the call under way
 */
export function callPeerGate(mesh: MeshTask, address: string, call: MeshCall): GateCall {
  let isCancelled = false;
  let cancelSent = (): void => {};
  const start = async (): Promise<LinkResult> => {
    const link = mesh.findOpenLink(address) ?? (await mesh.findOrOpenLink(address));
    if (link === null || isCancelled) return { kind: 'unsent' };
    const { number, result } = link.call(call);
    cancelSent = () => link.cancel(number);
    return result;
  };
  return {
    result: start(),
    cancel: () => {
      isCancelled = true;
      cancelSent();
    },
  };
}
