import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Agent, request } from 'undici';
import { announce, answerJson, listen, readBody, settingsFromArguments } from './process.js';

/** Settings of the baseline. */
export interface PassThroughSettings {
  readonly port: number;
  readonly keys: readonly string[];
  /** Stands for the key in deeper calls, as the context handle of a node does. */
  readonly contextToken: string;
  /** Base URLs of the backend servers of each service. */
  readonly services: Readonly<Record<string, readonly string[]>>;
}

interface Forwarded {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** Tries at each hop, as naive callers of a service commonly configure. */
const TRIES = 3;

/** The baseline: round robin, three tries at each hop, no limits and no deadlines. */
export class PassThrough {
  readonly server = createServer((incoming, response) => {
    this.#receive(incoming, response).catch(() => response.destroy());
  });

  readonly #settings: PassThroughSettings;

  readonly #agent = new Agent();

  #turn = 0;

  /**
   * @param settings - the backend servers and the keys
   */
  constructor(settings: PassThroughSettings) {
    this.#settings = settings;
  }

  async #receive(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(incoming);
    if (!this.#isAuthentic(incoming)) {
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

  #isAuthentic({ headers }: IncomingMessage): boolean {
    if (headers['almondhoist-context'] === this.#settings.contextToken) return true;
    const key = headers.authorization?.replace(/^Bearer /, '');
    return key !== undefined && this.#settings.keys.includes(key);
  }

  async #forward(
    servers: readonly string[],
    call: Forwarded,
  ): Promise<{ readonly status: number; readonly text: string }> {
    let last = { status: 502, text: '' };
    for (let tries = 0; tries < TRIES && last.status >= 500; tries += 1) {
      last = await this.#send(servers, call);
    }
    return last;
  }

  async #send(
    servers: readonly string[],
    { method, path, body }: Forwarded,
  ): Promise<{ readonly status: number; readonly text: string }> {
    this.#turn += 1;
    try {
      const answer = await request(`${servers[this.#turn % servers.length]}${path}`, {
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

/** Runs the baseline as a process. */
async function main(): Promise<void> {
  const settings = settingsFromArguments<PassThroughSettings>();
  announce({ port: await listen(new PassThrough(settings).server, settings.port) });
}

if (process.argv[1]?.endsWith('standin/pass-through.js') === true) await main();
