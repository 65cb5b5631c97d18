import { createServer } from 'node:http';
import { WebSocket, WebSocketServer } from 'ws';
import type { MeshFrame } from '../core/exchange/mesh-frame.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import { MeshLink, type MeshLinkEvent } from './mesh-link.js';

/** What the mesh tells its node. */
export type MeshEvent =
  | { readonly kind: 'frame'; readonly frame: MeshFrame; readonly link: MeshLink }
  | { readonly kind: 'link-opened'; readonly address: string }
  | { readonly kind: 'link-lost'; readonly address: string; readonly reason: string }
  | { readonly kind: 'frame-invalid'; readonly reason: string }
  /** A link that a peer opened has closed; its calls have nobody who waits. */
  | { readonly kind: 'caller-lost'; readonly link: MeshLink };

/** What the mesh needs. */
export interface MeshTaskOptions {
  readonly node: string;
  /** Own peer address, told to the peers. */
  readonly address: string;
  readonly clock: Clock;
  readonly maxFrameBytes: number;
  readonly onEvent: (event: MeshEvent) => void;
}

interface Outgoing {
  readonly link: MeshLink;
  /** Resolves when the link is open or has failed. */
  readonly ready: Promise<void>;
}

const CHECK_INTERVAL_MS: Milliseconds = 200;

/** A host without power does not answer at all, so an attempt to connect has to end by itself. */
const CONNECT_TIMEOUT_MS: Milliseconds = 600;

/** Pause after a failed attempt. */
const RECONNECT_PAUSE_MS: Milliseconds = 400;

/** Links without use are closed, so that their number does not grow with the fleet. */
const IDLE_LIMIT_MS: Milliseconds = 30_000;
const INCOMING_IDLE_LIMIT_MS: Milliseconds = 60_000;

/**
 * A mask of zeros leaves the bytes of a frame as they are. Masks protect caches between browsers
 * and servers; on a link between two nodes they only cost a copy of each body.
 */
function leaveUnmasked(mask: Buffer): void {
  mask.fill(0);
}

/** Owner of the connections to other nodes. */
export class MeshTask {
  readonly #options: MeshTaskOptions;

  readonly #outgoing = new Map<string, Outgoing>();

  readonly #incoming = new Set<MeshLink>();

  readonly #failedAt = new Map<string, Instant>();

  readonly #ticker: NodeJS.Timeout;

  readonly server = createServer((_request, response) => {
    response.writeHead(426).end();
  });

  /**
   * @param options - own address, clock and the node's handler
   */
  constructor(options: MeshTaskOptions) {
    this.#options = options;
    const sockets = new WebSocketServer({
      server: this.server,
      perMessageDeflate: false,
      maxPayload: options.maxFrameBytes,
      skipUTF8Validation: true,
    });
    sockets.on('connection', (socket) => this.#accept(socket));
    // An error of the listening socket reaches the HTTP server, whose owner handles it.
    sockets.on('error', () => {});
    this.#ticker = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  /**
   * Finds the link to a peer, and opens one when there is none.
   *
   * @param address - the peer's address
   * @returns the link once it is open, or null when the peer cannot be reached now
   */
  async reach(address: string): Promise<MeshLink | null> {
    const found = this.#outgoing.get(address);
    if (found?.link.isOpen === true) return found.link;
    if (found === undefined && !this.#mayConnect(address)) return null;
    const outgoing = found ?? this.#connect(address);
    await outgoing.ready;
    return outgoing.link.isOpen ? outgoing.link : null;
  }

  /**
   * @param address - a peer's address
   * @returns the open link to the peer, or null
   */
  openLink(address: string): MeshLink | null {
    const link = this.#outgoing.get(address)?.link;
    return link?.isOpen === true ? link : null;
  }

  /**
   * @param address - a peer's address
   * @returns whether the last attempt to reach the peer failed a moment ago
   */
  isUnreachable(address: string): boolean {
    return !this.#mayConnect(address);
  }

  /**
   * @param link - a link that this node opened
   * @returns address of its peer, or null for other links
   */
  addressOf(link: MeshLink): string | null {
    const found = [...this.#outgoing].find(([, outgoing]) => outgoing.link === link);
    return found?.[0] ?? null;
  }

  /**
   * Sends a message to a peer, opening a link when needed. It may get lost.
   *
   * @param address - the peer's address
   * @param frame - the message
   */
  tell(address: string, frame: MeshFrame): void {
    const open = this.openLink(address);
    if (open !== null) {
      open.send(frame);
      return;
    }
    void this.reach(address).then((link) => link?.send(frame));
  }

  /**
   * Sends a message over every open link, in both directions.
   *
   * @param frame - the message
   */
  tellAll(frame: MeshFrame): void {
    this.#outgoing.forEach(({ link }) => link.send(frame));
    this.#incoming.forEach((link) => link.send(frame));
  }

  /** @returns the number of open links */
  get size(): number {
    return this.#outgoing.size + this.#incoming.size;
  }

  /** Closes all connections. */
  close(): void {
    clearInterval(this.#ticker);
    this.#outgoing.forEach(({ link }) => link.close());
    this.#incoming.forEach((link) => link.close());
    this.server.close();
  }

  #mayConnect(address: string): boolean {
    const failedAt = this.#failedAt.get(address);
    return failedAt === undefined || this.#options.clock.now() - failedAt >= RECONNECT_PAUSE_MS;
  }

  #connect(address: string): Outgoing {
    const { clock, maxFrameBytes } = this.#options;
    const socket = new WebSocket(`ws://${address}/`, {
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: maxFrameBytes,
      skipUTF8Validation: true,
      generateMask: leaveUnmasked,
    });
    let settle = (): void => {};
    const ready = new Promise<void>((resolve) => {
      settle = resolve;
    });
    const link = new MeshLink({
      socket,
      clock,
      onEvent: (event) => {
        if (event.kind === 'opened' || event.kind === 'closed') settle();
        this.#receive(event, link, address);
      },
    });
    const outgoing: Outgoing = { link, ready };
    this.#outgoing.set(address, outgoing);
    return outgoing;
  }

  /** Handles an event of a link; `address` is null for a link that a peer opened. */
  #receive(event: MeshLinkEvent, link: MeshLink, address: string | null): void {
    const { onEvent } = this.#options;
    switch (event.kind) {
      case 'opened':
        if (address !== null) this.#opened(link, address);
        break;
      case 'frame':
        onEvent({ kind: 'frame', frame: event.frame, link });
        break;
      case 'invalid':
        onEvent({ kind: 'frame-invalid', reason: event.reason });
        break;
      case 'closed':
        if (address === null) {
          this.#incoming.delete(link);
          onEvent({ kind: 'caller-lost', link });
        } else this.#closed(link, address, event);
        break;
    }
  }

  #opened(link: MeshLink, address: string): void {
    const { onEvent, node, address: own } = this.#options;
    this.#failedAt.delete(address);
    link.send({ kind: 'hello', node, address: own });
    onEvent({ kind: 'link-opened', address });
  }

  #closed(
    link: MeshLink,
    address: string,
    { reason, isFault }: Extract<MeshLinkEvent, { readonly kind: 'closed' }>,
  ): void {
    if (this.#outgoing.get(address)?.link === link) this.#outgoing.delete(address);
    if (!isFault) return;
    const { onEvent, clock } = this.#options;
    this.#failedAt.set(address, clock.now());
    onEvent({ kind: 'link-lost', address, reason });
  }

  #accept(socket: WebSocket): void {
    const link: MeshLink = new MeshLink({
      socket,
      clock: this.#options.clock,
      onEvent: (event) => this.#receive(event, link, null),
    });
    this.#incoming.add(link);
  }

  #check(): void {
    const now = this.#options.clock.now();
    this.#outgoing.forEach(({ link }) => {
      link.check();
      if (link.waiting === 0 && now - link.usedAt > IDLE_LIMIT_MS) link.close();
    });
    this.#incoming.forEach((link) => {
      if (now - link.usedAt > INCOMING_IDLE_LIMIT_MS) link.close();
    });
  }
}
