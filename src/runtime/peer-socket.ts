import { randomBytes } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { RawData } from 'ws';
import {
  answerHello,
  PEER_PROTOCOL_VERSION,
  answerChallenge,
  verifyProof,
  type PendingHandshake,
  type HandshakeMessage,
  type Hello,
  type Identity,
} from '../core/membership/handshake.js';
import type { PeerMessage } from '../core/model/peer-message.js';
import type { LinkSocket } from './environment.js';
import { decodeFrame, encodeFrame, type Frame } from './frame-codec.js';

/** Events that a socket reports to its owner. */
export type SocketEvent =
  | { readonly kind: 'opened'; readonly identity: Identity }
  | { readonly kind: 'message'; readonly message: PeerMessage }
  | { readonly kind: 'frame-invalid'; readonly reason: string }
  | { readonly kind: 'handshake-failed'; readonly reason: string }
  | { readonly kind: 'closed' };

/** Purpose of a frame: `call` for calls, their answers and cancellations, else `control`. */
export type FramePurpose = 'call' | 'control';

/** Counts bytes by direction and purpose. */
export type ByteCounter = (direction: 'in' | 'out', purpose: FramePurpose, bytes: number) => void;

/** Options of a socket at either end. */
export interface PeerSocketOptions {
  readonly socket: LinkSocket;
  readonly identity: Identity;
  readonly secret: string;
  /** Counts the bytes of a frame, to separate the cost of control traffic from that of calls. */
  readonly countBytes: ByteCounter;
  readonly onEvent: (event: SocketEvent) => void;
}

type HandshakeStage =
  | { readonly kind: 'awaiting-challenge'; readonly hello: Hello }
  | { readonly kind: 'awaiting-hello' }
  | { readonly kind: 'awaiting-proof'; readonly challenged: PendingHandshake }
  | { readonly kind: 'open' }
  /** The connection is being terminated; what else arrives on it is dropped. */
  | { readonly kind: 'rejected' }
  | { readonly kind: 'closed' };

/** A connection not authenticated within this time is terminated, so that it holds no resources. */
const HANDSHAKE_TIMEOUT_MS = 2000;
const NONCE_BYTES = 18;

function newNonce(): string {
  return randomBytes(NONCE_BYTES).toString('base64url');
}

function toBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

function purposeOf(frame: Frame): FramePurpose {
  switch (frame.kind) {
    case 'call':
    case 'order-call':
    case 'answer':
    case 'cancel':
      return 'call';
    default:
      return 'control';
  }
}

function isHandshakeMessage(frame: Frame): frame is HandshakeMessage {
  return frame.kind === 'hello' || frame.kind === 'challenge' || frame.kind === 'proof';
}

/** WebSocket to another node that carries messages only after mutual authentication. */
export class PeerSocket {
  readonly #options: PeerSocketOptions;

  readonly #handshakeTimer: NodeJS.Timeout;

  #stage: HandshakeStage;

  /**
   * @param options - socket, identity of this node, shared secret of the fleet and event handler
   * @param role - whether this end opened the connection
   */
  constructor(options: PeerSocketOptions, role: 'opener' | 'listener') {
    this.#options = options;
    const { socket } = options;
    socket.on('message', (data) => this.#receive(toBytes(data)));
    socket.on('close', () => this.#handleClosed());
    // Errors of a socket are always followed by its close event.
    socket.on('error', () => {});
    this.#stage = role === 'listener' ? { kind: 'awaiting-hello' } : this.#sendHello();
    this.#handshakeTimer = setTimeout(() => {
      this.#rejectHandshake('handshake timed out');
    }, HANDSHAKE_TIMEOUT_MS);
  }

  /**
   * Sends a message to the peer.
   *
   * @param message - the message
   * @returns false if the socket is not open and nothing was sent
   */
  send(message: PeerMessage): boolean {
    const { socket } = this.#options;
    if (this.#stage.kind !== 'open' || socket.readyState !== socket.OPEN) return false;
    const bytes = encodeFrame(message);
    this.#options.countBytes('out', purposeOf(message), bytes.length);
    socket.send(bytes);
    return true;
  }

  /** Closes the connection with a closing handshake. */
  close(): void {
    this.#options.socket.close();
  }

  /** Closes the connection without a closing handshake, for a peer that no longer answers. */
  terminate(): void {
    this.#options.socket.terminate();
  }

  #sendHello(): HandshakeStage {
    const { socket, identity } = this.#options;
    const hello: Hello = {
      kind: 'hello',
      version: PEER_PROTOCOL_VERSION,
      identity,
      nonce: newNonce(),
    };
    socket.once('open', () => socket.send(encodeFrame(hello)));
    return { kind: 'awaiting-challenge', hello };
  }

  #receive(data: Uint8Array): void {
    if (this.#stage.kind === 'rejected' || this.#stage.kind === 'closed') return;
    decodeFrame(data).match(
      (frame) => {
        this.#options.countBytes('in', purposeOf(frame), data.length);
        this.#handleFrame(frame);
      },
      (reason) => {
        this.#options.onEvent({ kind: 'frame-invalid', reason });
        this.#rejectHandshake('invalid frame');
      },
    );
  }

  #handleFrame(frame: Frame): void {
    if (this.#stage.kind === 'open') {
      if (!isHandshakeMessage(frame)) this.#options.onEvent({ kind: 'message', message: frame });
      return;
    }
    if (!isHandshakeMessage(frame)) {
      this.#rejectHandshake(`${frame.kind} before the handshake`);
      return;
    }
    this.#advanceHandshake(frame).match(
      (stage) => {
        this.#stage = stage;
      },
      (reason) => this.#rejectHandshake(reason),
    );
  }

  #advanceHandshake(message: HandshakeMessage): Result<HandshakeStage, string> {
    const stage = this.#stage;
    switch (stage.kind) {
      case 'awaiting-hello':
        return message.kind === 'hello' ? this.#sendChallenge(message) : err('expected hello');
      case 'awaiting-challenge':
        return message.kind === 'challenge'
          ? answerChallenge({
              hello: stage.hello,
              challenge: message,
              secret: this.#options.secret,
            }).map((proof) => {
              this.#options.socket.send(encodeFrame(proof));
              return this.#open(message.identity);
            })
          : err('expected challenge');
      case 'awaiting-proof':
        return message.kind === 'proof'
          ? verifyProof({
              pending: stage.challenged,
              proof: message,
              secret: this.#options.secret,
            }).map((identity) => this.#open(identity))
          : err('expected proof');
      case 'open':
      case 'rejected':
      case 'closed':
        return ok(stage);
    }
  }

  #sendChallenge(hello: Hello): Result<HandshakeStage, string> {
    const { identity, secret, socket } = this.#options;
    return answerHello({ hello, identity, nonce: newNonce(), secret }).map((challenged) => {
      socket.send(encodeFrame(challenged.challenge));
      return { kind: 'awaiting-proof', challenged };
    });
  }

  #open(identity: Identity): HandshakeStage {
    clearTimeout(this.#handshakeTimer);
    // The owner may send from its event handler, which requires the stage to be open.
    this.#stage = { kind: 'open' };
    this.#options.onEvent({ kind: 'opened', identity });
    return { kind: 'open' };
  }

  #rejectHandshake(reason: string): void {
    switch (this.#stage.kind) {
      case 'open':
      case 'rejected':
      case 'closed':
        return;
      case 'awaiting-challenge':
      case 'awaiting-hello':
      case 'awaiting-proof':
        this.#stage = { kind: 'rejected' };
    }
    this.#options.onEvent({ kind: 'handshake-failed', reason });
    this.#options.socket.terminate();
  }

  #handleClosed(): void {
    clearTimeout(this.#handshakeTimer);
    if (this.#stage.kind === 'closed') return;
    this.#stage = { kind: 'closed' };
    this.#options.onEvent({ kind: 'closed' });
  }
}
