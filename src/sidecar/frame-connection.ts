import { connect as connectSocket, type Socket } from 'node:net';
import type { Milliseconds } from '../core/model/time.js';
import { BodyBuffer } from '../runtime/body-buffer.js';

/** Receives what happens on a connection. */
export interface FrameHandlers {
  readonly onOpened: () => void;
  readonly onFrame: (bytes: Buffer) => void;
  /**
   * Called when a frame begins that does not fit into one read.
   *
   * @returns whether it is received; otherwise its bytes are dropped as they arrive
   */
  readonly acceptsFrame?: (length: number) => boolean;
  /** Called at the end of a frame that was dropped. */
  readonly onDropped?: () => void;
  /** Called once, by whichever end the connection was closed. */
  readonly onClosed: (reason: string) => void;
}

/** Limits of a connection. */
export interface FrameLimits {
  readonly maxFrameBytes: number;
}

/** Limits of a connection that is being opened. */
export interface ConnectLimits extends FrameLimits {
  readonly timeoutMs: Milliseconds;
}

/** Each frame follows its length as an unsigned number of this many bytes. */
const LENGTH_BYTES = 4;

/** Frames up to this size are copied behind their length, so that both take one write. */
const MAX_COPIED_BYTES = 16_384;

const NO_BYTES = Buffer.alloc(0);

/** A frame whose end has not arrived. */
type PartialFrame =
  | { readonly kind: 'received'; readonly buffer: BodyBuffer; readonly length: number }
  | { readonly kind: 'dropped'; readonly missingBytes: number };

/**
 * TCP connection that carries frames, each behind its length. It replaces WebSocket, whose header,
 * masks and streams took a twentieth of the processor time of a node
 * (`docs/decisions/platform-path.md`).
 */
export class FrameConnection {
  readonly #socket: Socket;

  readonly #limits: FrameLimits;

  #isOpen: boolean;

  /** First bytes of a length that arrived in parts. */
  #lengthPart = NO_BYTES;

  #partial: PartialFrame | null = null;

  /**
   * @param socket - the socket, connected or not
   * @param limits - limit of the size of a frame
   */
  constructor(socket: Socket, limits: FrameLimits) {
    this.#socket = socket;
    this.#limits = limits;
    this.#isOpen = !socket.connecting;
    socket.setNoDelay(true);
  }

  /**
   * Opens a connection.
   *
   * @param address - `IP:port` of the other end
   * @param limits - limits of the connection and of its opening
   * @returns the connection, which reports when it is open
   */
  static open(address: string, { timeoutMs, maxFrameBytes }: ConnectLimits): FrameConnection {
    const portAt = address.lastIndexOf(':');
    const [host, port] = [address.slice(0, portAt), Number(address.slice(portAt + 1))];
    const socket = connectSocket({ host, port });
    const timer = setTimeout(() => socket.destroy(new Error('no connection in time')), timeoutMs);
    ['connect', 'close'].forEach((event) => socket.once(event, () => clearTimeout(timer)));
    return new FrameConnection(socket, { maxFrameBytes });
  }

  /** @returns whether frames can be sent */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** @returns the number of bytes received so far, also of unfinished frames */
  get receivedBytes(): number {
    return this.#socket.bytesRead;
  }

  /**
   * Starts to receive frames.
   *
   * @param handlers - handlers of what happens on the connection
   */
  start(handlers: FrameHandlers): void {
    const { onOpened, onClosed } = handlers;
    let reason = 'closed by the peer or the network';
    this.#socket.on('connect', () => {
      this.#isOpen = true;
      onOpened();
    });
    this.#socket.on('data', (chunk: Buffer) => this.#read(chunk, handlers));
    this.#socket.on('end', () => {
      this.#isOpen = false;
    });
    this.#socket.on('error', ({ message }) => {
      reason = message;
    });
    this.#socket.on('close', () => {
      this.#isOpen = false;
      onClosed(reason);
    });
  }

  /**
   * Sends a frame.
   *
   * @param frame - bytes of the frame, or of its first part
   * @param body - its other bytes, which are not copied
   * @param onWritten - called when the socket no longer needs the other bytes
   */
  send(frame: Uint8Array, body: Uint8Array = NO_BYTES, onWritten?: () => void): void {
    const isCopied = frame.length <= MAX_COPIED_BYTES;
    const head = Buffer.allocUnsafe(LENGTH_BYTES + (isCopied ? frame.length : 0));
    head.writeUInt32BE(frame.length + body.length);
    if (isCopied) head.set(frame, LENGTH_BYTES);
    if (isCopied && body.length === 0) {
      this.#socket.write(head);
      return;
    }
    this.#socket.cork();
    this.#socket.write(head);
    if (!isCopied) this.#socket.write(frame);
    if (body.length > 0) this.#socket.write(body, () => onWritten?.());
    this.#socket.uncork();
  }

  /** Closes the connection without sending what waits to be sent. */
  close(): void {
    this.#isOpen = false;
    this.#socket.destroy();
  }

  #read(chunk: Buffer, handlers: FrameHandlers): void {
    let at = 0;
    while (at < chunk.length && !this.#socket.destroyed) {
      at =
        this.#partial === null
          ? this.#readFrame(chunk, at, handlers)
          : this.#fill(this.#partial, chunk, at, handlers);
    }
  }

  /** Reads a frame from its length on, and returns where the next one begins. */
  #readFrame(chunk: Buffer, at: number, { onFrame, acceptsFrame }: FrameHandlers): number {
    const missing = LENGTH_BYTES - this.#lengthPart.length;
    if (chunk.length - at < missing) {
      this.#lengthPart = Buffer.concat([this.#lengthPart, chunk.subarray(at)]);
      return chunk.length;
    }
    const length =
      this.#lengthPart.length === 0
        ? chunk.readUInt32BE(at)
        : Buffer.concat([this.#lengthPart, chunk.subarray(at, at + missing)]).readUInt32BE();
    this.#lengthPart = NO_BYTES;
    const start = at + missing;
    if (length > this.#limits.maxFrameBytes) {
      this.#socket.destroy(new Error(`frame of ${length} bytes`));
      return chunk.length;
    }
    const end = start + length;
    if (end <= chunk.length) {
      onFrame(chunk.subarray(start, end));
      return end;
    }
    this.#partial =
      acceptsFrame?.(length) === false
        ? { kind: 'dropped', missingBytes: length }
        : { kind: 'received', buffer: new BodyBuffer(length), length };
    return start;
  }

  /** Adds bytes to an unfinished frame, and returns where the next one begins. */
  #fill(partial: PartialFrame, chunk: Buffer, at: number, handlers: FrameHandlers): number {
    switch (partial.kind) {
      case 'dropped': {
        const end = Math.min(chunk.length, at + partial.missingBytes);
        const missingBytes = partial.missingBytes - (end - at);
        this.#partial = missingBytes === 0 ? null : { kind: 'dropped', missingBytes };
        if (missingBytes === 0) handlers.onDropped?.();
        return end;
      }
      case 'received': {
        const { buffer, length } = partial;
        const end = Math.min(chunk.length, at + length - buffer.length);
        buffer.add(chunk.subarray(at, end));
        if (buffer.length === length) {
          this.#partial = null;
          handlers.onFrame(buffer.take());
        }
        return end;
      }
    }
  }
}
