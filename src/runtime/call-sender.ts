import type { Answer, Call } from '../core/model/call.js';
import type { BackendServerName, RequestId } from '../core/model/names.js';
import type { Attempt } from '../core/pipeline/next-attempt.js';
import type { GateTask } from './gate-task.js';
import type { LinkTable } from './link-table.js';
import type { MembershipTask } from './membership-task.js';

/** Dependencies of the call sender on its node. */
export interface CallSenderOptions {
  readonly node: BackendServerName;
  readonly links: LinkTable;
  readonly membership: MembershipTask;
  /** @returns the gate of this node, or null before the first configuration */
  readonly gate: () => GateTask | null;
}

/** Opening a link takes a few milliseconds; callers retry an order whose home is unreachable. */
const HOME_LINK_WAIT_MS = 300;

/** Sends calls to gates and orders to their homes, over a link or within the node. */
export class CallSender {
  readonly #options: CallSenderOptions;

  /**
   * @param options - links, membership and the gate of this node
   */
  constructor(options: CallSenderOptions) {
    this.#options = options;
  }

  /**
   * Sends a call to a gate and records the load that the answer reports.
   *
   * @param backendServer - backend server of the gate
   * @param call - the call
   * @returns the result of the attempt
   */
  async send(backendServer: BackendServerName, call: Call): Promise<Attempt> {
    const { node, links } = this.#options;
    const attempt = await (backendServer === node
      ? this.#sendLocally(call)
      : links.call(backendServer, call, null));
    this.#recordLoad(backendServer, attempt);
    return attempt;
  }

  /**
   * Sends an order to its home; opens a link first when there is none.
   *
   * @param home - the node that stores the outcome of the order
   * @param call - the call
   * @param orderId - identifier of the order
   * @returns the result of the attempt
   */
  async sendOrder(home: BackendServerName, call: Call, orderId: string): Promise<Attempt> {
    const { links, membership } = this.#options;
    if (!links.peers.includes(home)) {
      membership.send({ kind: 'link-requested', peer: home });
      await membership.waitForLink(home, HOME_LINK_WAIT_MS);
    }
    return links.call(home, call, orderId);
  }

  /**
   * Cancels an outstanding send at its gate.
   *
   * @param peer - backend server of the gate
   * @param sendId - identifier of the send
   */
  cancel(peer: BackendServerName, sendId: RequestId): void {
    const { node, gate, links } = this.#options;
    if (peer === node) gate()?.cancel(sendId);
    else links.cancel(peer, sendId);
  }

  #sendLocally(call: Call): Promise<Attempt> {
    const gate = this.#options.gate();
    if (gate === null) return Promise.resolve({ kind: 'unsent' });
    return new Promise((resolve) => {
      gate.admit(call, (answer: Answer) => resolve({ kind: 'replied', answer }));
    });
  }

  #recordLoad(peer: BackendServerName, attempt: Attempt): void {
    if (attempt.kind !== 'replied') return;
    const { membership } = this.#options;
    const { load, outcome } = attempt.answer;
    const refused = outcome.kind === 'refused';
    membership.send({ kind: 'frame-received', peer, isCallFrame: true });
    membership.send({ kind: 'load-received', peer, load, refused });
  }
}
