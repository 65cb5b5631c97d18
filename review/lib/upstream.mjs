import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** Idle time after which the stand-in closes a connection. */
const IDLE_CLOSE_MS = 10_000;

/** Stand-in for a sound upstream: one run for each request that it accepts, with a signed answer. */
export class Upstream {
  /** Requests that this upstream began to run, in order. */
  runs = [];

  /** Instant until which the upstream is cold. */
  coldUntil = 0;

  /** Runs a request; returns the status and the body of the answer. */
  work = async () => {
    await sleep(20);
    return { status: 200, body: Buffer.from('{"done":true}') };
  };

  constructor(id, record) {
    this.id = id;
    this.record = record;
    this.server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.server.keepAliveTimeout = IDLE_CLOSE_MS;
    this.server.requestTimeout = 0;
  }

  async #handle(request, response) {
    if (request.url === '/healthz') {
      const coldMs = Math.max(0, Math.round(this.coldUntil - performance.now()));
      const cold = coldMs > 0 ? { 'warmup-ms': String(coldMs) } : {};
      response.writeHead(200, { 'instance-id': this.id, 'content-length': 0, ...cold }).end();
      return;
    }
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const attempt = request.headers['attempt-id'];
    const target = request.headers['target-instance'];
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, { 'instance-id': this.id, 'content-length': 0 }).end();
      return;
    }
    const run = {
      attempt,
      path: request.url,
      tenant: request.headers['tenant-id'] ?? null,
      bytes: chunks.reduce((sum, { length }) => sum + length, 0),
      at: performance.now(),
    };
    this.runs.push(run);
    this.record(`${this.id} runs ${attempt} ${request.url} (${run.bytes} bytes of body)`);
    const { status, body } = await this.work(run);
    if (response.destroyed) {
      this.record(`${this.id} could not answer ${attempt}: its connection was closed`);
      return;
    }
    response.writeHead(status, {
      'attempt-id': attempt,
      'response-signature': `${this.id}.${attempt}.${body.length}`,
      'content-length': body.length,
    });
    response.end(body, () => this.record(`${this.id} answered ${attempt} with ${status}`));
  }
}
