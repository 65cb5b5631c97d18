import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** What a backend server does with a request besides answering it properly. */
export type Misbehaviour =
  | 'none'
  /** Resets the connection after the run. */
  | 'reset'
  /** Never answers. */
  | 'silent'
  /** Announces more bytes than it sends. */
  | 'truncated'
  /** No length; the connection ends in order after the whole body. */
  | 'unframed'
  /** No length; the connection ends in order before the body is whole. */
  | 'unframed-cut'
  /** No length; the connection is reset before the body is whole. */
  | 'unframed-reset'
  /** Answers with the identifier of another request. */
  | 'foreign'
  /** Answers success without its signature. */
  | 'unsigned'
  /** Sends a second answer after the first. */
  | 'extra'
  /** Rejects without running. */
  | 'shed';

/** A request that reached the backend server. */
export interface PlatformRun {
  readonly id: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly at: number;
}

/** Chooses what happens to a request. */
export type Behaviour = (run: PlatformRun) => Misbehaviour;

const BODY = '{"whole":true}';
const HEALTH_PATH = '/healthz';

/** A backend server of the platform that can misbehave. */
export class PlatformBackend {
  readonly server: Server;

  /** Requests that began to run. */
  readonly runs: PlatformRun[] = [];

  /** Requests whose connection closed before their answer. */
  readonly abandoned: string[] = [];

  instance: string;

  warmUpMs = 0;

  workMs = 5;

  behave: Behaviour = () => 'none';

  /** Called while a request runs, for calls of its own. */
  work: (run: PlatformRun) => Promise<boolean> = () => Promise.resolve(true);

  healthChecks = 0;

  /** Connections that were idle for longer are reset by their next request; null keeps them. */
  forgetsIdleAfterMs: number | null = null;

  readonly #lastUse = new WeakMap<object, number>();

  /**
   * @param instance - identifier of this run of the backend server
   */
  constructor(instance: string) {
    this.instance = instance;
    this.server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** Whether the connection has been forgotten since its last request. */
  #isForgotten({ socket }: IncomingMessage): boolean {
    const now = performance.now();
    const lastUse = this.#lastUse.get(socket);
    this.#lastUse.set(socket, now);
    const limitMs = this.forgetsIdleAfterMs;
    return limitMs !== null && lastUse !== undefined && now - lastUse > limitMs;
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#isForgotten(request)) {
      request.socket.resetAndDestroy();
      return;
    }
    if (request.url === HEALTH_PATH) {
      this.healthChecks += 1;
      const warmUp = this.warmUpMs > 0 ? { 'Warmup-Ms': String(this.warmUpMs) } : {};
      response.writeHead(200, { 'Instance-Id': this.instance, ...warmUp }).end();
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const target = request.headers['target-instance'];
    if (target !== undefined && target !== this.instance) {
      response.writeHead(421, { 'Instance-Id': this.instance }).end();
      return;
    }
    const run: PlatformRun = {
      id: String(request.headers['attempt-id']),
      path: request.url ?? '',
      headers: request.headers,
      body: Buffer.concat(chunks).toString('utf8'),
      at: performance.now(),
    };
    const how = this.behave(run);
    if (how === 'shed') {
      response.writeHead(503, { 'Not-Executed': '1', 'Attempt-Id': run.id }).end();
      return;
    }
    await this.#run(run, how, response);
  }

  async #run(run: PlatformRun, how: Misbehaviour, response: ServerResponse): Promise<void> {
    this.runs.push(run);
    response.on('close', () => {
      if (!response.writableFinished) this.abandoned.push(run.id);
    });
    await sleep(this.workMs);
    const isDone = await this.work(run);
    if (response.destroyed) return;
    this.#answer(run, isDone ? how : 'none', isDone ? 200 : 500, response);
  }

  #answer({ id }: PlatformRun, how: Misbehaviour, status: number, response: ServerResponse): void {
    const head = { 'Attempt-Id': id, 'Response-Signature': `signed-${id}` };
    const { socket } = response;
    const raw = (text: string): boolean => socket?.write(text) ?? false;
    const lines = `HTTP/1.1 ${status} X\r\nAttempt-Id: ${id}\r\nResponse-Signature: signed-${id}\r\n`;
    switch (how) {
      case 'none':
      case 'shed':
        response.writeHead(status, head).end(BODY);
        break;
      case 'reset':
        socket?.resetAndDestroy();
        break;
      case 'silent':
        break;
      case 'truncated':
        raw(`${lines}Content-Length: ${BODY.length + 10}\r\n\r\n${BODY}`);
        socket?.end();
        break;
      case 'unframed':
        raw(`${lines}\r\n${BODY}`);
        socket?.end();
        break;
      case 'unframed-cut':
        raw(`${lines}\r\n${BODY.slice(0, 5)}`);
        socket?.end();
        break;
      case 'unframed-reset':
        raw(`${lines}\r\n${BODY.slice(0, 5)}`);
        setTimeout(() => socket?.resetAndDestroy(), 5);
        break;
      case 'foreign':
        response.writeHead(status, { ...head, 'Attempt-Id': 'another' }).end(BODY);
        break;
      case 'unsigned':
        response.writeHead(status, { 'Attempt-Id': id }).end(BODY);
        break;
      case 'extra':
        raw(`${lines}Content-Length: ${BODY.length}\r\n\r\n${BODY}`);
        raw(`${lines}Content-Length: ${BODY.length}\r\n\r\n${BODY}`);
        break;
    }
  }
}
