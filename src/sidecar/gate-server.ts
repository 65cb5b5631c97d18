import type { MeshCall } from '../core/exchange/mesh-call.js';
import type { CallNumber, MeshFrame } from '../core/exchange/mesh-frame.js';
import type { CallId } from '../core/dispatch/dispatch-state.js';
import type { DispatchTask } from './dispatch-task.js';
import type { MeshLink } from './mesh-link.js';

/** A call that was dropped as it arrived, with its number on its link. */
export interface DroppedCall {
  readonly number: CallNumber;
  /** The call without its body. */
  readonly call: MeshCall;
}

/** Submits calls from other nodes to the gate, and cancels those of lost links. */
export class GateServer {
  readonly #gate: DispatchTask;

  readonly #callIds = new Map<MeshLink, Map<CallNumber, CallId>>();

  /**
   * @param gate - the gate of this node
   */
  constructor(gate: DispatchTask) {
    this.#gate = gate;
  }

  /**
   * Submits a call to the gate and sends its reply over the same link.
   *
   * @param link - link on which the call arrived
   * @param frame - frame with the call
   */
  call(link: MeshLink, { number, call }: Extract<MeshFrame, { readonly kind: 'call' }>): void {
    const callIds = this.#callIds.get(link) ?? new Map<CallNumber, CallId>();
    this.#callIds.set(link, callIds);
    let isReplied = false;
    const callId = this.#gate.submit(call, (reply) => {
      isReplied = true;
      callIds.delete(number);
      link.send({ kind: 'reply', number, reply });
    });
    // The gate may reply to a refused call before `submit` returns its identifier.
    if (!isReplied) callIds.set(number, callId);
  }

  /**
   * Refuses a call that was dropped as it arrived.
   *
   * @param link - link on which the call arrived
   * @param dropped - the call and its number
   */
  refuse(link: MeshLink, { number, call }: DroppedCall): void {
    this.#gate.refuse(call, 'overloaded', (reply) => {
      link.send({ kind: 'reply', number, reply });
    });
  }

  /**
   * Cancels a call.
   *
   * @param link - link on which the call arrived
   * @param number - number of the call on this link
   */
  cancel(link: MeshLink, number: CallNumber): void {
    const callIds = this.#callIds.get(link);
    const callId = callIds?.get(number);
    if (callId === undefined) return;
    callIds?.delete(number);
    this.#gate.cancel(callId);
  }

  /**
   * Cancels all calls of a lost link.
   *
   * @param link - the lost link
   */
  cancelAll(link: MeshLink): void {
    this.#callIds.get(link)?.forEach((callId) => this.#gate.cancel(callId));
    this.#callIds.delete(link);
  }
}
