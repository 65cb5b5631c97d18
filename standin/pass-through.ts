import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Agent, request } from 'undici';
import { announcePorts, answerJson, listen, readBody, parseSettings } from './process.js';

/** Settings of the baseline proxy. */
export interface PassThroughSettings {
  readonly port: number;
  readonly keys: readonly string[];
  /** Authenticates nested calls in place of an API key, as the context handle of a node does. */
  readonly contextToken: string;
  /** Base URLs of the backend servers of each service. */
  readonly services: Readonly<Record<string, readonly string[]>>;
}

interface ForwardedRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** Attempts at each hop, as simple clients are commonly configured. */
const MAX_ATTEMPTS = 3;

/** Baseline proxy: round robin, three attempts at each hop, no limits and no deadlines. */
export class PassThrough {
  readonly server = createServer((incoming, response) => {
    this.#handleRequest(incoming, response).catch(() => response.destroy());
  });

  readonly #settings: PassThroughSettings;

  readonly #agent = new Agent();

  #attemptCount = 0;

  /**
   * @param settings - the backend servers, the API keys and the context token
   */
  constructor(settings: PassThroughSettings) {
    this.#settings = settings;
  }

  async #handleRequest(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(incoming);
    if (!this.#isAuthenticated(incoming)) {
      answerJson(response, 401);
      return;
    }
    const [, service = '', path = ''] = /^\/([^/]+)(\/.*)$/.exec(incoming.url ?? '/') ?? [];
    const servers = this.#settings.services[service];
    if (servers === undefined) {
      answerJson(response, 404);
      return;
    }
    const { status, text } = await this.#forward(servers, {
      method: incoming.method ?? 'GET',
      path,
      body,
    });
    response.writeHead(status, { 'content-type': 'application/json' }).end(text);
  }

  #isAuthenticated({ headers }: IncomingMessage): boolean {
    if (headers['almondhoist-context'] === this.#settings.contextToken) return true;
    const key = headers.authorization?.replace(/^Bearer /, '');
    return key !== undefined && this.#settings.keys.includes(key);
  }

  async #forward(
    servers: readonly string[],
    call: ForwardedRequest,
  ): Promise<{ readonly status: number; readonly text: string }> {
    let lastAnswer = { status: 502, text: '' };
    for (let attempts = 0; attempts < MAX_ATTEMPTS && lastAnswer.status >= 500; attempts += 1) {
      lastAnswer = await this.#sendAttempt(servers, call);
    }
    return lastAnswer;
  }

  async #sendAttempt(
    servers: readonly string[],
    { method, path, body }: ForwardedRequest,
  ): Promise<{ readonly status: number; readonly text: string }> {
    this.#attemptCount += 1;
    try {
      const answer = await request(`${servers[this.#attemptCount % servers.length]}${path}`, {
        method,
        headers: {
          'almondhoist-context': this.#settings.contextToken,
          'content-type': 'application/json',
        },
        body: method === 'GET' ? null : body,
        dispatcher: this.#agent,
      });
      return { status: answer.statusCode, text: await answer.body.text() };
    } catch (error) {
      return { status: 502, text: JSON.stringify({ reason: String(error) }) };
    }
  }
}

/** Runs the baseline proxy as a process. */
async function main(): Promise<void> {
  const settings = parseSettings<PassThroughSettings>();
  announcePorts({ port: await listen(new PassThrough(settings).server, settings.port) });
}

if (process.argv[1]?.endsWith('standin/pass-through.js') === true) await main();
