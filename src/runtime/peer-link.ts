import type { Identity } from '../core/membership/handshake.js';
import {
  decideLinkHealth,
  initialLinkHealth,
  toPeerClock,
  type LinkHealth,
  type LinkHealthEffect,
  type LinkHealthMessage,
} from '../core/membership/link-health.js';
import type { Answer, Call } from '../core/model/call.js';
import type { DocumentHead } from '../core/model/document.js';
import type { RequestId } from '../core/model/names.js';
import type { PeerMessage } from '../core/model/peer-message.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import type { Attempt } from '../core/pipeline/next-attempt.js';
import { Task } from '../core/task/task.js';
import { OutstandingCalls } from './outstanding-calls.js';
import type { LinkSocket } from './environment.js';
import { PeerSocket, type ByteCounter, type SocketEvent } from './peer-socket.js';

/** Content of a heartbeat besides its timestamp. */
export interface HeartbeatContent {
  readonly heads: readonly DocumentHead[];
  readonly serviceAgeMs: Milliseconds;
}

/** Events that a link reports to its owner. */
export type LinkEvent =
  /** Both ends are authenticated and the offset between their clocks is bounded. */
  | { readonly kind: 'opened'; readonly identity: Identity }
  | { readonly kind: 'message'; readonly identity: Identity; readonly message: PeerMessage }
  /** An answer arrived for which no call is outstanding; it is dropped. */
  | { readonly kind: 'late-answer'; readonly identity: Identity }
  | { readonly kind: 'silent'; readonly identity: Identity }
  | { readonly kind: 'frame-invalid'; readonly reason: string }
  | { readonly kind: 'handshake-failed'; readonly reason: string }
  | { readonly kind: 'closed'; readonly identity: Identity | null };

/** Options of a link. */
export interface PeerLinkOptions {
  readonly socket: LinkSocket;
  readonly role: 'opener' | 'listener';
  /** Address that this node connected to; null if the peer opened the link. */
  readonly address: string | null;
  readonly identity: Identity;
  readonly secret: string;
  readonly clock: Clock;
  readonly countBytes: ByteCounter;
  readonly heartbeat: () => HeartbeatContent;
  readonly onEvent: (event: LinkEvent, link: PeerLink) => void;
}

const TICK_INTERVAL_MS = 50;

/**
 * Time after the deadline of a call at which the call is abandoned without an answer. The gate
 * answers at the deadline itself, and that answer takes time to arrive.
 */
const ANSWER_GRACE_MS = 50;

/** One connection to a peer, with its heartbeats, outstanding calls and messages. */
export class PeerLink {
  readonly #options: PeerLinkOptions;

  readonly #socket: PeerSocket;

  readonly #calls = new OutstandingCalls();

  readonly #health: Task<LinkHealth, LinkHealthMessage, LinkHealthEffect>;

  readonly #ticker: NodeJS.Timeout;

  #peer: Identity | null = null;

  #isReady = false;

  /**
   * @param options - socket, identity of this node, clock, heartbeat content and event handler
   */
  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.#health = new Task({
      initial: initialLinkHealth,
      decide: decideLinkHealth,
      clock: options.clock,
      perform: (effect) => this.#perform(effect),
    });
    this.#ticker = setInterval(() => this.#health.send({ kind: 'tick' }), TICK_INTERVAL_MS);
    const { socket, identity, secret, role, countBytes } = options;
    this.#socket = new PeerSocket(
      { socket, identity, secret, countBytes, onEvent: (event) => this.#handleSocketEvent(event) },
      role,
    );
  }

  /** @returns the authenticated identity of the peer, or null before the handshake completes */
  get peer(): Identity | null {
    return this.#peer;
  }

  /** @returns the address that this node connected to, or null if the peer opened the link */
  get address(): string | null {
    return this.#options.address;
  }

  /** @returns whether the link can carry calls */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** @returns the number of calls that wait for an answer */
  get outstandingCount(): number {
    return this.#calls.size;
  }

  /**
   * Sends a message without waiting for an answer.
   *
   * @param message - the message
   * @returns false if the socket is not open and nothing was sent
   */
  send(message: PeerMessage): boolean {
    return this.#socket.send(message);
  }

  /**
   * Sends a call and waits for its answer. Its deadlines are translated to the peer's clock so
   * that the peer never acts after them.
   *
   * @param call - the call, with times on the clock of this node
   * @param orderId - identifier of the order if the peer is its home, null for the peer's gate
   * @returns the outcome of the attempt
   */
  async call(call: Call, orderId: string | null): Promise<Attempt> {
    const now = this.#options.clock.now();
    const { state } = this.#health;
    const deadline = toPeerClock(state, call.deadline);
    const startBy = toPeerClock(state, call.startBy);
    if (deadline === null || startBy === null) return { kind: 'unsent' };
    const translated: Call = { ...call, deadline, startBy };
    const message: PeerMessage =
      orderId === null
        ? { kind: 'call', call: translated }
        : { kind: 'order-call', orderId, call: translated };
    if (!this.send(message)) return { kind: 'unsent' };
    const attempt = this.#calls.add(call.requestId, call.deadline - now + ANSWER_GRACE_MS);
    this.#reportOutstandingCalls();
    const result = await attempt;
    this.#reportOutstandingCalls();
    return result;
  }

  /**
   * Cancels a call at the peer.
   *
   * @param requestId - identifier of the call
   */
  cancel(requestId: RequestId): void {
    this.send({ kind: 'cancel', requestId });
  }

  /**
   * Sends an answer over the link that carried its call.
   *
   * @param answer - the answer
   */
  answer(answer: Answer): void {
    this.send({ kind: 'answer', answer });
  }

  /** Closes the link with a closing handshake. */
  close(): void {
    this.#socket.close();
  }

  #reportOutstandingCalls(): void {
    this.#health.send({ kind: 'calls-outstanding', count: this.#calls.size });
  }

  #handleSocketEvent(event: SocketEvent): void {
    switch (event.kind) {
      case 'opened':
        this.#peer = event.identity;
        this.#health.send({ kind: 'opened' });
        break;
      case 'message':
        this.#handleMessage(event.message);
        break;
      case 'frame-invalid':
      case 'handshake-failed':
        this.#options.onEvent(event, this);
        break;
      case 'closed':
        this.#handleClosed();
        break;
    }
  }

  #handleMessage(message: PeerMessage): void {
    const identity = this.#peer;
    if (identity === null) return;
    this.#health.send({ kind: 'frame-received' });
    switch (message.kind) {
      case 'ping':
        this.#health.send({ kind: 'ping-received', sentAt: message.sentAt });
        this.#options.onEvent({ kind: 'message', identity, message }, this);
        break;
      case 'pong':
        this.#health.send({ ...message, kind: 'pong-received' });
        this.#reportReady(identity);
        break;
      case 'answer':
        if (!this.#calls.answer(message.answer)) {
          this.#options.onEvent({ kind: 'late-answer', identity }, this);
        }
        break;
      default:
        this.#options.onEvent({ kind: 'message', identity, message }, this);
    }
  }

  #reportReady(identity: Identity): void {
    if (this.#isReady) return;
    this.#isReady = toPeerClock(this.#health.state, this.#options.clock.now()) !== null;
    if (this.#isReady) this.#options.onEvent({ kind: 'opened', identity }, this);
  }

  #perform(effect: LinkHealthEffect): void {
    switch (effect.kind) {
      case 'send-ping':
        this.#socket.send({ kind: 'ping', sentAt: effect.sentAt, ...this.#options.heartbeat() });
        break;
      case 'send-pong':
        this.#socket.send({
          kind: 'pong',
          echoedSentAt: effect.echoedSentAt,
          receivedAt: effect.receivedAt,
        });
        break;
      case 'silent':
        if (this.#peer !== null) {
          this.#options.onEvent({ kind: 'silent', identity: this.#peer }, this);
        }
        this.#socket.terminate();
        break;
    }
  }

  #handleClosed(): void {
    clearInterval(this.#ticker);
    this.#isReady = false;
    this.#calls.failAll();
    this.#options.onEvent({ kind: 'closed', identity: this.#peer }, this);
  }
}
