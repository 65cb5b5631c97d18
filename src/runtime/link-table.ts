import { createServer as createHttpServer, type Server } from 'node:http';
import { createServer as createHttpsServer } from 'node:https';
import { WebSocket, WebSocketServer } from 'ws';
import type { Identity } from '../core/membership/handshake.js';
import type { Call } from '../core/model/call.js';
import type { BackendServerName } from '../core/model/names.js';
import type { PeerMessage } from '../core/model/peer-message.js';
import type { Clock } from '../core/model/time.js';
import type { Attempt } from '../core/pipeline/next-attempt.js';
import type { LinkSocket, Environment } from './environment.js';
import type { ByteCounter } from './peer-socket.js';
import type { TlsMaterial } from './tls-material.js';
import { PeerLink, type HeartbeatContent, type LinkEvent } from './peer-link.js';

/** Events of the link table. An answer to an event is sent over its `link`. */
export type LinkTableEvent =
  | { readonly kind: 'link'; readonly event: LinkEvent; readonly link: PeerLink }
  /** No connection to the peer's address could be opened. */
  | { readonly kind: 'connect-failed'; readonly peer: BackendServerName };

/** Options of the link table. */
export interface LinkTableOptions {
  readonly identity: Identity;
  readonly secret: string;
  readonly tls: TlsMaterial | null;
  readonly maxFrameBytes: number;
  readonly openLink: Environment['openLink'];
  readonly clock: Clock;
  readonly countBytes: ByteCounter;
  readonly heartbeat: () => HeartbeatContent;
  readonly onEvent: (event: LinkTableEvent) => void;
}

interface Target {
  readonly peer: BackendServerName;
  readonly address: string;
}

const CONNECT_TIMEOUT_MS = 1000;

function createPeerServer(tls: TlsMaterial | null): Server {
  if (tls === null) return createHttpServer();
  return createHttpsServer({ ...tls, requestCert: true, rejectUnauthorized: true });
}

/** Owns the peer listener and all links to other nodes. */
export class LinkTable {
  readonly #options: LinkTableOptions;

  readonly #server: Server;

  readonly #webSocketServer: WebSocketServer;

  readonly #links = new Set<PeerLink>();

  /** Ready links by peer, newest last. */
  readonly #readyLinks = new Map<BackendServerName, readonly PeerLink[]>();

  /**
   * @param options - identity of this node, secret, TLS files, clock and event handler
   */
  constructor(options: LinkTableOptions) {
    this.#options = options;
    this.#server = createPeerServer(options.tls);
    this.#webSocketServer = new WebSocketServer({
      server: this.#server,
      maxPayload: options.maxFrameBytes,
      perMessageDeflate: false,
    });
    this.#webSocketServer.on('connection', (socket) => this.accept(socket));
    this.#webSocketServer.on('error', () => {});
  }

  /** @returns the HTTP server that accepts links */
  get server(): Server {
    return this.#server;
  }

  /** @returns the names of the peers with a ready link */
  get peers(): readonly BackendServerName[] {
    return [...this.#readyLinks.keys()];
  }

  /**
   * Opens a link to a peer.
   *
   * @param peer - name of the node that is expected at the address
   * @param address - its peer address, `IP:port`
   */
  connect(peer: BackendServerName, address: string): void {
    this.#addLink((this.#options.openLink ?? this.#openWebSocket)(address), { peer, address });
  }

  /**
   * Accepts a connection that another node opened.
   *
   * @param socket - the connection
   */
  accept(socket: LinkSocket): void {
    this.#addLink(socket, null);
  }

  /**
   * Closes the links that this node opened to a peer; links that the peer opened stay open.
   *
   * @param peer - the peer
   */
  disconnect(peer: BackendServerName): void {
    [...this.#links]
      .filter((link) => link.peer?.node === peer && link.address !== null)
      .forEach((link) => {
        link.close();
      });
  }

  /**
   * Sends a message over the newest ready link.
   *
   * @param peer - the peer
   * @param message - the message
   * @returns false if no link is ready and nothing was sent
   */
  send(peer: BackendServerName, message: PeerMessage): boolean {
    return this.#newestLink(peer)?.send(message) ?? false;
  }

  /**
   * Sends a message to all peers with a ready link.
   *
   * @param message - the message
   */
  broadcast(message: PeerMessage): void {
    this.peers.forEach((peer) => this.send(peer, message));
  }

  /**
   * Sends a call over the newest ready link.
   *
   * @param peer - the peer
   * @param call - the call
   * @param orderId - identifier of the order if the peer is its home, null otherwise
   * @returns the outcome of the attempt
   */
  async call(peer: BackendServerName, call: Call, orderId: string | null): Promise<Attempt> {
    const link = this.#newestLink(peer);
    return link === undefined ? { kind: 'unsent' } : link.call(call, orderId);
  }

  /**
   * Cancels a call at a peer.
   *
   * @param peer - the peer
   * @param requestId - identifier of the call
   */
  cancel(peer: BackendServerName, requestId: string): void {
    this.#readyLinks.get(peer)?.forEach((link) => {
      link.cancel(requestId);
    });
  }

  /** @returns the number of calls on all links that wait for an answer */
  get outstandingCount(): number {
    return [...this.#links].reduce((sum, link) => sum + link.outstandingCount, 0);
  }

  /** Closes the listener, and all links with a closing handshake. */
  async close(): Promise<void> {
    this.#links.forEach((link) => {
      link.close();
    });
    this.#webSocketServer.close();
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  readonly #openWebSocket = (address: string): LinkSocket => {
    const { tls, maxFrameBytes } = this.#options;
    return new WebSocket(`${tls === null ? 'ws' : 'wss'}://${address}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: maxFrameBytes,
      perMessageDeflate: false,
      ...tls,
    });
  };

  #newestLink(peer: BackendServerName): PeerLink | undefined {
    return this.#readyLinks.get(peer)?.at(-1);
  }

  #addLink(socket: LinkSocket, target: Target | null): void {
    const { identity, secret, clock, countBytes, heartbeat } = this.#options;
    const link = new PeerLink({
      socket,
      role: target === null ? 'listener' : 'opener',
      address: target?.address ?? null,
      identity,
      secret,
      clock,
      countBytes,
      heartbeat,
      onEvent: (event, source) => this.#handleLinkEvent(event, source, target),
    });
    this.#links.add(link);
  }

  #handleLinkEvent(event: LinkEvent, link: PeerLink, target: Target | null): void {
    switch (event.kind) {
      case 'opened': {
        const { node } = event.identity;
        this.#readyLinks.set(node, [...(this.#readyLinks.get(node) ?? []), link]);
        this.#options.onEvent({ kind: 'link', event, link });
        break;
      }
      case 'closed':
        this.#handleClosed(event, link, target);
        break;
      case 'message':
      case 'late-answer':
      case 'silent':
      case 'frame-invalid':
      case 'handshake-failed':
        this.#options.onEvent({ kind: 'link', event, link });
        break;
    }
  }

  #handleClosed(
    event: Extract<LinkEvent, { kind: 'closed' }>,
    link: PeerLink,
    target: Target | null,
  ): void {
    this.#links.delete(link);
    const peer = event.identity?.node ?? null;
    if (peer === null) {
      if (target !== null) this.#options.onEvent({ kind: 'connect-failed', peer: target.peer });
      return;
    }
    const others = (this.#readyLinks.get(peer) ?? []).filter((other) => other !== link);
    const remaining = others.at(-1);
    if (remaining !== undefined && event.identity !== null) {
      this.#readyLinks.set(peer, others);
      // Membership tracks the address of the connection that remains.
      const reopened = { kind: 'opened', identity: event.identity } as const;
      this.#options.onEvent({ kind: 'link', event: reopened, link: remaining });
      return;
    }
    this.#readyLinks.delete(peer);
    this.#options.onEvent({ kind: 'link', event, link });
  }
}
