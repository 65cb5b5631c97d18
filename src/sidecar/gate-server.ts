import type { CallNumber, MeshFrame } from '../core/exchange/mesh-frame.js';
import type { CallId } from '../core/dispatch/dispatch-state.js';
import type { DispatchTask } from './dispatch-task.js';
import type { MeshLink } from './mesh-link.js';

/** Submits calls from other nodes to the gate, and cancels those of lost links. */
export class GateServer {
  readonly #gate: DispatchTask;

  readonly #tickets = new Map<MeshLink, Map<CallNumber, CallId>>();

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
    const tickets = this.#tickets.get(link) ?? new Map<CallNumber, CallId>();
    this.#tickets.set(link, tickets);
    let isReplied = false;
    const ticket = this.#gate.submit(call, (reply) => {
      isReplied = true;
      tickets.delete(number);
      link.send({ kind: 'reply', number, reply });
    });
    // The gate may reply to a refused call before `submit` returns its number.
    if (!isReplied) tickets.set(number, ticket);
  }

  /**
   * Cancels a call.
   *
   * @param link - link on which the call arrived
   * @param number - number of the call on this link
   */
  cancel(link: MeshLink, number: CallNumber): void {
    const tickets = this.#tickets.get(link);
    const ticket = tickets?.get(number);
    if (ticket === undefined) return;
    tickets?.delete(number);
    this.#gate.cancel(ticket);
  }

  /**
   * Cancels all calls of a lost link.
   *
   * @param link - the lost link
   */
  cancelAll(link: MeshLink): void {
    this.#tickets.get(link)?.forEach((ticket) => this.#gate.cancel(ticket));
    this.#tickets.delete(link);
  }
}
