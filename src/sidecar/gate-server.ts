import type { CallNumber, MeshFrame } from '../core/exchange/mesh-frame.js';
import type { TicketId } from '../core/dispatch/dispatch-state.js';
import type { DispatchTask } from './dispatch-task.js';
import type { MeshLink } from './mesh-link.js';

/** Takes calls that come over links to the gate, and cancels those whose caller is gone. */
export class GateServer {
  readonly #gate: DispatchTask;

  readonly #tickets = new Map<MeshLink, Map<CallNumber, TicketId>>();

  /**
   * @param gate - the gate of this node
   */
  constructor(gate: DispatchTask) {
    this.#gate = gate;
  }

  /**
   * Takes a call.
   *
   * @param link - link on which it came
   * @param frame - the call
   */
  call(link: MeshLink, { number, call }: Extract<MeshFrame, { readonly kind: 'call' }>): void {
    const tickets = this.#tickets.get(link) ?? new Map<CallNumber, TicketId>();
    this.#tickets.set(link, tickets);
    let isReplied = false;
    const ticket = this.#gate.submit(call, (reply) => {
      isReplied = true;
      tickets.delete(number);
      link.send({ kind: 'reply', number, reply });
    });
    // A refusal is replied before the number of the call is known.
    if (!isReplied) tickets.set(number, ticket);
  }

  /**
   * Gives up a call.
   *
   * @param link - link on which it came
   * @param number - its number there
   */
  cancel(link: MeshLink, number: CallNumber): void {
    const tickets = this.#tickets.get(link);
    const ticket = tickets?.get(number);
    if (ticket === undefined) return;
    tickets?.delete(number);
    this.#gate.cancel(ticket);
  }

  /**
   * Gives up all calls of a link that was lost.
   *
   * @param link - the link
   */
  cancelAll(link: MeshLink): void {
    this.#tickets.get(link)?.forEach((ticket) => this.#gate.cancel(ticket));
    this.#tickets.delete(link);
  }
}
