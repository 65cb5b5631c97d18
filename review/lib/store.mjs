import { createServer } from 'node:http';

/** Stand-in for the platform's metadata store; it holds everything in memory. */
export class Store {
  #revision = 1;

  #items = new Map();

  #history = [];

  #watches = new Set();

  #connections = new Set();

  #silent = new Set();

  constructor() {
    this.server = createServer((request, response) => this.#handle(request, response));
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', (socket) => {
      this.#connections.add(socket);
      socket.once('close', () => this.#connections.delete(socket));
    });
  }

  /** Writes a value and returns the revision of the write, which is its acknowledgement. */
  put(key, value) {
    this.#revision += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const createRevision = this.#items.get(key)?.createRevision ?? this.#revision;
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      rev: this.#revision,
      createRevision,
      lease: 0,
    };
    this.#items.set(key, item);
    this.#record(item);
    return this.#revision;
  }

  /** Removes a value and returns the revision of the removal. */
  remove(key) {
    if (!this.#items.delete(key)) return this.#revision;
    this.#revision += 1;
    this.#record({ key, rev: this.#revision, tombstone: true });
    return this.#revision;
  }

  /** Cuts the watches that wait, without an answer; returns how many there were. */
  cutWatches() {
    const cut = [...this.#watches];
    cut.forEach((watch) => {
      this.#forget(watch);
      watch.response.socket?.end();
    });
    return cut.length;
  }

  /** Answers nothing more on the connections that are open now; new ones work. */
  silenceConnections() {
    const count = this.#connections.size;
    this.#connections.forEach((socket) => this.#silent.add(socket));
    [...this.#watches].forEach((watch) => {
      if (this.#silent.has(watch.response.req.socket)) this.#forget(watch);
    });
    return count;
  }

  #record(item) {
    this.#history.push(item);
    [...this.#watches].forEach((watch) => this.#answerWatch(watch));
  }

  #handle(request, response) {
    if (this.#silent.has(request.socket)) return;
    const url = new URL(request.url, 'http://store');
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    if (url.pathname === '/kv-range') {
      const items = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      Store.#answer(response, 200, {
        items: items.slice(0, 500),
        hasMore: items.length > 500,
        asOf: this.#revision,
      });
    } else if (url.pathname === '/kv-watch') {
      const watch = { prefix, after: Number(after), response, timer: null };
      const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
      watch.timer = setTimeout(() => {
        this.#forget(watch);
        Store.#answer(response, 200, { events: [], asOf: this.#revision });
      }, waitMs);
      this.#watches.add(watch);
      response.once('close', () => this.#forget(watch));
      this.#answerWatch(watch);
    } else {
      Store.#answer(response, 404, {});
    }
  }

  #answerWatch(watch) {
    const events = this.#history.filter(
      ({ key, rev }) => rev > watch.after && key.startsWith(watch.prefix),
    );
    if (events.length === 0) return;
    this.#forget(watch);
    Store.#answer(watch.response, 200, { events, asOf: this.#revision });
  }

  #forget(watch) {
    clearTimeout(watch.timer);
    this.#watches.delete(watch);
  }

  static #answer(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }
}
