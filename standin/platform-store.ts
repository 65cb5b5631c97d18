import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { answerJson } from './process.js';

/** How the stand-in answers requests. */
export type StoreMode =
  | { readonly kind: 'well' }
  /** Answers each request with an error status such as 429 or 503. */
  | { readonly kind: 'refusing'; readonly status: number }
  /** Accepts requests without answering them. */
  | { readonly kind: 'silent' }
  /** Closes the connection of each request without an answer. */
  | { readonly kind: 'losing' };

/** Further address of the stand-in, for hosts that it can turn away while it serves the others. */
export interface StoreDoor {
  readonly server: Server;
  isSilent: boolean;
  /** Called before a request is answered. */
  onRequest: () => void;
}

interface StoreItem {
  readonly key: string;
  readonly rev: number;
  readonly createRevision: number;
  readonly lease: number;
  readonly value?: string;
  readonly tombstone?: boolean;
}

interface PendingWatch {
  readonly after: number;
  readonly prefix: string;
  readonly response: ServerResponse;
}

const DEFAULT_PAGE_ITEMS = 500;

/** Stand-in for the platform's metadata store, with the operations that nodes use. */
export class PlatformStore {
  readonly server: Server;

  /** Number of received requests by path. */
  readonly callsByPath = new Map<string, number>();

  mode: StoreMode = { kind: 'well' };

  /** Maximum number of items in one page of a listing. */
  pageSize = DEFAULT_PAGE_ITEMS;

  /** Connections whose requests are accepted and never answered. */
  readonly #heldConnections = new WeakSet<Socket>();

  #lastConnection: Socket | null = null;

  readonly #openConnections = new Set<Socket>();

  #revision = 1;

  /** Number of times that the store came back from an older copy. */
  #era = 0;

  /** Revisions up to this one have been removed from the history. */
  #compactedRevision = 0;

  readonly #items = new Map<string, StoreItem>();

  readonly #history: StoreItem[] = [];

  #watches: readonly PendingWatch[] = [];

  constructor() {
    this.server = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://store');
      this.callsByPath.set(url.pathname, (this.callsByPath.get(url.pathname) ?? 0) + 1);
      if (this.#heldConnections.has(request.socket)) return;
      this.#lastConnection = request.socket;
      this.#handleRequest(url, response);
    });
    this.server.on('connection', (socket: Socket) => {
      this.#openConnections.add(socket);
      socket.once('close', () => this.#openConnections.delete(socket));
    });
  }

  /**
   * Creates a further address of the stand-in.
   *
   * @returns a server that does not listen yet, and its switches
   */
  createDoor(): StoreDoor {
    const server = createServer();
    const door: StoreDoor = { server, isSilent: false, onRequest: () => {} };
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      if (door.isSilent) return;
      door.onRequest();
      this.#handleRequest(new URL(request.url ?? '/', 'http://store'), response);
    });
    return door;
  }

  /** @returns the number of open connections */
  get connectionCount(): number {
    return this.#openConnections.size;
  }

  /**
   * Writes a value on behalf of an operator or a backend server.
   *
   * @param key - key of the value
   * @param value - a JSON value, or a string that is stored unchanged
   * @returns the revision of the write
   */
  put(key: string, value: unknown): number {
    this.#revision += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const createRevision = this.#items.get(key)?.createRevision ?? this.#revision;
    const item: StoreItem = {
      key,
      rev: this.#revision,
      createRevision,
      lease: 0,
      value: Buffer.from(text).toString('base64'),
    };
    this.#items.set(key, item);
    this.#recordChange(item);
    return this.#revision;
  }

  /**
   * Removes a value, if it exists.
   *
   * @param key - key of the value
   */
  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#recordChange({
      key,
      rev: this.#revision,
      createRevision: 0,
      lease: 0,
      tombstone: true,
    });
  }

  /**
   * Brings the store back as it was at a revision. Later revisions are given out again.
   *
   * @param revision - revision of the copy
   */
  restore(revision: number): void {
    const kept = this.#history.filter(({ rev }) => rev <= revision);
    this.#history.splice(0, this.#history.length, ...kept);
    this.#items.clear();
    kept.forEach((item) => {
      if (item.tombstone === true) this.#items.delete(item.key);
      else this.#items.set(item.key, item);
    });
    this.#revision = revision;
    this.#era += 1;
    this.closeWatches();
  }

  /** Removes the history, so that watches from an earlier revision are answered with 410. */
  compact(): void {
    this.#compactedRevision = this.#revision;
    this.#history.length = 0;
  }

  /** Answers nothing more on the connection that was used last, also what waits there. */
  holdLastConnection(): void {
    if (this.#lastConnection !== null) this.#holdConnection(this.#lastConnection);
  }

  /** Answers nothing more on all connections that are open now; new connections work. */
  silenceConnections(): void {
    this.#openConnections.forEach((socket) => this.#holdConnection(socket));
  }

  /** Closes the connections of all pending watches without an answer. */
  closeWatches(): void {
    this.#watches.forEach(({ response }) => response.destroy());
    this.#watches = [];
  }

  #holdConnection(socket: Socket): void {
    this.#heldConnections.add(socket);
    this.#watches = this.#watches.filter(({ response }) => response.req.socket !== socket);
  }

  #recordChange(item: StoreItem): void {
    this.#history.push(item);
    const waiting = this.#watches;
    this.#watches = [];
    waiting.forEach((watch) => this.#answerWatch(watch));
  }

  #answer(response: ServerResponse, status: number, value?: unknown): void {
    answerJson(response, status, value, { 'store-era': String(this.#era) });
  }

  #handleRequest(url: URL, response: ServerResponse): void {
    switch (this.mode.kind) {
      case 'refusing':
        this.#answer(response, this.mode.status);
        return;
      case 'silent':
        return;
      case 'losing':
        response.destroy();
        return;
      case 'well':
        break;
    }
    const prefix = url.searchParams.get('prefix') ?? '';
    switch (url.pathname) {
      case '/kv-range':
        this.#answerRange(prefix, url.searchParams.get('after') ?? '', response);
        break;
      case '/kv-watch': {
        const after = Number(url.searchParams.get('after'));
        const waitMs = Number(url.searchParams.get('waitMs'));
        this.#startWatch({ after, prefix, response }, waitMs);
        break;
      }
      default:
        this.#answer(response, 404);
    }
  }

  #answerRange(prefix: string, after: string, response: ServerResponse): void {
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    this.#answer(response, 200, {
      items: items.slice(0, this.pageSize),
      hasMore: items.length > this.pageSize,
      asOf: this.#revision,
    });
  }

  #startWatch(watch: PendingWatch, waitMs: number): void {
    if (watch.after < this.#compactedRevision || watch.after > this.#revision) {
      this.#answer(watch.response, 410);
      return;
    }
    this.#answerWatch(watch);
    setTimeout(() => {
      if (!this.#watches.includes(watch)) return;
      this.#watches = this.#watches.filter((other) => other !== watch);
      this.#answer(watch.response, 200, { events: [], asOf: this.#revision });
    }, waitMs).unref();
  }

  #answerWatch(watch: PendingWatch): void {
    const events = this.#history.filter(
      ({ key, rev }) => rev > watch.after && key.startsWith(watch.prefix),
    );
    if (events.length === 0) this.#watches = [...this.#watches, watch];
    else this.#answer(watch.response, 200, { events, asOf: this.#revision });
  }
}
