import type { RawData, WebSocket } from 'ws';
import type { MeshCall, MeshReply } from '../core/exchange/mesh-call.js';
import type { CallNumber, MeshFrame } from '../core/exchange/mesh-frame.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import { MeshCodec } from './mesh-codec.js';

/** How a call over a link ended. */
export type LinkResult =
  | { readonly kind: 'replied'; readonly reply: MeshReply }
  /** Nothing was sent. */
  | { readonly kind: 'unsent' }
  /** The link was lost after the call was sent. */
  | { readonly kind: 'lost' };

/** What a link tells its owner. */
export type MeshLinkEvent =
  | { readonly kind: 'opened' }
  | { readonly kind: 'frame'; readonly frame: MeshFrame }
  | { readonly kind: 'invalid'; readonly reason: string }
  /** `isFault` tells a broken link from one that this node closed. */
  | { readonly kind: 'closed'; readonly reason: string; readonly isFault: boolean };

/** What a link needs. */
export interface MeshLinkOptions {
  readonly socket: WebSocket;
  readonly clock: Clock;
  readonly onEvent: (event: MeshLinkEvent, link: MeshLink) => void;
}

/** A link on which calls wait and nothing comes is asked after this time. */
const PING_DELAY_MS: Milliseconds = 400;

/** A link that was asked and says nothing for this time has gone silent. */
const PONG_TIMEOUT_MS: Milliseconds = 700;

function toBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

/** One connection to another node, which both ends use for calls, replies and messages. */
export class MeshLink {
  readonly #options: MeshLinkOptions;

  readonly #codec = new MeshCodec();

  readonly #pendingCalls = new Map<CallNumber, (result: LinkResult) => void>();

  #nextNumber: CallNumber = 1;

  #lastReceivedAt: Instant;

  #pingSentAt: Instant | null = null;

  #isClosed = false;

  /** Last use for a call or a message, so that links without use can be closed. */
  #lastUsedAt: Instant;

  /**
   * @param options - socket, clock and the owner's handler
   */
  constructor(options: MeshLinkOptions) {
    this.#options = options;
    const { socket, clock, onEvent } = options;
    this.#lastReceivedAt = clock.now();
    this.#lastUsedAt = clock.now();
    socket.on('open', () => {
      this.#lastReceivedAt = clock.now();
      onEvent({ kind: 'opened' }, this);
    });
    socket.on('message', (data) => this.#receive(toBytes(data)));
    socket.on('close', () => this.#close('closed by the peer or the network'));
    socket.on('error', (error) => this.#close(error.message));
  }

  /** @returns whether frames can be sent */
  get isOpen(): boolean {
    const { socket } = this.#options;
    return !this.#isClosed && socket.readyState === socket.OPEN;
  }

  /** @returns the number of calls without a reply */
  get pendingCalls(): number {
    return this.#pendingCalls.size;
  }

  /** @returns instant of the last frame in either direction that was no heartbeat */
  get lastUsedAt(): Instant {
    return this.#lastUsedAt;
  }

  /**
   * Sends a frame.
   *
   * @param frame - the frame
   * @returns whether it was handed to the connection
   */
  send(frame: MeshFrame): boolean {
    if (!this.isOpen) return false;
    if (frame.kind !== 'ping' && frame.kind !== 'pong')
      this.#lastUsedAt = this.#options.clock.now();
    this.#options.socket.send(this.#codec.encode(frame));
    return true;
  }

  /**
   * Sends a call.
   *
   * @param call - the call
   * @returns its number for a cancellation, and how it ends
   */
  call(call: MeshCall): { readonly number: CallNumber; readonly result: Promise<LinkResult> } {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    if (!this.send({ kind: 'call', number, call })) {
      return { number, result: Promise.resolve({ kind: 'unsent' }) };
    }
    if (this.#pendingCalls.size === 0) this.#lastReceivedAt = this.#options.clock.now();
    const result = new Promise<LinkResult>((resolve) => {
      this.#pendingCalls.set(number, resolve);
    });
    return { number, result };
  }

  /**
   * Tells the peer that nobody waits for a call any more.
   *
   * @param number - number of the call
   */
  cancel(number: CallNumber): void {
    if (!this.#pendingCalls.delete(number)) return;
    this.send({ kind: 'cancel', number });
  }

  /** Finds out whether the peer still answers while calls wait for it. */
  checkLiveness(): void {
    if (this.#pendingCalls.size === 0 || !this.isOpen) return;
    const now = this.#options.clock.now();
    if (this.#pingSentAt !== null && this.#lastReceivedAt < this.#pingSentAt) {
      if (now - this.#pingSentAt > PONG_TIMEOUT_MS) this.#close('silent');
      return;
    }
    if (now - this.#lastReceivedAt < PING_DELAY_MS) return;
    this.#pingSentAt = now;
    this.send({ kind: 'ping' });
  }

  /** Closes the link; calls without a reply count as lost. */
  close(): void {
    this.#close('closed by this node', false);
  }

  #receive(bytes: Uint8Array): void {
    const now = this.#options.clock.now();
    this.#lastReceivedAt = now;
    this.#codec.decode(bytes).match(
      (frame) => this.#handleFrame(frame, now),
      (reason) => {
        // The tables of both ends may differ from here on, so nothing after it can be read.
        this.#options.onEvent({ kind: 'invalid', reason }, this);
        this.#close(reason);
      },
    );
  }

  #handleFrame(frame: MeshFrame, now: Instant): void {
    switch (frame.kind) {
      case 'ping':
        this.send({ kind: 'pong' });
        return;
      case 'pong':
        return;
      case 'reply':
        this.#lastUsedAt = now;
        this.#resolveCall(frame.number, { kind: 'replied', reply: frame.reply });
        return;
      default:
        this.#lastUsedAt = now;
        this.#options.onEvent({ kind: 'frame', frame }, this);
    }
  }

  #resolveCall(number: CallNumber, result: LinkResult): void {
    const resolve = this.#pendingCalls.get(number);
    this.#pendingCalls.delete(number);
    resolve?.(result);
  }

  #close(reason: string, isFault = true): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#options.socket.terminate();
    [...this.#pendingCalls.keys()].forEach((number) => this.#resolveCall(number, { kind: 'lost' }));
    this.#options.onEvent({ kind: 'closed', reason, isFault }, this);
  }
}
