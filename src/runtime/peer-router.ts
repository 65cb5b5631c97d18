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
import type { LinkTable, TableEvent } from './link-table.js';
import type { Metrics } from './metrics.js';
import type { Log } from '../core/logs/log-entry.js';
import type { MembershipTask } from './membership-task.js';
import type { OrderTask } from './order-task.js';
import type { LinkEvent, PeerLink } from './peer-link.js';
import type { SpreadTask } from './spread-task.js';

/** The tasks that handle messages of peers. */
export interface PeerRouterOptions {
  readonly identity: Identity;
  readonly links: LinkTable;
  readonly membership: MembershipTask;
  readonly spread: SpreadTask;
  readonly credit: CreditTask;
  readonly crashes: CrashTask;
  readonly orders: OrderTask;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  /** The gate, or null before the first configuration. */
  readonly gate: () => GateTask | null;
}

const HEAR_INTERVAL_MS = 200;

/** Hands each message of a peer to the task that owns the state it is about. */
export class PeerRouter {
  readonly #options: PeerRouterOptions;

  readonly #heardAt = new Map<string, number>();

  #incarnations: Incarnations = NO_INCARNATIONS;

  /**
   * @param options - the tasks
   */
  constructor(options: PeerRouterOptions) {
    this.#options = options;
  }

  /**
   * Handles an event of a link.
   *
   * @param event - the event
   */
  receiveTableEvent(event: TableEvent): void {
    switch (event.kind) {
      case 'connect-failed':
        this.#options.membership.send({ kind: 'link-closed', peer: event.peer });
        break;
      case 'link':
        this.#receiveLinkEvent(event.event, event.link);
        break;
    }
  }

  #receiveLinkEvent(event: LinkEvent, link: PeerLink): void {
    switch (event.kind) {
      case 'opened':
        this.#opened(event.identity, link.address);
        break;
      case 'message':
        this.#receive(event.identity, event.message, link);
        break;
      case 'late-answer':
        this.#options.metrics.lateAnswers.inc();
        break;
      case 'silent':
        this.#event('linkSilent', { peer: event.identity.node });
        break;
      case 'frame-invalid':
        this.#event('peerFrameInvalid', {
          peer: link.peer?.node ?? 'unknown',
          reason: event.reason,
        });
        break;
      case 'unproven':
        this.#event('peerUnproven', { address: event.reason });
        break;
      case 'closed':
        if (event.identity !== null) this.#closed(event.identity);
        break;
    }
  }

  #closed({ node }: Identity): void {
    const { membership, credit, metrics, links } = this.#options;
    [true, false].forEach((isUse) => this.#heardAt.delete(`${node} ${isUse}`));
    membership.send({ kind: 'link-closed', peer: node });
    credit.handleSeatLost(node);
    metrics.links.set(links.peers.length);
  }

  #event(
    code: 'linkSilent' | 'peerFrameInvalid' | 'peerUnproven',
    details: Readonly<Record<string, string>>,
  ): void {
    this.#options.metrics.events.inc({ code });
    this.#options.log.write({ kind: 'event', code, details });
  }

  #opened(peer: Identity, address: string | null): void {
    const { credit, membership } = this.#options;
    membership.send(
      address === null
        ? { kind: 'link-opened', peer: peer.node }
        : { kind: 'link-opened', peer: peer.node, address },
    );
    credit.handleSeatOpened(peer.node);
    credit.sendToHolder({ kind: 'zone-contacted', zone: peer.zone });
    this.#options.metrics.links.set(this.#options.links.peers.length);
    this.#learn([{ seat: peer.node, incarnation: peer.incarnation }]);
  }

  #receive(peer: Identity, message: PeerMessage, link: PeerLink): void {
    const { membership, spread, credit, crashes, orders, gate } = this.#options;
    const { node } = peer;
    this.#hear(node, message.kind === 'call' || message.kind === 'order-call');
    switch (message.kind) {
      case 'ping':
        credit.sendToHolder({ kind: 'zone-contacted', zone: peer.zone });
        spread.send({ ...message, kind: 'heads-received', peer: node });
        break;
      case 'announce': {
        const { head, serviceAgeMs } = message;
        spread.send({ kind: 'heads-received', peer: node, heads: [head], serviceAgeMs });
        break;
      }
      case 'pull':
        spread.send({ ...message, kind: 'pull-received', peer: node });
        break;
      case 'delta':
        spread.send({ kind: 'delta-received', peer: node, delta: message.delta });
        break;
      case 'document':
        spread.send({ kind: 'document-received', peer: node, document: message.document });
        break;
      case 'call':
        this.#admit(message.call, link);
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
        crashes.send({ kind: 'records-received', marks: message.marks });
        break;
      case 'incarnations':
        this.#learn(message.seen);
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

  /** Tells membership of a sign of life; one every now and then says as much as each of them. */
  #hear(peer: BackendServerName, isUse: boolean): void {
    const { clock, membership } = this.#options;
    const now = clock.now();
    const key = `${peer} ${isUse}`;
    if (now - (this.#heardAt.get(key) ?? -HEAR_INTERVAL_MS) < HEAR_INTERVAL_MS) return;
    this.#heardAt.set(key, now);
    membership.send({ kind: 'frame-received', peer, isCallFrame: isUse });
  }

  #load() {
    return (
      this.#options.gate()?.load ?? { state: 'serving' as const, running: 0, queued: 0, limit: 0 }
    );
  }

  #admit(call: Call, link: PeerLink): void {
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

  /** Passes on newer incarnations, so that an older holder of the same seat stops granting. */
  #learn(seen: readonly SeatIncarnation[]): void {
    const { identity, links, membership, credit } = this.#options;
    const { known, updates: news } = mergeIncarnations(this.#incarnations, seen);
    this.#incarnations = known;
    news
      .filter(({ seat }) => seat === identity.node)
      .forEach(({ incarnation }) =>
        credit.sendToHolder({ kind: 'incarnation-reported', incarnation }),
      );
    if (news.length === 0) return;
    membership.neighbours.forEach((peer) => links.send(peer, { kind: 'incarnations', seen: news }));
  }
}
