import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Fault that a backend server injects into its answer; `none` is a correct answer. */
export type ResponseFault =
  | 'none'
  /** Runs the request, then resets the connection. */
  | 'reset'
  /** Never answers. */
  | 'silent'
  /** Declares a larger `Content-Length` than it sends. */
  | 'truncated'
  /** Sends the whole body without `Content-Length`, then closes the connection normally. */
  | 'unframed'
  /** Sends a part of the body without `Content-Length`, then closes the connection normally. */
  | 'unframed-cut'
  /** Sends a part of the body without `Content-Length`, then resets the connection. */
  | 'unframed-reset'
  /** Answers with the attempt identifier of another request. */
  | 'foreign'
  /** Answers with success but without the `Response-Signature` header. */
  | 'unsigned'
  /** Sends the answer twice on the connection. */
  | 'extra'
  /** Rejects the request with 503 without running it. */
  | 'shed'
  /** Runs the request and answers 503 without saying that it was not run. */
  | 'busy';

/** A request for the application that the backend server received. */
export interface ReceivedRequest {
  readonly id: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly receivedAtMs: number;
  /** Port of the sender, which identifies the connection. */
  readonly senderPort: number;
}

/** Selects the fault for a request. */
export type FaultSelector = (received: ReceivedRequest) => ResponseFault;

/** Body of a correct answer. */
export const ANSWER_BODY = '{"whole":true}';
const HEALTH_PATH = '/healthz';

/** Refusals of the platform need not name the attempt. */
const REPEATED_REFUSAL =
  'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n';

/** Stand-in for a backend server of the platform, with injected faults. */
export class PlatformBackend {
  readonly server: Server;

  /** Requests whose execution has started. */
  readonly runs: ReceivedRequest[] = [];

  /** Identifiers of requests whose connection closed before the answer was sent. */
  readonly abandonedIds: string[] = [];

  instance: string;

  warmUpMs = 0;

  workMs = 5;

  selectFault: FaultSelector = () => 'none';

  /** Makes the nested calls of a request; false makes the request fail with 500. */
  makeNestedCalls: (received: ReceivedRequest) => Promise<boolean> = () => Promise.resolve(true);

  healthChecks = 0;

  /** Rate at which each body is read, in bytes per second; null reads at full speed. */
  readBytesPerSecond: number | null = null;

  /** Most bodies that were read at the same time. */
  mostReading = 0;

  #reading = 0;

  /** Requests per second that the backend server states to take; null states no limit. */
  statedLimit: string | null = null;

  /** Whether the backend server states in its answers that it leaves. */
  isLeaving = false;

  /** Answers a request on the bare connection; returns whether it did. */
  handleRaw: (received: ReceivedRequest, socket: Socket) => boolean = () => false;

  /** Whether an earlier refusal on a connection is sent again as the answer to its next request. */
  isRepeatingRefusals = false;

  readonly #refusedOn = new WeakSet<object>();

  /**
   * Number of requests that run at the same time. Further ones, and all that follow on their
   * connections, are never answered; null runs any number.
   */
  capacity: number | null = null;

  /** Identifiers of the requests that are never answered for want of capacity. */
  readonly unansweredIds: string[] = [];

  #running = 0;

  readonly #silentConnections = new WeakSet<object>();

  readonly #openConnections = new Set<Socket>();

  /** Idle time after which the next request on a connection resets it; null never resets. */
  idleResetAfterMs: number | null = null;

  readonly #lastRequestAt = new WeakMap<object, number>();

  /**
   * @param instance - instance identifier, which changes with each start of the backend server
   */
  constructor(instance: string) {
    this.instance = instance;
    this.server = createServer((request, response) => {
      void this.#handleRequest(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', (socket: Socket) => {
      this.#openConnections.add(socket);
      socket.once('close', () => this.#openConnections.delete(socket));
    });
  }

  /** Answers nothing more on all connections that are open now; new connections work. */
  silenceConnections(): void {
    this.#openConnections.forEach((socket) => this.#silentConnections.add(socket));
  }

  /** Headers by which the backend server states its condition in each of its answers. */
  get #conditionHeaders(): Readonly<Record<string, string>> {
    return {
      ...(this.statedLimit === null ? {} : { 'Server-Limit': this.statedLimit }),
      ...(this.isLeaving ? { 'Server-Leaving': '1' } : {}),
    };
  }

  /** Checks whether the connection exceeded its idle time, and records the current request. */
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
    const body = await this.#readBody(request);
    const targetInstance = request.headers['target-instance'];
    if (targetInstance !== undefined && targetInstance !== this.instance) {
      response.writeHead(421, { 'Instance-Id': this.instance }).end();
      return;
    }
    const received: ReceivedRequest = {
      id: String(request.headers['attempt-id']),
      path: request.url ?? '',
      headers: request.headers,
      body: body.toString('utf8'),
      receivedAtMs: performance.now(),
      senderPort: request.socket.remotePort ?? 0,
    };
    if (this.#isSilent(received, request.socket)) return;
    if (this.handleRaw(received, request.socket)) return;
    const fault = this.selectFault(received);
    if (this.isRepeatingRefusals && this.#refusedOn.has(request.socket)) {
      request.socket.write(REPEATED_REFUSAL);
    }
    if (fault === 'shed') {
      this.#refusedOn.add(request.socket);
      response
        .writeHead(503, {
          'Not-Executed': '1',
          'Attempt-Id': received.id,
          ...this.#conditionHeaders,
        })
        .end();
      return;
    }
    await this.#runRequest(received, fault, response);
  }

  async #readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    this.#reading += 1;
    this.mostReading = Math.max(this.mostReading, this.#reading);
    try {
      for await (const chunk of request) {
        const bytes = chunk as Buffer;
        chunks.push(bytes);
        const rate = this.readBytesPerSecond;
        if (rate !== null) await sleep((bytes.length / rate) * 1000);
      }
    } finally {
      this.#reading -= 1;
    }
    return Buffer.concat(chunks);
  }

  #isSilent({ id }: ReceivedRequest, connection: Socket): boolean {
    const isFull = this.capacity !== null && this.#running >= this.capacity;
    if (isFull) this.#silentConnections.add(connection);
    if (!this.#silentConnections.has(connection)) return false;
    this.unansweredIds.push(id);
    return true;
  }

  async #runRequest(
    received: ReceivedRequest,
    fault: ResponseFault,
    response: ServerResponse,
  ): Promise<void> {
    this.runs.push(received);
    this.#running += 1;
    response.on('close', () => {
      this.#running -= 1;
    });
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
      case 'busy':
        response.writeHead(503, head).end();
        break;
      case 'none':
      case 'shed':
        response.writeHead(status, { ...head, ...this.#conditionHeaders }).end(ANSWER_BODY);
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
