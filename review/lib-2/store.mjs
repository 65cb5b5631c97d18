// Stand-in for the metadata store of the platform: one revision counter, pages, and watches.
import { createServer } from 'node:http';

const PAGE_ITEMS = 500;

function answer(response, status, value) {
  const text = value === undefined ? '' : JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

export class Store {
  #revision = 1;

  #items = new Map();

  #history = [];

  #watches = new Set();

  constructor() {
    this.server = createServer((request, response) => this.#handle(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  /** Opens a further address, whose callers get no answer while `isSilent` says so. */
  createDoor(isSilent) {
    const server = createServer((request, response) => {
      if (!isSilent()) this.#handle(request, response);
    });
    server.keepAliveTimeout = 60_000;
    return server;
  }

  get revision() {
    return this.#revision;
  }

  has(key) {
    return this.#items.has(key);
  }

  put(key, value) {
    this.#revision += 1;
    const item = {
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
      rev: this.#revision,
      createRevision: this.#items.get(key)?.createRevision ?? this.#revision,
      lease: 0,
    };
    this.#items.set(key, item);
    this.#record(item);
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#record({ key, rev: this.#revision, tombstone: true });
  }

  #record(event) {
    this.#history.push(event);
    [...this.#watches].forEach((watch) => watch.answerIfDue());
  }

  #handle(request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const prefix = searchParams.get('prefix') ?? '';
    if (pathname === '/kv-key') {
      const item = this.#items.get(searchParams.get('key'));
      if (item === undefined) answer(response, 404);
      else answer(response, 200, { ...item, asOf: this.#revision });
    } else if (pathname === '/kv-range') {
      const after = searchParams.get('after') ?? '';
      const items = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      answer(response, 200, {
        items: items.slice(0, PAGE_ITEMS),
        hasMore: items.length > PAGE_ITEMS,
        asOf: this.#revision,
      });
    } else if (pathname === '/kv-watch') this.#watch(prefix, searchParams, response);
    else answer(response, 404);
  }

  #watch(prefix, searchParams, response) {
    const after = Number(searchParams.get('after'));
    let timer = null;
    const watch = {
      answerIfDue: () => {
        const events = this.#history.filter(
          ({ key, rev }) => rev > after && key.startsWith(prefix),
        );
        if (events.length > 0) watch.end(events);
      },
      end: (events) => {
        this.#watches.delete(watch);
        clearTimeout(timer);
        answer(response, 200, { events, asOf: this.#revision });
      },
    };
    response.on('close', () => {
      this.#watches.delete(watch);
      clearTimeout(timer);
    });
    this.#watches.add(watch);
    timer = setTimeout(() => watch.end([]), Number(searchParams.get('waitMs') ?? 0));
    watch.answerIfDue();
  }
}
