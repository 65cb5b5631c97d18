import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { Task } from '../src/core/task/task.js';
import type { Milliseconds } from '../src/core/model/time.js';
import { coldWork, decideWork } from './backend-work.js';
import type { Work, WorkControl, WorkEffect, WorkMessage, WorkSettings } from './backend-work.js';
import {
  announce,
  answerJson,
  listen,
  randomFrom,
  readBody,
  settingsFromArguments,
} from './process.js';

/** A path of a backend server; a segment `*` matches any one segment. */
export interface ServedPath {
  readonly method: string;
  /** Path below the service, for example `plans/check`. */
  readonly path: string;
  readonly serviceMs: Milliseconds;
  /** Deeper calls, made one after the other through the own node, such as `GET stockroom/x`. */
  readonly calls: readonly string[];
}

/** Settings of a backend server stand-in. */
export interface BackendSettings extends WorkSettings {
  readonly service: string;
  readonly port: number;
  readonly seed: number;
  /** Base URL for deeper calls; a control request can set it later. */
  readonly nodeUrl: string;
  readonly paths: readonly ServedPath[];
  /** Keys that must never arrive here. */
  readonly demoKeys: readonly string[];
}

/** Control requests at `POST /standin/control`. */
export type BackendControl =
  | WorkControl
  | { readonly kind: 'node'; readonly url: string }
  /** Fixed answers of the health and load endpoints; null answers truthfully. */
  | {
      readonly kind: 'mislead';
      readonly health: number | null;
      readonly load: Readonly<Record<string, number>> | null;
    }
  /** Stops answering on all connections that are open now. */
  | { readonly kind: 'silent' };

/** One execution of an order. */
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
  readonly abort: AbortController;
}

/** Headers that a backend server passes on untouched. */
const CONTEXT_HEADERS = ['almondhoist-context', 'almondhoist-root-id'] as const;
/** Service times spread evenly by this fraction around their mean. */
const SPREAD = 0.5;

function matches(pattern: string, path: string): boolean {
  const wanted = pattern.split('/');
  const segments = path.split('/');
  return (
    wanted.length === segments.length &&
    wanted.every((part, at) => part === '*' || part === segments[at])
  );
}

function passedOn(incoming: IncomingMessage): Record<string, string> {
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

/** Owner of the sockets of one backend server; its slots are decided by `decideWork`. */
export class BackendServer {
  readonly server = createServer((incoming, response) => {
    this.#receive(incoming, response).catch(() => response.destroy());
  });

  readonly #settings: BackendSettings;

  readonly #work: Task<Work, WorkMessage, WorkEffect>;

  readonly #random;

  readonly #incarnation = randomUUID();

  readonly #agent = new Agent();

  readonly #calls = new Map<number, PendingCall>();

  readonly #sockets = new Set<Socket>();

  readonly #silent = new WeakSet<Socket>();

  readonly #runs: OrderRun[] = [];

  readonly #receivedKeys: string[] = [];

  #nextId = 0;

  #nodeUrl: string;

  #mislead: BackendControl & { kind: 'mislead' } = { kind: 'mislead', health: null, load: null };

  /**
   * @param settings - what it serves and bears
   * @param exit - ends the process; tests pass their own
   */
  constructor(settings: BackendSettings, exit: () => void) {
    this.#settings = settings;
    this.#nodeUrl = settings.nodeUrl;
    this.#random = randomFrom(settings.seed);
    this.#work = new Task({
      initial: coldWork(settings),
      decide: decideWork,
      clock: performance,
      perform: (effect) => this.#perform(effect, exit),
    });
    this.server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
  }

  async #receive(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(incoming);
    const url = incoming.url ?? '/';
    switch (`${incoming.method} ${url}`) {
      case 'GET /standin/runs':
        return answerJson(response, 200, this.#runs);
      case 'GET /standin/received-keys':
        return answerJson(response, 200, this.#receivedKeys);
      case 'POST /standin/control':
        this.#control(JSON.parse(body) as BackendControl, incoming.socket);
        return answerJson(response, 200, {});
      case 'GET /health':
        return this.#answer(incoming, response, this.#health(), {});
      case 'GET /load':
        return this.#answer(incoming, response, 200, this.#load());
      default:
        return this.#accept(incoming, response, body);
    }
  }

  #health(): number {
    return this.#mislead.health ?? (this.#work.state.isDraining ? 503 : 200);
  }

  #load(): Readonly<Record<string, number>> {
    const { running, waiting, settings } = this.#work.state;
    const truth = { running: running.size, queued: waiting.size, slots: settings.slots };
    return this.#mislead.load ?? truth;
  }

  #control(control: BackendControl, own: Socket): void {
    switch (control.kind) {
      case 'node':
        this.#nodeUrl = control.url;
        break;
      case 'mislead':
        this.#mislead = control;
        break;
      case 'silent':
        this.#sockets.forEach((socket) => socket !== own && this.#silent.add(socket));
        break;
      default:
        this.#work.send({ kind: 'control', control });
    }
  }

  #recordKeys(incoming: IncomingMessage): void {
    const texts = [decodeURIComponent(incoming.url ?? ''), ...incoming.rawHeaders];
    this.#settings.demoKeys
      .filter((key) => texts.some((text) => text.includes(key)))
      .forEach((key) => this.#receivedKeys.push(`${key} at ${incoming.url}`));
  }

  #accept(incoming: IncomingMessage, response: ServerResponse, body: string): void {
    this.#recordKeys(incoming);
    const path = (incoming.url ?? '/').split('?', 1)[0]?.slice(1) ?? '';
    const served = this.#settings.paths.find(
      (candidate) => candidate.method === incoming.method && matches(candidate.path, path),
    );
    if (served === undefined) {
      this.#answer(incoming, response, 404, { path });
      return;
    }
    const { order, crash } = parseObject(body);
    const id = this.#nextId;
    this.#nextId += 1;
    const abort = new AbortController();
    const deadlineMs = Number(incoming.headers['almondhoist-deadline-ms']);
    const expiry = Number.isFinite(deadlineMs)
      ? setTimeout(() => this.#settle(id, 504, 0), deadlineMs)
      : undefined;
    response.once('close', () => {
      clearTimeout(expiry);
      this.#settle(id, null, 0);
    });
    const orderNumber = order === undefined ? null : String(order);
    this.#calls.set(id, {
      request: incoming,
      response,
      served,
      body,
      order: orderNumber,
      abort,
    });
    this.#work.send({ kind: 'arrive', id, hasCrashBody: crash === true });
  }

  #perform(effect: WorkEffect, exit: () => void): void {
    switch (effect.kind) {
      case 'run':
        void this.#run(effect.id, effect.slowdown);
        break;
      case 'shed': {
        const call = this.#calls.get(effect.id);
        this.#calls.delete(effect.id);
        const headers: Record<string, string> = effect.isQueueFull ? { 'x-not-run': 'true' } : {};
        if (call !== undefined) this.#answer(call.request, call.response, 503, {}, headers);
        break;
      }
      case 'exit':
        exit();
        break;
    }
  }

  async #run(id: number, slowdown: number): Promise<void> {
    const call = this.#calls.get(id);
    if (call === undefined) return;
    const path = `${call.served.method} ${call.served.path}`;
    if (call.order !== null) this.#runs.push({ order: call.order, path });
    const spread = 1 + SPREAD * (2 * this.#random() - 1);
    const workMs = call.served.serviceMs * slowdown * spread;
    try {
      if (workMs > 0) await sleep(workMs, undefined, { signal: call.abort.signal });
      const failed = await this.#callDeeper(call);
      this.#settle(id, failed === null ? 200 : 502, workMs, failed);
    } catch {
      this.#settle(id, 502, workMs);
    }
  }

  /** @returns the first deeper call that was not answered with 200, or null */
  async #callDeeper(call: PendingCall): Promise<string | null> {
    for (const deeper of call.served.calls) {
      const [method = 'GET', target = ''] = deeper.split(' ');
      const answer = await request(`${this.#nodeUrl}/${target}`, {
        method,
        headers: { ...passedOn(call.request), 'content-type': 'application/json' },
        body: method === 'GET' ? null : call.body,
        dispatcher: this.#agent,
        signal: call.abort.signal,
      });
      await answer.body.dump();
      if (answer.statusCode !== 200) return `${deeper}: ${answer.statusCode}`;
    }
    return null;
  }

  /** Ends a call once; status null means that the caller has gone. */
  #settle(id: number, status: number | null, workedMs: number, failed?: string | null): void {
    const call = this.#calls.get(id);
    if (call === undefined) return;
    this.#calls.delete(id);
    call.abort.abort();
    this.#work.send(status === 200 ? { kind: 'finish', id, workedMs } : { kind: 'abandon', id });
    if (status !== null)
      this.#answer(call.request, call.response, status, { failed, body: call.body });
  }

  #answer(
    incoming: IncomingMessage,
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    if (this.#silent.has(incoming.socket)) return;
    answerJson(response, status, value, { 'x-server-incarnation': this.#incarnation, ...headers });
  }
}

/** Runs the stand-in as a process. */
async function main(): Promise<void> {
  const settings = settingsFromArguments<BackendSettings>();
  const backend = new BackendServer(settings, () => process.exit(1));
  announce({ port: await listen(backend.server, settings.port) });
}

if (process.argv[1]?.endsWith('standin/backend-server.js') === true) await main();
