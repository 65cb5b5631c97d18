import {
  mergeIncarnations,
  NO_INCARNATIONS,
  type Incarnations,
} from '../core/membership/incarnations.js';
import type { Identity } from '../core/membership/handshake.js';
import type { Call } from '../core/model/call.js';
import type { BackendServerName } from '../core/model/names.js';
import type { PeerMessage, SeatIncarnation } from '../core/model/peer-message.js';
import type { Clock } from '../core/model/time.js';
import type { CrashTask } from './crash-task.js';
import type { CreditTask } from './credit-task.js';
import type { GateTask } from './gate-task.js';
import type { LinkTable, LinkTableEvent } from './link-table.js';
import type { Metrics } from './metrics.js';
import type { Log } from '../core/logs/log-entry.js';
import type { MembershipTask } from './membership-task.js';
import type { OrderTask } from './order-task.js';
import type { LinkEvent, PeerLink } from './peer-link.js';
import type { GossipTask } from './gossip-task.js';

/** Tasks that handle messages from peers. */
export interface PeerRouterOptions {
  readonly identity: Identity;
  readonly links: LinkTable;
  readonly membership: MembershipTask;
  readonly gossip: GossipTask;
  readonly credit: CreditTask;
  readonly crashes: CrashTask;
  readonly orders: OrderTask;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  /** The gate, or null before the first configuration. */
  readonly gate: () => GateTask | null;
}

const ACTIVITY_INTERVAL_MS = 200;

/** Routes each message from a peer to the task that owns the state it concerns. */
export class PeerRouter {
  readonly #options: PeerRouterOptions;

  readonly #activityReportedAt = new Map<string, number>();

  #incarnations: Incarnations = NO_INCARNATIONS;

  /**
   * @param options - the tasks
   */
  constructor(options: PeerRouterOptions) {
    this.#options = options;
  }

  /**
   * Handles an event of the link table.
   *
   * @param event - the event
   */
  handleTableEvent(event: LinkTableEvent): void {
    switch (event.kind) {
      case 'connect-failed':
        this.#options.membership.send({ kind: 'link-closed', peer: event.peer });
        break;
      case 'link':
        this.#handleLinkEvent(event.event, event.link);
        break;
    }
  }

  #handleLinkEvent(event: LinkEvent, link: PeerLink): void {
    switch (event.kind) {
      case 'opened':
        this.#handleOpened(event.identity, link.address);
        break;
      case 'message':
        this.#handleMessage(event.identity, event.message, link);
        break;
      case 'late-answer':
        this.#options.metrics.lateAnswers.inc();
        break;
      case 'silent':
        this.#logEvent('linkSilent', { peer: event.identity.node });
        break;
      case 'frame-invalid':
        this.#logEvent('peerFrameInvalid', {
          peer: link.peer?.node ?? 'unknown',
          reason: event.reason,
        });
        break;
      case 'handshake-failed':
        this.#logEvent('peerUnproven', { address: event.reason });
        break;
      case 'closed':
        if (event.identity !== null) this.#handleClosed(event.identity);
        break;
    }
  }

  #handleClosed({ node }: Identity): void {
    const { membership, credit, metrics, links } = this.#options;
    [true, false].forEach((isCallFrame) =>
      this.#activityReportedAt.delete(`${node} ${isCallFrame}`),
    );
    membership.send({ kind: 'link-closed', peer: node });
    credit.handleSeatLost(node);
    metrics.links.set(links.peers.length);
  }

  #logEvent(
    code: 'linkSilent' | 'peerFrameInvalid' | 'peerUnproven',
    details: Readonly<Record<string, string>>,
  ): void {
    this.#options.metrics.events.inc({ code });
    this.#options.log.write({ kind: 'event', code, details });
  }

  #handleOpened(peer: Identity, address: string | null): void {
    const { credit, crashes, links, membership } = this.#options;
    membership.send(
      address === null
        ? { kind: 'link-opened', peer: peer.node }
        : { kind: 'link-opened', peer: peer.node, address },
    );
    credit.handleSeatOpened(peer.node);
    credit.sendToQuotaServer({ kind: 'zone-contacted', zone: peer.zone });
    this.#options.metrics.links.set(links.peers.length);
    // A peer that was not linked at a crash would run the request that crashes servers again.
    const marks = crashes.listRecords();
    if (marks.length > 0) links.send(peer.node, { kind: 'marks', marks });
    this.#mergeIncarnations([{ seat: peer.node, incarnation: peer.incarnation }]);
  }

  #handleMessage(peer: Identity, message: PeerMessage, link: PeerLink): void {
    const { membership, gossip, credit, crashes, orders, gate } = this.#options;
    const { node } = peer;
    this.#reportActivity(node, message.kind === 'call' || message.kind === 'order-call');
    switch (message.kind) {
      case 'ping':
        credit.sendToQuotaServer({ kind: 'zone-contacted', zone: peer.zone });
        gossip.send({ ...message, kind: 'heads-received', peer: node });
        break;
      case 'announce': {
        const { head, serviceAgeMs } = message;
        gossip.send({ kind: 'heads-received', peer: node, heads: [head], serviceAgeMs });
        break;
      }
      case 'pull':
        gossip.send({ ...message, kind: 'pull-received', peer: node });
        break;
      case 'delta':
        gossip.send({ kind: 'delta-received', peer: node, delta: message.delta });
        break;
      case 'document':
        gossip.send({ kind: 'document-received', peer: node, document: message.document });
        break;
      case 'call':
        this.#admitCall(message.call, link);
        break;
      case 'order-call':
        void orders.runLocally(message.call, message.orderId).then((placed) => {
          const { requestId } = message.call;
          link.answer({ requestId, ...placed, load: this.#load() });
        });
        break;
      case 'cancel':
        gate()?.cancel(message.requestId);
        break;
      case 'draw':
        credit.draw(node, message);
        break;
      case 'grant':
        credit.handleGrant(node, message);
        break;
      case 'settlement':
        credit.handleSettlement(node, message);
        break;
      case 'lease-request':
        credit.handleLeaseRequest(node, message);
        break;
      case 'lease':
        credit.handleLease(node, message);
        break;
      case 'marks':
        crashes.send({ ...message, kind: 'records-received' });
        break;
      case 'incarnations':
        this.#mergeIncarnations(message.seen);
        break;
      case 'leaving':
        membership.send({ kind: 'peer-leaving', peer: node, forMs: message.forMs });
        break;
      // The link itself handles these.
      case 'pong':
      case 'answer':
        break;
    }
  }

  /**
   * Reports to membership that a frame arrived. For each peer, calls and other frames are each
   * reported at most once per interval, because more reports add no information.
   */
  #reportActivity(peer: BackendServerName, isCallFrame: boolean): void {
    const { clock, membership } = this.#options;
    const now = clock.now();
    const key = `${peer} ${isCallFrame}`;
    if (now - (this.#activityReportedAt.get(key) ?? -ACTIVITY_INTERVAL_MS) < ACTIVITY_INTERVAL_MS)
      return;
    this.#activityReportedAt.set(key, now);
    membership.send({ kind: 'frame-received', peer, isCallFrame });
  }

  #load() {
    return (
      this.#options.gate()?.load ?? { state: 'serving' as const, running: 0, queued: 0, limit: 0 }
    );
  }

  #admitCall(call: Call, link: PeerLink): void {
    const gate = this.#options.gate();
    if (gate !== null) {
      gate.admit(call, (answer) => link.answer(answer));
      return;
    }
    link.answer({
      requestId: call.requestId,
      outcome: { kind: 'refused', code: 'notReady', retryAfterMs: 0 },
      retriesSpent: 0,
      feedback: [],
      load: this.#load(),
    });
  }

  /** Forwards newer incarnations, so that an older quota server of the same seat stops granting. */
  #mergeIncarnations(seen: readonly SeatIncarnation[]): void {
    const { identity, links, membership, credit } = this.#options;
    const { known, updates } = mergeIncarnations(this.#incarnations, seen);
    this.#incarnations = known;
    updates
      .filter(({ seat }) => seat === identity.node)
      .forEach(({ incarnation }) =>
        credit.sendToQuotaServer({ kind: 'incarnation-reported', incarnation }),
      );
    if (updates.length === 0) return;
    membership.neighbours.forEach((peer) =>
      links.send(peer, { kind: 'incarnations', seen: updates }),
    );
  }
}
