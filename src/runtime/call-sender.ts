import type { Answer, Call } from '../core/model/call.js';
import type { BackendServerName, RequestId } from '../core/model/names.js';
import type { Attempt } from '../core/pipeline/next-attempt.js';
import type { GateTask } from './gate-task.js';
import type { LinkTable } from './link-table.js';
import type { MembershipTask } from './membership-task.js';

/** What sending calls needs of the node. */
export interface CallSenderOptions {
  readonly node: BackendServerName;
  readonly links: LinkTable;
  readonly membership: MembershipTask;
  /** @returns the own gate, or null before the first configuration */
  readonly gate: () => GateTask | null;
}

/** A new link takes a few milliseconds; callers repeat an order whose home cannot be reached. */
const HOME_LINK_WAIT_MS = 300;

/** Hands calls to gates and to homes of orders, over a link or within the node. */
export class CallSender {
  readonly #options: CallSenderOptions;

  /**
   * @param options - links, membership and the own gate
   */
  constructor(options: CallSenderOptions) {
    this.#options = options;
  }

  /**
   * Sends a call to a gate and learns its load from the answer.
   *
   * @param backendServer - backend server of the gate
   * @param call - the call
   * @returns what became of the call
   */
  async send(backendServer: BackendServerName, call: Call): Promise<Attempt> {
    const { node, links } = this.#options;
    const attempt = await (backendServer === node
      ? this.#sendHere(call)
      : links.call(backendServer, call, null));
    this.#learnLoad(backendServer, attempt);
    return attempt;
  }

  /**
   * Sends an order to its home, after opening a link when there is none.
   *
   * @param home - the node that remembers the order
   * @param call - the call
   * @param orderId - identifier of the order
   * @returns what became of the call
   */
  async sendHome(home: BackendServerName, call: Call, orderId: string): Promise<Attempt> {
    const { links, membership } = this.#options;
    if (!links.peers.includes(home)) {
      membership.send({ kind: 'peer-wanted', peer: home });
      await membership.waitForLink(home, HOME_LINK_WAIT_MS);
    }
    return links.call(home, call, orderId);
  }

  /**
   * Cancels a send at the gate that holds it.
   *
   * @param peer - backend server of the gate
   * @param sendId - identifier of the send
   */
  cancel(peer: BackendServerName, sendId: RequestId): void {
    const { node, gate, links } = this.#options;
    if (peer === node) gate()?.cancel(sendId);
    else links.cancel(peer, sendId);
  }

  #sendHere(call: Call): Promise<Attempt> {
    const gate = this.#options.gate();
    if (gate === null) return Promise.resolve({ kind: 'unsent' });
    return new Promise((resolve) => {
      gate.admit(call, (answer: Answer) => resolve({ kind: 'replied', answer }));
    });
  }

  #learnLoad(peer: BackendServerName, attempt: Attempt): void {
    if (attempt.kind !== 'replied') return;
    const { membership } = this.#options;
    const { load, outcome } = attempt.answer;
    const refused = outcome.kind === 'refused';
    membership.send({ kind: 'frame-received', peer, isUse: true });
    membership.send({ kind: 'load-told', peer, load, refused });
  }
}
