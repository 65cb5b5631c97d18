import { createServer, type Server, type ServerResponse } from 'node:http';
import { answerJson } from './process.js';

/** How the stand-in treats the calls that reach it. */
export type StoreMode =
  | { readonly kind: 'well' }
  /** Answers with a status such as 429 or 503. */
  | { readonly kind: 'refusing'; readonly status: number }
  /** Takes calls and answers none. */
  | { readonly kind: 'silent' }
  /** Closes the connection of each call without an answer. */
  | { readonly kind: 'losing' };

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

/** The platform's metadata store, as far as nodes use it. */
export class PlatformStore {
  readonly server: Server;

  /** Calls that came, by path. */
  readonly callsByPath = new Map<string, number>();

  mode: StoreMode = { kind: 'well' };

  /** Items of one page of a listing. */
  pageSize = DEFAULT_PAGE_ITEMS;

  #revision = 1;

  /** Revisions up to this one are no longer in the history. */
  #compactedRevision = 0;

  readonly #items = new Map<string, StoreItem>();

  readonly #history: StoreItem[] = [];

  #watches: readonly PendingWatch[] = [];

  constructor() {
    this.server = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://store');
      this.callsByPath.set(url.pathname, (this.callsByPath.get(url.pathname) ?? 0) + 1);
      this.#handleRequest(url, response);
    });
  }

  /**
   * Writes a value as the operator or a backend server does.
   *
   * @param key - its key
   * @param value - a JSON value, or text that is written as it is
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
   * Removes a value.
   *
   * @param key - its key
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

  /** Drops the history, so that watches from before get 410. */
  compact(): void {
    this.#compactedRevision = this.#revision;
    this.#history.length = 0;
  }

  /** Ends all waiting watches without an answer. */
  closeWatches(): void {
    this.#watches.forEach(({ response }) => response.destroy());
    this.#watches = [];
  }

  #recordChange(item: StoreItem): void {
    this.#history.push(item);
    const waiting = this.#watches;
    this.#watches = [];
    waiting.forEach((watch) => this.#answerWatch(watch));
  }

  #handleRequest(url: URL, response: ServerResponse): void {
    switch (this.mode.kind) {
      case 'refusing':
        answerJson(response, this.mode.status);
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
        answerJson(response, 404);
    }
  }

  #answerRange(prefix: string, after: string, response: ServerResponse): void {
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    answerJson(response, 200, {
      items: items.slice(0, this.pageSize),
      hasMore: items.length > this.pageSize,
      asOf: this.#revision,
    });
  }

  #startWatch(watch: PendingWatch, waitMs: number): void {
    if (watch.after < this.#compactedRevision) {
      answerJson(watch.response, 410);
      return;
    }
    this.#answerWatch(watch);
    setTimeout(() => {
      if (!this.#watches.includes(watch)) return;
      this.#watches = this.#watches.filter((other) => other !== watch);
      answerJson(watch.response, 200, { events: [], asOf: this.#revision });
    }, waitMs).unref();
  }

  #answerWatch(watch: PendingWatch): void {
    const events = this.#history.filter(
      ({ key, rev }) => rev > watch.after && key.startsWith(watch.prefix),
    );
    if (events.length === 0) this.#watches = [...this.#watches, watch];
    else answerJson(watch.response, 200, { events, asOf: this.#revision });
  }
}
