import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Task } from '../src/core/task/task.js';
import { announcePorts, answerJson, listen, readBody, parseSettings } from './process.js';
import { VALUE_LIMIT_BYTES, decideService, NO_PUBLISHED_VALUES } from './published-values.js';
import type {
  PublishedValues,
  ServiceAnswer,
  ServiceControl,
  ServiceEffect,
  ServiceMessage,
} from './published-values.js';

/** Settings of a stand-in for the configuration service. */
export interface ServiceSettings {
  readonly port: number;
  readonly controlPort: number;
}

/** Upper limit on the `wait_ms` that a reader requests for a watch. */
const MAX_WAIT_MS = 60_000;

/** Owns the sockets of the configuration service; `decideService` decides the answers. */
export class ConfigurationService {
  readonly server = createServer((incoming, response) => this.#handleRead(incoming, response));

  readonly controlServer = createServer((incoming, response) => {
    this.#handleControl(incoming, response).catch((reason: unknown) => {
      answerJson(response, 400, { reason: String(reason) });
    });
  });

  readonly #responses = new Map<number, ServerResponse>();

  #nextId = 0;

  readonly #task = new Task<PublishedValues, ServiceMessage, ServiceEffect>({
    initial: NO_PUBLISHED_VALUES,
    decide: decideService,
    clock: performance,
    perform: (effect) => this.#perform(effect),
  });

  #handleRead(incoming: IncomingMessage, response: ServerResponse): void {
    const url = new URL(incoming.url ?? '/', 'http://localhost');
    const [, kind, encodedName = ''] = /^\/v1\/(values|watch)\/(.+)$/.exec(url.pathname) ?? [];
    if (incoming.method !== 'GET' || kind === undefined) {
      answerJson(response, incoming.method === 'GET' ? 404 : 405);
      return;
    }
    const id = this.#nextId;
    this.#nextId += 1;
    this.#responses.set(id, response);
    response.once('close', () => {
      this.#responses.delete(id);
      this.#task.send({ kind: 'watch-end', id });
    });
    const name = decodeURIComponent(encodedName);
    if (kind === 'values') {
      this.#task.send({ kind: 'read', id, name });
      return;
    }
    const after = (url.searchParams.get('after') ?? '').replaceAll('"', '');
    const waitMs = Math.min(Number(url.searchParams.get('wait_ms') ?? 0), MAX_WAIT_MS);
    this.#task.send({ kind: 'watch', id, name, after, waitMs });
  }

  async #handleControl(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    if (incoming.url === '/counters') {
      const { reads, refusedReads } = this.#task.state;
      answerJson(response, 200, { reads, refusedReads });
      return;
    }
    const control = JSON.parse(await readBody(incoming)) as ServiceControl;
    if (control.kind === 'publish' && Buffer.byteLength(control.text) > VALUE_LIMIT_BYTES) {
      answerJson(response, 413, { limit: VALUE_LIMIT_BYTES });
      return;
    }
    this.#task.send({ kind: 'control', control });
    answerJson(response, 200, {});
  }

  #perform(effect: ServiceEffect): void {
    switch (effect.kind) {
      case 'answer': {
        const response = this.#responses.get(effect.id);
        if (response !== undefined) ConfigurationService.#sendAnswer(response, effect.answer);
        break;
      }
      case 'schedule':
        setTimeout(() => this.#task.send(effect.message), effect.afterMs).unref();
        break;
    }
  }

  static #sendAnswer(response: ServerResponse, answer: ServiceAnswer): void {
    switch (answer.kind) {
      case 'value':
        response.writeHead(200, {
          etag: `"${answer.value.etag}"`,
          'content-type': 'application/json',
        });
        response.end(answer.value.text);
        break;
      case 'absent':
        answerJson(response, 404);
        break;
      case 'unchanged':
        response.writeHead(304).end();
        break;
      case 'too-many-reads':
        answerJson(response, 429, undefined, { 'retry-after': '1' });
        break;
      case 'down':
        response.destroy();
        break;
    }
  }
}

/** Runs the configuration service as a process. */
async function main(): Promise<void> {
  const settings = parseSettings<ServiceSettings>();
  const service = new ConfigurationService();
  announcePorts({
    port: await listen(service.server, settings.port),
    controlPort: await listen(service.controlServer, settings.controlPort),
  });
}

if (process.argv[1]?.endsWith('standin/configuration-service.js') === true) await main();
