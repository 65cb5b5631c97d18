import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { Task } from '../src/core/task/task.js';
import type { Milliseconds } from '../src/core/model/time.js';
import { initialWork, decideWork } from './backend-work.js';
import type { Work, WorkControl, WorkEffect, WorkMessage, WorkSettings } from './backend-work.js';
import {
  announcePorts,
  answerJson,
  listen,
  createRandom,
  readBody,
  parseSettings,
} from './process.js';

/** A path that a backend server serves; the segment `*` matches any single segment. */
export interface ServedPath {
  readonly method: string;
  /** Path without the service name, for example `plans/check`. */
  readonly path: string;
  readonly serviceMs: Milliseconds;
  /** Nested calls such as `GET stockroom/x`, made sequentially through the server's own node. */
  readonly calls: readonly string[];
}

/** Settings of a stand-in for a backend server. */
export interface BackendSettings extends WorkSettings {
  readonly service: string;
  readonly port: number;
  readonly seed: number;
  /** Base URL for nested calls; a `node` control request can change it. */
  readonly nodeUrl: string;
  readonly paths: readonly ServedPath[];
  /** API keys that must never reach a backend server; requests that contain one are recorded. */
  readonly demoKeys: readonly string[];
}

/** Body of a control request to `POST /standin/control`. */
export type BackendControl =
  | WorkControl
  | { readonly kind: 'node'; readonly url: string }
  /** Fixes the answers of the health and load endpoints; null reports the actual state. */
  | {
      readonly kind: 'mislead';
      readonly health: number | null;
      readonly load: Readonly<Record<string, number>> | null;
    }
  /** Stops answering on all connections that are open at present, except the requester's. */
  | { readonly kind: 'silent' };

/** One execution of an order, for detecting orders that ran more than once. */
export interface OrderRun {
  readonly order: string;
  readonly path: string;
}

interface PendingCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly served: ServedPath;
  readonly body: string;
  readonly order: string | null;
  readonly abortController: AbortController;
}

/** Headers that a backend server copies unchanged to its nested calls. */
const CONTEXT_HEADERS = ['almondhoist-context', 'almondhoist-root-id'] as const;
/** Service times are uniformly distributed within this fraction of their mean on either side. */
const SERVICE_TIME_SPREAD_FRACTION = 0.5;

function matchesPath(pattern: string, path: string): boolean {
  const patternSegments = pattern.split('/');
  const segments = path.split('/');
  return (
    patternSegments.length === segments.length &&
    patternSegments.every(
      (patternSegment, index) => patternSegment === '*' || patternSegment === segments[index],
    )
  );
}

function contextHeadersOf(incoming: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  CONTEXT_HEADERS.forEach((name) => {
    const value = incoming.headers[name];
    if (typeof value === 'string') headers[name] = value;
  });
  return headers;
}

function parseObject(body: string): Readonly<Record<string, unknown>> {
  try {
    return Object(JSON.parse(body)) as Record<string, unknown>;
  } catch {
    return {};
  }
}

/** Owns the sockets of one backend server; `decideWork` decides the use of its slots. */
export class BackendServer {
  readonly server = createServer((incoming, response) => {
    this.#handleRequest(incoming, response).catch(() => response.destroy());
  });

  readonly #settings: BackendSettings;

  readonly #work: Task<Work, WorkMessage, WorkEffect>;

  readonly #randomNumber;

  readonly #incarnation = randomUUID();

  readonly #agent = new Agent();

  readonly #pendingCalls = new Map<number, PendingCall>();

  readonly #sockets = new Set<Socket>();

  readonly #silentSockets = new WeakSet<Socket>();

  readonly #orderRuns: OrderRun[] = [];

  readonly #receivedKeys: string[] = [];

  #nextId = 0;

  #nodeUrl: string;

  #endpointOverrides: BackendControl & { kind: 'mislead' } = {
    kind: 'mislead',
    health: null,
    load: null,
  };

  /**
   * @param settings - served paths, capacity and port
   * @param exit - ends the process; tests pass a replacement
   */
  constructor(settings: BackendSettings, exit: () => void) {
    this.#settings = settings;
    this.#nodeUrl = settings.nodeUrl;
    this.#randomNumber = createRandom(settings.seed);
    this.#work = new Task({
      initial: initialWork(settings),
      decide: decideWork,
      clock: performance,
      perform: (effect) => this.#perform(effect, exit),
    });
    this.server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
  }

  async #handleRequest(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(incoming);
    const url = incoming.url ?? '/';
    switch (`${incoming.method} ${url}`) {
      case 'GET /standin/runs':
        return answerJson(response, 200, this.#orderRuns);
      case 'GET /standin/received-keys':
        return answerJson(response, 200, this.#receivedKeys);
      case 'POST /standin/control':
        this.#applyControl(JSON.parse(body) as BackendControl, incoming.socket);
        return answerJson(response, 200, {});
      case 'GET /health':
        return this.#sendAnswer(incoming, response, this.#healthStatus(), {});
      case 'GET /load':
        return this.#sendAnswer(incoming, response, 200, this.#loadReport());
      default:
        return this.#acceptCall(incoming, response, body);
    }
  }

  #healthStatus(): number {
    return this.#endpointOverrides.health ?? (this.#work.state.isDraining ? 503 : 200);
  }

  #loadReport(): Readonly<Record<string, number>> {
    const { running, waiting, settings } = this.#work.state;
    const actualLoad = { running: running.size, queued: waiting.size, slots: settings.slots };
    return this.#endpointOverrides.load ?? actualLoad;
  }

  #applyControl(control: BackendControl, controlSocket: Socket): void {
    switch (control.kind) {
      case 'node':
        this.#nodeUrl = control.url;
        break;
      case 'mislead':
        this.#endpointOverrides = control;
        break;
      case 'silent':
        this.#sockets.forEach(
          (socket) => socket !== controlSocket && this.#silentSockets.add(socket),
        );
        break;
      default:
        this.#work.send({ kind: 'control', control });
    }
  }

  #recordReceivedKeys(incoming: IncomingMessage): void {
    const texts = [decodeURIComponent(incoming.url ?? ''), ...incoming.rawHeaders];
    this.#settings.demoKeys
      .filter((key) => texts.some((text) => text.includes(key)))
      .forEach((key) => this.#receivedKeys.push(`${key} at ${incoming.url}`));
  }

  #acceptCall(incoming: IncomingMessage, response: ServerResponse, body: string): void {
    this.#recordReceivedKeys(incoming);
    const path = (incoming.url ?? '/').split('?', 1)[0]?.slice(1) ?? '';
    const served = this.#settings.paths.find(
      (candidate) => candidate.method === incoming.method && matchesPath(candidate.path, path),
    );
    if (served === undefined) {
      this.#sendAnswer(incoming, response, 404, { path });
      return;
    }
    const { order, crash } = parseObject(body);
    const id = this.#nextId;
    this.#nextId += 1;
    const abortController = new AbortController();
    const deadlineMs = Number(incoming.headers['almondhoist-deadline-ms']);
    const deadlineTimer = Number.isFinite(deadlineMs)
      ? setTimeout(() => this.#finishCall(id, 504, 0), deadlineMs)
      : undefined;
    response.once('close', () => {
      clearTimeout(deadlineTimer);
      this.#finishCall(id, null, 0);
    });
    const orderNumber = order === undefined ? null : String(order);
    this.#pendingCalls.set(id, {
      request: incoming,
      response,
      served,
      body,
      order: orderNumber,
      abortController,
    });
    this.#work.send({ kind: 'arrive', id, hasCrashBody: crash === true });
  }

  #perform(effect: WorkEffect, exit: () => void): void {
    switch (effect.kind) {
      case 'run':
        void this.#runCall(effect.id, effect.slowdown);
        break;
      case 'shed': {
        const call = this.#pendingCalls.get(effect.id);
        this.#pendingCalls.delete(effect.id);
        const headers: Record<string, string> = effect.isQueueFull ? { 'x-not-run': 'true' } : {};
        if (call !== undefined) this.#sendAnswer(call.request, call.response, 503, {}, headers);
        break;
      }
      case 'exit':
        exit();
        break;
    }
  }

  async #runCall(id: number, slowdown: number): Promise<void> {
    const call = this.#pendingCalls.get(id);
    if (call === undefined) return;
    const path = `${call.served.method} ${call.served.path}`;
    if (call.order !== null) this.#orderRuns.push({ order: call.order, path });
    const variation = 1 + SERVICE_TIME_SPREAD_FRACTION * (2 * this.#randomNumber() - 1);
    const workMs = call.served.serviceMs * slowdown * variation;
    try {
      if (workMs > 0) await sleep(workMs, undefined, { signal: call.abortController.signal });
      const failed = await this.#makeNestedCalls(call);
      this.#finishCall(id, failed === null ? 200 : 502, workMs, failed);
    } catch {
      this.#finishCall(id, 502, workMs);
    }
  }

  /** @returns the first nested call that was not answered with 200, or null */
  async #makeNestedCalls(call: PendingCall): Promise<string | null> {
    for (const nestedCall of call.served.calls) {
      const [method = 'GET', target = ''] = nestedCall.split(' ');
      const answer = await request(`${this.#nodeUrl}/${target}`, {
        method,
        headers: { ...contextHeadersOf(call.request), 'content-type': 'application/json' },
        body: method === 'GET' ? null : call.body,
        dispatcher: this.#agent,
        signal: call.abortController.signal,
      });
      await answer.body.dump();
      if (answer.statusCode !== 200) return `${nestedCall}: ${answer.statusCode}`;
    }
    return null;
  }

  /** Finishes a call at most once; a null status means that the caller has disconnected. */
  #finishCall(id: number, status: number | null, workedMs: number, failed?: string | null): void {
    const call = this.#pendingCalls.get(id);
    if (call === undefined) return;
    this.#pendingCalls.delete(id);
    call.abortController.abort();
    this.#work.send(status === 200 ? { kind: 'finish', id, workedMs } : { kind: 'abandon', id });
    if (status !== null)
      this.#sendAnswer(call.request, call.response, status, { failed, body: call.body });
  }

  #sendAnswer(
    incoming: IncomingMessage,
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    if (this.#silentSockets.has(incoming.socket)) return;
    answerJson(response, status, value, { 'x-server-incarnation': this.#incarnation, ...headers });
  }
}

/** Runs the backend server as a process. */
async function main(): Promise<void> {
  const settings = parseSettings<BackendSettings>();
  const backend = new BackendServer(settings, () => process.exit(1));
  announcePorts({ port: await listen(backend.server, settings.port) });
}

if (process.argv[1]?.endsWith('standin/backend-server.js') === true) await main();
