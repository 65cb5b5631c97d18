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
  | { readonly kind: 'incoming-link-closed'; readonly link: MeshLink };

/** What the mesh needs. */
export interface MeshTaskOptions {
  readonly node: string;
  /** Own peer address, told to the peers. */
  readonly address: string;
  readonly clock: Clock;
  readonly maxFrameBytes: number;
  readonly onEvent: (event: MeshEvent) => void;
}

interface OutgoingLink {
  readonly link: MeshLink;
  /** Resolves when the link is open or has failed. */
  readonly ready: Promise<void>;
}

const CHECK_INTERVAL_MS: Milliseconds = 200;

/** A host without power does not answer at all, so an attempt to connect has to end by itself. */
const CONNECT_TIMEOUT_MS: Milliseconds = 600;

/** Pause after a failed attempt. */
const RECONNECT_DELAY_MS: Milliseconds = 400;

/** Links without use are closed, so that their number does not grow with the fleet. */
const IDLE_TIMEOUT_MS: Milliseconds = 30_000;
const INCOMING_IDLE_TIMEOUT_MS: Milliseconds = 60_000;

/**
 * A mask of zeros leaves the bytes of a frame as they are. Masks protect caches between browsers
 * and servers; on a link between two nodes they only cost a copy of each body.
 */
function fillZeroMask(mask: Buffer): void {
  mask.fill(0);
}

/** Owner of the connections to other nodes. */
export class MeshTask {
  readonly #options: MeshTaskOptions;

  readonly #outgoing = new Map<string, OutgoingLink>();

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
    const webSocketServer = new WebSocketServer({
      server: this.server,
      perMessageDeflate: false,
      maxPayload: options.maxFrameBytes,
      skipUTF8Validation: true,
    });
    webSocketServer.on('connection', (socket) => this.#accept(socket));
    // An error of the listening socket reaches the HTTP server, whose owner handles it.
    webSocketServer.on('error', () => {});
    this.#ticker = setInterval(() => this.#checkLinks(), CHECK_INTERVAL_MS);
  }

  /**
   * Finds the link to a peer, and opens one when there is none.
   *
   * @param address - the peer's address
   * @returns the link once it is open, or null when the peer cannot be reached now
   */
  async findOrOpenLink(address: string): Promise<MeshLink | null> {
    const existing = this.#outgoing.get(address);
    if (existing?.link.isOpen === true) return existing.link;
    if (existing === undefined && !this.#canConnect(address)) return null;
    const outgoing = existing ?? this.#createLink(address);
    await outgoing.ready;
    return outgoing.link.isOpen ? outgoing.link : null;
  }

  /**
   * @param address - a peer's address
   * @returns the open link to the peer, or null
   */
  findOpenLink(address: string): MeshLink | null {
    const link = this.#outgoing.get(address)?.link;
    return link?.isOpen === true ? link : null;
  }

  /**
   * @param address - a peer's address
   * @returns whether the last attempt to reach the peer failed a moment ago
   */
  isUnreachable(address: string): boolean {
    return !this.#canConnect(address);
  }

  /**
   * @param link - a link that this node opened
   * @returns address of its peer, or null for other links
   */
  addressOf(link: MeshLink): string | null {
    const match = [...this.#outgoing].find(([, outgoing]) => outgoing.link === link);
    return match?.[0] ?? null;
  }

  /**
   * Sends a message to a peer, opening a link when needed. It may get lost.
   *
   * @param address - the peer's address
   * @param frame - the message
   */
  tell(address: string, frame: MeshFrame): void {
    const openLink = this.findOpenLink(address);
    if (openLink !== null) {
      openLink.send(frame);
      return;
    }
    void this.findOrOpenLink(address).then((link) => link?.send(frame));
  }

  /**
   * Sends a message over every open link, in both directions.
   *
   * @param frame - the message
   */
  broadcast(frame: MeshFrame): void {
    this.#outgoing.forEach(({ link }) => link.send(frame));
    this.#incoming.forEach((link) => link.send(frame));
  }

  /** @returns the number of open links */
  get linkCount(): number {
    return this.#outgoing.size + this.#incoming.size;
  }

  /** Closes all connections. */
  close(): void {
    clearInterval(this.#ticker);
    this.#outgoing.forEach(({ link }) => link.close());
    this.#incoming.forEach((link) => link.close());
    this.server.close();
  }

  #canConnect(address: string): boolean {
    const failedAt = this.#failedAt.get(address);
    return failedAt === undefined || this.#options.clock.now() - failedAt >= RECONNECT_DELAY_MS;
  }

  #createLink(address: string): OutgoingLink {
    const { clock, maxFrameBytes } = this.#options;
    const socket = new WebSocket(`ws://${address}/`, {
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: maxFrameBytes,
      skipUTF8Validation: true,
      generateMask: fillZeroMask,
    });
    let resolveReady = (): void => {};
    const ready = new Promise<void>((resolve) => {
      resolveReady = resolve;
    });
    const link = new MeshLink({
      socket,
      clock,
      onEvent: (event) => {
        if (event.kind === 'opened' || event.kind === 'closed') resolveReady();
        this.#handleLinkEvent(event, link, address);
      },
    });
    const outgoing: OutgoingLink = { link, ready };
    this.#outgoing.set(address, outgoing);
    return outgoing;
  }

  /** Handles an event of a link; `address` is null for a link that a peer opened. */
  #handleLinkEvent(event: MeshLinkEvent, link: MeshLink, address: string | null): void {
    const { onEvent } = this.#options;
    switch (event.kind) {
      case 'opened':
        if (address !== null) this.#handleOpened(link, address);
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
          onEvent({ kind: 'incoming-link-closed', link });
        } else this.#handleClosed(link, address, event);
        break;
    }
  }

  #handleOpened(link: MeshLink, address: string): void {
    const { onEvent, node, address: own } = this.#options;
    this.#failedAt.delete(address);
    link.send({ kind: 'hello', node, address: own });
    onEvent({ kind: 'link-opened', address });
  }

  #handleClosed(
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
      onEvent: (event) => this.#handleLinkEvent(event, link, null),
    });
    this.#incoming.add(link);
  }

  #checkLinks(): void {
    const now = this.#options.clock.now();
    this.#outgoing.forEach(({ link }) => {
      link.checkLiveness();
      if (link.pendingCalls === 0 && now - link.lastUsedAt > IDLE_TIMEOUT_MS) link.close();
    });
    this.#incoming.forEach((link) => {
      if (now - link.lastUsedAt > INCOMING_IDLE_TIMEOUT_MS) link.close();
    });
  }
}
