import type { MeshCall, MeshReply } from '../core/exchange/mesh-call.js';
import type { BodyFrame, CallNumber, MeshFrame } from '../core/exchange/mesh-frame.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { FrameConnection } from './frame-connection.js';
import type { HeldBodies } from './held-bodies.js';
import { LateCallFilter, type LateCalls } from './late-call-filter.js';
import { MeshCodec } from './mesh-codec.js';
import type { ReadBarrier } from './read-barrier.js';

/** Outcome of a call over a link. */
export type LinkResult =
  | { readonly kind: 'replied'; readonly reply: MeshReply }
  /** The call was not sent. */
  | { readonly kind: 'unsent' }
  /** The link was lost after the call was sent, so the call may have run. */
  | { readonly kind: 'lost' };

/** Event that a link reports to its owner. */
export type MeshLinkEvent =
  | { readonly kind: 'opened' }
  | { readonly kind: 'frame'; readonly frame: MeshFrame }
  /** A call of the peer was dropped as it arrived, since there is no room for its body. */
  | { readonly kind: 'call-dropped'; readonly number: CallNumber; readonly call: MeshCall }
  | { readonly kind: 'invalid'; readonly reason: string }
  /** Calls of the peer arrived late, and have been cancelled or passed on. */
  | { readonly kind: 'calls-late'; readonly late: LateCalls }
  /** The link is closed. `isFault` is false when this node closed it on purpose. */
  | { readonly kind: 'closed'; readonly reason: string; readonly isFault: boolean };

/** Dependencies of a link. */
export interface MeshLinkOptions {
  readonly connection: FrameConnection;
  readonly clock: Clock;
  /**
   * Whether this node opened the link. Only the opener checks a link for messages without an answer:
   * the other end may still hold replies that a paused opener reads later.
   */
  readonly isOpener: boolean;
  /** Delays the echo of a ping until the departures of callers that are readable have been read. */
  readonly readBarrier: ReadBarrier;
  /** Counts the bodies of frames. */
  readonly bodies: HeldBodies;
  readonly onEvent: (event: MeshLinkEvent, link: MeshLink) => void;
}

/** A ping is sent when calls are pending and no frame was received for this time. */
const PING_DELAY_MS: Milliseconds = 400;

/**
 * A ping is sent when messages without calls got no frame for this time. With the checks every 0.2 s,
 * the time-out of the pong and the pause before a new link, messages are delivered again after
 * 2.5 s, within the 3 s after which the platform holds a node to its bounds again.
 */
const ONE_WAY_PING_DELAY_MS: Milliseconds = 800;

/** A link on which no frame follows a ping within this time is closed as half-open. */
const PONG_TIMEOUT_MS: Milliseconds = 700;

/** A frame with a larger body is announced, and sent without a copy of its body. */
const MIN_BODY_BYTES = 16_384;

const EMPTY_BODY = new Uint8Array();

/** The body of a frame, and the frame with an empty body as its last field. */
interface SplitFrame {
  readonly head: BodyFrame;
  readonly body: Uint8Array;
}

/** Splits a frame with a large body; null for any other. */
function splitFrame(frame: MeshFrame): SplitFrame | null {
  switch (frame.kind) {
    case 'call': {
      const { kind, number, sentAt } = frame;
      const { body, ...call } = frame.call;
      if (body === undefined || body.length <= MIN_BODY_BYTES) return null;
      return { head: { kind, number, sentAt, call: { ...call, body: EMPTY_BODY } }, body };
    }
    case 'reply': {
      const { kind, number, reply } = frame;
      const { outcome, load } = reply;
      if (outcome.kind !== 'answered' || outcome.body.length <= MIN_BODY_BYTES) return null;
      const { body, ...answer } = outcome;
      const head = { load, outcome: { ...answer, body: EMPTY_BODY } };
      return { head: { kind, number, reply: head }, body };
    }
    default:
      return null;
  }
}

/** Builds the reply to a call whose answer does not fit into the memory of a node. */
function withoutAnswer({ load }: MeshReply): MeshReply {
  return { outcome: { kind: 'failed', code: 'answerTooLarge' }, load };
}

/** Connection to another node, which carries calls, replies and messages both ways. */
export class MeshLink {
  readonly #options: MeshLinkOptions;

  readonly #codec = new MeshCodec();

  readonly #pendingCalls = new Map<CallNumber, (result: LinkResult) => void>();

  readonly #lateCallFilter: LateCallFilter;

  /** The next frame, if its sender has announced it. */
  #announced: BodyFrame | null = null;

  /** Releases the announced frame, which is being received; null when it is not. */
  #releaseFrame: (() => void) | null = null;

  /** Bodies of received calls that have not been passed on. */
  readonly #callBodies = new Map<CallNumber, Uint8Array>();

  #nextNumber: CallNumber = 1;

  #lastReceivedAt: Instant;

  /** Bytes received by the last check of the link. */
  #checkedBytes = 0;

  #pingSentAt: Instant | null = null;

  /** Instant of the first frame sent since the last sign of life of the peer; null for none. */
  #unheardSince: Instant | null = null;

  #isClosed = false;

  /** Instant of the last frame other than ping and pong, so that idle links can be closed. */
  #lastUsedAt: Instant;

  /**
   * @param options - connection, clock and the owner's event handler
   */
  constructor(options: MeshLinkOptions) {
    this.#options = options;
    const { connection, clock, onEvent } = options;
    this.#lastReceivedAt = clock.now();
    this.#lastUsedAt = clock.now();
    this.#lateCallFilter = new LateCallFilter({
      clock,
      deliver: (frame) => {
        onEvent({ kind: 'frame', frame }, this);
        this.#releaseCall(frame.number);
      },
      sendPing: (sentAt) => this.#sendPing(sentAt),
      onLateCalls: (late) => onEvent({ kind: 'calls-late', late }, this),
    });
    connection.start({
      onOpened: () => {
        this.#lastReceivedAt = clock.now();
        onEvent({ kind: 'opened' }, this);
      },
      onFrame: (bytes) => this.#receive(bytes),
      acceptsFrame: (length) => this.#acceptFrame(length),
      onDropped: () => this.#handleDropped(),
      onClosed: (reason) => this.#close(reason),
    });
  }

  /** @returns whether the connection is established, so that frames can be sent */
  get isOpen(): boolean {
    return !this.#isClosed && this.#options.connection.isOpen;
  }

  /** @returns the number of calls in flight */
  get pendingCalls(): number {
    return this.#pendingCalls.size;
  }

  /** @returns the instant of the last frame in either direction other than ping and pong */
  get lastUsedAt(): Instant {
    return this.#lastUsedAt;
  }

  /**
   * Sends a frame.
   *
   * @param frame - the frame
   * @returns whether the frame was handed to the connection
   */
  send(frame: MeshFrame): boolean {
    if (!this.isOpen) return false;
    if (frame.kind !== 'ping' && frame.kind !== 'pong') {
      this.#lastUsedAt = this.#options.clock.now();
      this.#unheardSince ??= this.#lastUsedAt;
    }
    const split = splitFrame(frame);
    if (split === null) this.#options.connection.send(this.#codec.encode(frame));
    else this.#sendSplit(split);
    return true;
  }

  /**
   * Sends a call.
   *
   * @param call - the call
   * @param receive - takes its outcome, unless the call is cancelled before
   * @returns the number of the call, for `cancel`
   */
  call(call: MeshCall, receive: (result: LinkResult) => void): CallNumber {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    const sentAt = this.#options.clock.now();
    if (!this.send({ kind: 'call', number, call, sentAt })) {
      receive({ kind: 'unsent' });
      return number;
    }
    if (this.#pendingCalls.size === 0) this.#lastReceivedAt = sentAt;
    this.#pendingCalls.set(number, receive);
    return number;
  }

  /**
   * Cancels a call in flight and informs the peer. Its outcome is not reported.
   *
   * @param number - the number of the call
   */
  cancel(number: CallNumber): void {
    if (!this.#pendingCalls.delete(number)) return;
    this.send({ kind: 'cancel', number });
  }

  /** Checks that the peer still responds to what was sent, and closes a silent link. */
  checkLiveness(): void {
    if (!this.isOpen) return;
    const now = this.#options.clock.now();
    this.#recordProgress(now);
    if (!this.#isResponseDue(now)) return;
    if (this.#pingSentAt !== null && this.#lastReceivedAt < this.#pingSentAt) {
      if (now - this.#pingSentAt > PONG_TIMEOUT_MS) this.#close('no response to a ping');
      return;
    }
    if (now - this.#lastReceivedAt < PING_DELAY_MS) return;
    this.#sendPing(now);
  }

  /** Closes the link. Calls in flight end as lost. */
  close(): void {
    this.#close('closed by this node', false);
  }

  #sendSplit({ head, body }: SplitFrame): void {
    const { connection, bodies } = this.#options;
    switch (head.kind) {
      case 'call':
        bodies.retain(body);
        break;
      case 'reply': {
        const release = bodies.takeFrame('answer', body.length);
        if (release === null) {
          connection.send(this.#codec.encode({ ...head, reply: withoutAnswer(head.reply) }));
          return;
        }
        bodies.own(body, release);
        break;
      }
    }
    connection.send(this.#codec.encode({ kind: 'pong', announced: head }));
    const bytes = this.#codec.encodeHead(head, body.length);
    connection.send(bytes, body, () => bodies.release(body));
  }

  #acceptFrame(length: number): boolean {
    if (this.#announced === null) return true;
    const content = this.#announced.kind === 'call' ? 'call' : 'answer';
    this.#releaseFrame = this.#options.bodies.takeFrame(content, length);
    return this.#releaseFrame !== null;
  }

  #handleDropped(): void {
    const dropped = this.#announced;
    this.#announced = null;
    this.#recordLife(this.#options.clock.now());
    if (dropped === null) return;
    switch (dropped.kind) {
      case 'call': {
        const { number, call } = dropped;
        this.#options.onEvent({ kind: 'call-dropped', number, call }, this);
        break;
      }
      case 'reply':
        this.#endCall(dropped.number, { kind: 'replied', reply: withoutAnswer(dropped.reply) });
        break;
    }
  }

  #releaseCall(number: CallNumber): void {
    const body = this.#callBodies.get(number);
    if (body === undefined) return;
    this.#callBodies.delete(number);
    this.#options.bodies.release(body);
  }

  #isResponseDue(now: Instant): boolean {
    if (this.#pendingCalls.size > 0 || this.#lateCallFilter.isWaiting) return true;
    const since = this.#unheardSince;
    return this.#options.isOpener && since !== null && now - since >= ONE_WAY_PING_DELAY_MS;
  }

  #recordLife(now: Instant): void {
    this.#lastReceivedAt = now;
    this.#unheardSince = null;
  }

  /** A large frame takes seconds on a narrow link, and holds back the echo of a ping meanwhile. */
  #recordProgress(now: Instant): void {
    const { receivedBytes } = this.#options.connection;
    if (receivedBytes !== this.#checkedBytes) this.#recordLife(now);
    this.#checkedBytes = receivedBytes;
  }

  #sendPing(sentAt: Instant): void {
    this.#pingSentAt = sentAt;
    this.send({ kind: 'ping', sentAt });
  }

  #sendPong(pingSentAt: Instant | undefined): void {
    this.send({ kind: 'pong', pingSentAt, sentAt: this.#options.clock.now() });
  }

  #receive(bytes: Uint8Array): void {
    const now = this.#options.clock.now();
    this.#recordLife(now);
    const release = this.#releaseFrame;
    this.#announced = null;
    this.#releaseFrame = null;
    this.#codec.decode(bytes).match(
      (frame) => {
        if (release !== null && frame.kind === 'call') this.#ownCall(frame, release);
        this.#handleFrame(frame, now);
        if (frame.kind !== 'call') release?.();
      },
      (reason) => {
        release?.();
        // Encoder and decoder may be out of sync, so later frames cannot be decoded either.
        this.#options.onEvent({ kind: 'invalid', reason }, this);
        this.#close(reason);
      },
    );
  }

  /** The body counts until the gate has let it go, or the call has been cancelled before. */
  #ownCall({ number, call }: MeshFrame & { readonly kind: 'call' }, release: () => void): void {
    this.#options.bodies.own(call.body, release);
    this.#callBodies.set(number, call.body);
  }

  #handleFrame(frame: MeshFrame, now: Instant): void {
    switch (frame.kind) {
      case 'ping':
        this.#options.readBarrier.run(() => this.#sendPong(frame.sentAt));
        return;
      case 'pong':
        this.#announced = frame.announced ?? null;
        this.#lateCallFilter.receivePong(frame);
        return;
      case 'call':
        this.#lastUsedAt = now;
        this.#lateCallFilter.receiveCall(frame);
        return;
      case 'cancel':
        this.#lastUsedAt = now;
        if (this.#lateCallFilter.cancel(frame.number)) this.#releaseCall(frame.number);
        else this.#options.onEvent({ kind: 'frame', frame }, this);
        return;
      case 'reply':
        this.#lastUsedAt = now;
        this.#endCall(frame.number, { kind: 'replied', reply: frame.reply });
        return;
      default:
        if (frame.kind === 'hello') this.#lateCallFilter.recordHello(frame.sentAt);
        this.#lastUsedAt = now;
        this.#options.onEvent({ kind: 'frame', frame }, this);
    }
  }

  #endCall(number: CallNumber, result: LinkResult): void {
    const receive = this.#pendingCalls.get(number);
    this.#pendingCalls.delete(number);
    receive?.(result);
  }

  #close(reason: string, isFault = true): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#options.connection.close();
    this.#lateCallFilter.close();
    this.#releaseFrame?.();
    this.#releaseFrame = null;
    [...this.#callBodies.keys()].forEach((number) => this.#releaseCall(number));
    [...this.#pendingCalls.keys()].forEach((number) => this.#endCall(number, { kind: 'lost' }));
    this.#options.onEvent({ kind: 'closed', reason, isFault }, this);
  }
}
