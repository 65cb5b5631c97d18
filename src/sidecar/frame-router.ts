import type { Details } from '../core/errors/registry.js';
import type { MeshFrame } from '../core/exchange/mesh-frame.js';
import type { CrashTask } from '../runtime/crash-task.js';
import type { ChangeFeedTask } from './change-feed-task.js';
import type { DroppedCall, GateServer } from './gate-server.js';
import type { LoadExchangeTask } from './load-exchange-task.js';
import type { LateCalls } from './late-call-filter.js';
import type { MeshLink } from './mesh-link.js';
import type { PeerTable } from './peer-table.js';
import type { PublicationTask } from './publication-task.js';
import type { QuotaTask } from './quota-task.js';

/** Tasks that receive frames from other nodes. */
export interface FrameRouterOptions {
  readonly peers: PeerTable;
  readonly gate: GateServer;
  readonly publications: PublicationTask;
  readonly feed: ChangeFeedTask;
  readonly quota: QuotaTask;
  readonly loads: LoadExchangeTask;
  readonly crashes: CrashTask;
  /** @returns the address of the peer, or null when this node did not open the link */
  readonly addressOf: (link: MeshLink) => string | null;
}

/** Routes each received frame to the task that handles its kind. */
export class FrameRouter {
  readonly #options: FrameRouterOptions;

  /** Addresses of the peers that opened links to this node, from their `hello` frames. */
  readonly #incomingAddresses = new Map<MeshLink, string>();

  /**
   * @param options - the receiving tasks
   */
  constructor(options: FrameRouterOptions) {
    this.#options = options;
  }

  /**
   * Removes a closed link that a peer had opened, and cancels its calls at the gate.
   *
   * @param link - the closed link
   */
  removeLink(link: MeshLink): void {
    this.#incomingAddresses.delete(link);
    this.#options.gate.cancelAll(link);
  }

  /**
   * Routes a received frame.
   *
   * @param frame - the frame
   * @param link - the link that received the frame
   */
  routeFrame(frame: MeshFrame, link: MeshLink): void {
    const { peers, gate, publications, feed, quota, loads, crashes } = this.#options;
    switch (frame.kind) {
      case 'hello':
        this.#incomingAddresses.set(link, frame.address);
        peers.clearLeaving(frame.address);
        this.sendCrashRecords(link);
        break;
      case 'call':
        gate.call(link, frame);
        break;
      case 'cancel':
        gate.cancel(link, frame.number);
        break;
      case 'status':
        this.#answerStatus(link, frame);
        break;
      case 'changes':
        publications.send({ ...frame, kind: 'peer-changes' });
        break;
      case 'follow':
      case 'feed':
      case 'feed-lost':
        feed.send({ kind: 'frame', frame, link, from: this.#addressOf(link) });
        break;
      case 'usage':
        this.#answerUsage(frame, link);
        break;
      case 'totals':
        if (frame.loads !== undefined) loads.applyLoads(frame.loads);
        // Loads come without totals, which would count as the answer to a report of usage.
        if (frame.loads === undefined || frame.totals.length > 0) quota.send(frame);
        break;
      case 'marks':
        crashes.send({ ...frame, kind: 'records-received' });
        break;
      case 'leaving': {
        const address = this.#addressOf(link);
        if (address !== null) peers.markLeaving(address);
        break;
      }
      // The link handles these frames itself.
      case 'reply':
      case 'ping':
      case 'pong':
        break;
    }
  }

  /**
   * Sends the crash records of this node over a new link, whichever end opened it. A peer that has
   * just started, or was not linked at a crash, would run the request that crashes servers again.
   *
   * @param link - the new link
   */
  sendCrashRecords(link: MeshLink): void {
    const marks = this.#options.crashes.listRecords();
    if (marks.length > 0) link.send({ kind: 'marks', marks });
  }

  /**
   * Refuses a call that was dropped as it arrived.
   *
   * @param link - the link that received the call
   * @param dropped - the call and its number
   */
  refuseCall(link: MeshLink, dropped: DroppedCall): void {
    this.#options.gate.refuse(link, dropped);
  }

  /**
   * Describes late calls for the log.
   *
   * @param late - the calls
   * @param link - the link that received them
   * @returns the address of the peer, how many calls were late and cancelled, their longest delay
   */
  describeLateCalls({ calls, cancelled, delayMs }: LateCalls, link: MeshLink): Details {
    const peer = this.#addressOf(link) ?? 'a peer';
    return { peer, calls, cancelled, delayMs: Math.round(delayMs) };
  }

  #answerUsage(
    { usages, loads: reports }: Extract<MeshFrame, { readonly kind: 'usage' }>,
    link: MeshLink,
  ): void {
    const { quota, loads } = this.#options;
    const node = this.#incomingAddresses.get(link) ?? 'unknown';
    // A report of loads alone goes to another node than those of usage.
    if (reports === undefined) {
      link.send({ kind: 'totals', totals: quota.addNodeReport(node, usages) });
    } else link.send({ kind: 'totals', totals: [], loads: loads.addReports(reports) });
  }

  /** Address of the peer at the other end of a link, whichever end opened it. */
  #addressOf(link: MeshLink): string | null {
    return this.#incomingAddresses.get(link) ?? this.#options.addressOf(link);
  }

  /**
   * Sends missing changes to a peer with a lower revision. A peer with a higher revision is sent
   * the status of this node, to which it responds with the changes missing here.
   */
  #answerStatus(link: MeshLink, frame: Extract<MeshFrame, { readonly kind: 'status' }>): void {
    const { publications } = this.#options;
    const { status, unbrokenMs } = publications;
    if (frame.unbrokenMs !== undefined) {
      publications.send({ kind: 'peer-unbroken', unbrokenMs: frame.unbrokenMs });
    }
    if (frame.asksUnbroken === true && unbrokenMs > 0) {
      link.send({ kind: 'status', ...status, unbrokenMs });
    }
    if (frame.revision < status.revision) {
      link.send({ kind: 'changes', ...publications.changesAfter(frame.revision) });
    } else if (frame.revision > status.revision) {
      link.send({ kind: 'status', ...status });
    }
  }
}
