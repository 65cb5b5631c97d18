import { createServer } from 'node:net';
import type { MeshCall } from '../core/exchange/mesh-call.js';
import type { CallNumber, MeshFrame } from '../core/exchange/mesh-frame.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import { FrameConnection } from './frame-connection.js';
import type { HeldBodies } from './held-bodies.js';
import type { LateCalls } from './late-call-filter.js';
import { MeshLink, type MeshLinkEvent } from './mesh-link.js';
import type { ReadBarrier } from './read-barrier.js';

/** Event that the mesh reports to its node. */
export type MeshEvent =
  | { readonly kind: 'frame'; readonly frame: MeshFrame; readonly link: MeshLink }
  /** A call was dropped as it arrived, since there is no room for its body. */
  | {
      readonly kind: 'call-dropped';
      readonly number: CallNumber;
      readonly call: MeshCall;
      readonly link: MeshLink;
    }
  | { readonly kind: 'link-opened'; readonly address: string; readonly link: MeshLink }
  | { readonly kind: 'link-lost'; readonly address: string; readonly reason: string }
  | { readonly kind: 'frame-invalid'; readonly reason: string }
  /** Calls of a peer arrived late, and have been cancelled or passed on. */
  | { readonly kind: 'calls-late'; readonly late: LateCalls; readonly link: MeshLink }
  /** A link that a peer opened was closed, so the replies to its calls cannot be delivered. */
  | { readonly kind: 'incoming-link-closed'; readonly link: MeshLink };

/** Dependencies of the mesh. */
export interface MeshTaskOptions {
  readonly node: string;
  /** Own peer address, sent to each peer in the first frame. */
  readonly address: string;
  readonly clock: Clock;
  readonly maxFrameBytes: number;
  /** Delays the echo of a ping until the departures of callers that are readable have been read. */
  readonly readBarrier: ReadBarrier;
  /** Counts the bodies of frames. */
  readonly bodies: HeldBodies;
  readonly onEvent: (event: MeshEvent) => void;
}

interface OutgoingLink {
  readonly link: MeshLink;
  /** Resolves when the link is open or the attempt has failed. */
  readonly ready: Promise<void>;
}

/** Limit of the length of a frame, which is twice that of the largest body on the platform. */
export const MAX_FRAME_BYTES = 134_217_728;

const CHECK_INTERVAL_MS: Milliseconds = 200;

/** Timeout of a connection attempt; a host without power sends no refusal. */
const CONNECT_TIMEOUT_MS: Milliseconds = 600;

/** Time after a failed attempt or a lost link during which no new attempt is made. */
const RECONNECT_DELAY_MS: Milliseconds = 400;

/** Idle links are closed, so that the number of links does not grow with the fleet. */
const IDLE_TIMEOUT_MS: Milliseconds = 30_000;
const INCOMING_IDLE_TIMEOUT_MS: Milliseconds = 60_000;

/** Owns the connections to other nodes. */
export class MeshTask {
  readonly #options: MeshTaskOptions;

  readonly #outgoing = new Map<string, OutgoingLink>();

  readonly #incoming = new Set<MeshLink>();

  readonly #failedAt = new Map<string, Instant>();

  readonly #ticker: NodeJS.Timeout;

  readonly server = createServer();

  /**
   * @param options - own name and address, clock, frame size limit and the node's event handler
   */
  constructor(options: MeshTaskOptions) {
    this.#options = options;
    const { maxFrameBytes } = options;
    this.server.on('connection', (socket) =>
      this.#accept(new FrameConnection(socket, { maxFrameBytes })),
    );
    this.#ticker = setInterval(() => this.#checkLinks(), CHECK_INTERVAL_MS);
  }

  /**
   * Finds the link to a peer, or opens one.
   *
   * @param address - the peer's address
   * @returns the open link, or null when the connection fails or failed within `RECONNECT_DELAY_MS`
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
   * Finds the link to a peer without opening one.
   *
   * @param address - the peer's address
   * @returns the open link to the peer, or null when there is none
   */
  findOpenLink(address: string): MeshLink | null {
    const link = this.#outgoing.get(address)?.link;
    return link?.isOpen === true ? link : null;
  }

  /**
   * Checks whether a connection to a peer failed recently.
   *
   * @param address - the peer's address
   * @returns whether the last failure is less than `RECONNECT_DELAY_MS` ago
   */
  isUnreachable(address: string): boolean {
    return !this.#canConnect(address);
  }

  /**
   * Checks whether the last connection to a peer failed and none was opened since.
   *
   * @param address - the peer's address
   * @returns whether the peer has not been reached since the failure
   */
  hasFailed(address: string): boolean {
    return this.#failedAt.has(address);
  }

  /**
   * Finds the peer at the other end of a link.
   *
   * @param link - the link
   * @returns the address of the peer, or null when this node did not open the link
   */
  addressOf(link: MeshLink): string | null {
    const match = [...this.#outgoing].find(([, outgoing]) => outgoing.link === link);
    return match?.[0] ?? null;
  }

  /**
   * Sends a message to a peer, opening a link when needed. Delivery is not guaranteed.
   *
   * @param address - the peer's address
   * @param frame - the message
   */
  sendFrame(address: string, frame: MeshFrame): void {
    const openLink = this.findOpenLink(address);
    if (openLink !== null) {
      openLink.send(frame);
      return;
    }
    void this.findOrOpenLink(address).then((link) => link?.send(frame));
  }

  /**
   * Sends a message over every open link, whichever end opened it.
   *
   * @param frame - the message
   */
  broadcast(frame: MeshFrame): void {
    this.#outgoing.forEach(({ link }) => link.send(frame));
    this.#incoming.forEach((link) => link.send(frame));
  }

  /** @returns the number of links, including those that are being opened */
  get linkCount(): number {
    return this.#outgoing.size + this.#incoming.size;
  }

  /** Closes all links and the listening socket. */
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
    const { clock, maxFrameBytes, readBarrier, bodies } = this.#options;
    const connection = FrameConnection.open(address, {
      timeoutMs: CONNECT_TIMEOUT_MS,
      maxFrameBytes,
    });
    let resolveReady = (): void => {};
    const ready = new Promise<void>((resolve) => {
      resolveReady = resolve;
    });
    const link = new MeshLink({
      connection,
      clock,
      isOpener: true,
      readBarrier,
      bodies,
      onEvent: (event) => {
        if (event.kind === 'opened' || event.kind === 'closed') resolveReady();
        this.#handleLinkEvent(event, link, address);
      },
    });
    const outgoing: OutgoingLink = { link, ready };
    this.#outgoing.set(address, outgoing);
    return outgoing;
  }

  /** Handles an event of a link. `address` is null when a peer opened the link. */
  #handleLinkEvent(event: MeshLinkEvent, link: MeshLink, address: string | null): void {
    const { onEvent } = this.#options;
    switch (event.kind) {
      case 'opened':
        if (address !== null) this.#handleOpened(link, address);
        break;
      case 'frame':
        onEvent({ kind: 'frame', frame: event.frame, link });
        break;
      case 'call-dropped':
        onEvent({ ...event, link });
        break;
      case 'invalid':
        onEvent({ kind: 'frame-invalid', reason: event.reason });
        break;
      case 'calls-late':
        onEvent({ kind: 'calls-late', late: event.late, link });
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
    const { onEvent, node, address: own, clock } = this.#options;
    this.#failedAt.delete(address);
    link.send({ kind: 'hello', node, address: own, sentAt: clock.now() });
    onEvent({ kind: 'link-opened', address, link });
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

  #accept(connection: FrameConnection): void {
    const { clock, readBarrier, bodies } = this.#options;
    const link: MeshLink = new MeshLink({
      connection,
      clock,
      isOpener: false,
      readBarrier,
      bodies,
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
      link.checkLiveness();
      if (now - link.lastUsedAt > INCOMING_IDLE_TIMEOUT_MS) link.close();
    });
  }
}
