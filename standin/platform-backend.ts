import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** What a backend server does with a request besides answering it properly. */
export type ResponseFault =
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
export interface ReceivedRequest {
  readonly id: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly receivedAtMs: number;
}

/** Chooses what happens to a request. */
export type FaultSelector = (received: ReceivedRequest) => ResponseFault;

const ANSWER_BODY = '{"whole":true}';
const HEALTH_PATH = '/healthz';

/** A backend server of the platform that can misbehave. */
export class PlatformBackend {
  readonly server: Server;

  /** Requests that began to run. */
  readonly runs: ReceivedRequest[] = [];

  /** Requests whose connection closed before their answer. */
  readonly abandonedIds: string[] = [];

  instance: string;

  warmUpMs = 0;

  workMs = 5;

  selectFault: FaultSelector = () => 'none';

  /** Called while a request runs, for calls of its own. */
  makeNestedCalls: (received: ReceivedRequest) => Promise<boolean> = () => Promise.resolve(true);

  healthChecks = 0;

  /** Connections that were idle for longer are reset by their next request; null keeps them. */
  idleResetAfterMs: number | null = null;

  readonly #lastRequestAt = new WeakMap<object, number>();

  /**
   * @param instance - identifier of this run of the backend server
   */
  constructor(instance: string) {
    this.instance = instance;
    this.server = createServer((request, response) => {
      void this.#handleRequest(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** Whether the connection has been forgotten since its last request. */
  #isIdleTooLong({ socket }: IncomingMessage): boolean {
    const now = performance.now();
    const lastRequestAt = this.#lastRequestAt.get(socket);
    this.#lastRequestAt.set(socket, now);
    const limitMs = this.idleResetAfterMs;
    return limitMs !== null && lastRequestAt !== undefined && now - lastRequestAt > limitMs;
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#isIdleTooLong(request)) {
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
    const targetInstance = request.headers['target-instance'];
    if (targetInstance !== undefined && targetInstance !== this.instance) {
      response.writeHead(421, { 'Instance-Id': this.instance }).end();
      return;
    }
    const received: ReceivedRequest = {
      id: String(request.headers['attempt-id']),
      path: request.url ?? '',
      headers: request.headers,
      body: Buffer.concat(chunks).toString('utf8'),
      receivedAtMs: performance.now(),
    };
    const fault = this.selectFault(received);
    if (fault === 'shed') {
      response.writeHead(503, { 'Not-Executed': '1', 'Attempt-Id': received.id }).end();
      return;
    }
    await this.#runRequest(received, fault, response);
  }

  async #runRequest(
    received: ReceivedRequest,
    fault: ResponseFault,
    response: ServerResponse,
  ): Promise<void> {
    this.runs.push(received);
    response.on('close', () => {
      if (!response.writableFinished) this.abandonedIds.push(received.id);
    });
    await sleep(this.workMs);
    const hasSucceeded = await this.makeNestedCalls(received);
    if (response.destroyed) return;
    this.#sendAnswer(received, hasSucceeded ? fault : 'none', hasSucceeded ? 200 : 500, response);
  }

  #sendAnswer(
    { id }: ReceivedRequest,
    fault: ResponseFault,
    status: number,
    response: ServerResponse,
  ): void {
    const head = { 'Attempt-Id': id, 'Response-Signature': `signed-${id}` };
    const { socket } = response;
    const writeRaw = (text: string): boolean => socket?.write(text) ?? false;
    const headText = `HTTP/1.1 ${status} X\r\nAttempt-Id: ${id}\r\nResponse-Signature: signed-${id}\r\n`;
    switch (fault) {
      case 'none':
      case 'shed':
        response.writeHead(status, head).end(ANSWER_BODY);
        break;
      case 'reset':
        socket?.resetAndDestroy();
        break;
      case 'silent':
        break;
      case 'truncated':
        writeRaw(`${headText}Content-Length: ${ANSWER_BODY.length + 10}\r\n\r\n${ANSWER_BODY}`);
        socket?.end();
        break;
      case 'unframed':
        writeRaw(`${headText}\r\n${ANSWER_BODY}`);
        socket?.end();
        break;
      case 'unframed-cut':
        writeRaw(`${headText}\r\n${ANSWER_BODY.slice(0, 5)}`);
        socket?.end();
        break;
      case 'unframed-reset':
        writeRaw(`${headText}\r\n${ANSWER_BODY.slice(0, 5)}`);
        setTimeout(() => socket?.resetAndDestroy(), 5);
        break;
      case 'foreign':
        response.writeHead(status, { ...head, 'Attempt-Id': 'another' }).end(ANSWER_BODY);
        break;
      case 'unsigned':
        response.writeHead(status, { 'Attempt-Id': id }).end(ANSWER_BODY);
        break;
      case 'extra':
        writeRaw(`${headText}Content-Length: ${ANSWER_BODY.length}\r\n\r\n${ANSWER_BODY}`);
        writeRaw(`${headText}Content-Length: ${ANSWER_BODY.length}\r\n\r\n${ANSWER_BODY}`);
        break;
    }
  }
}
