// Stand-in for an application server of the platform.
import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { createServer } from 'node:http';

export class AppServer {
  /** Requests that it began to work on: identifier, instant and headers. */
  runs = [];

  running = 0;

  #coldUntil = 0;

  constructor({ service, slots = 120, queue = 144, workMs = 90, warmUpMs = 0 }) {
    Object.assign(this, { service, slots, queue, workMs });
    this.id = `i-${randomBytes(5).toString('hex')}`;
    this.born = Date.now();
    if (warmUpMs > 0) this.becomeCold(warmUpMs);
    this.server = createServer((request, response) => this.#handle(request, response));
    this.server.keepAliveTimeout = 10_000;
  }

  becomeCold(forMs) {
    this.#coldUntil = performance.now() + forMs;
  }

  warmUpLeftMs() {
    return Math.max(0, this.#coldUntil - performance.now());
  }

  async listen(port, host) {
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Reads the body of a request; a case may replace it. */
  readBody(request, onEnd) {
    request.on('data', () => {});
    request.on('end', onEnd);
  }

  /** Makes the calls that a request needs, and tells whether they succeeded; a case may replace it. */
  async makeCalls() {
    return true;
  }

  /** Called when a request begins to run. */
  onRun() {}

  #handle(request, response) {
    request.on('error', () => {});
    if (request.url === '/healthz') {
      const left = Math.ceil(this.warmUpLeftMs());
      response.writeHead(200, {
        'Instance-Id': this.id,
        ...(left > 0 ? { 'Warmup-Ms': String(left) } : {}),
      });
      response.end();
      return;
    }
    const { headers } = request;
    const expected = headers['target-instance'];
    if (expected !== undefined && expected !== this.id) {
      request.resume();
      response.writeHead(421, { 'Instance-Id': this.id }).end();
      return;
    }
    if (this.running >= this.slots + this.queue) {
      request.resume();
      response.writeHead(503, { 'Not-Executed': '1' }).end();
      return;
    }
    this.#run(request, response);
  }

  #run(request, response) {
    const { headers, method, url } = request;
    const id = headers['attempt-id'];
    this.running += 1;
    this.runs.push({ id, method, url, headers, at: performance.now() });
    this.onRun(request);
    const answer = (status, text) => {
      if (response.writableEnded || response.destroyed) return;
      response.writeHead(status, {
        'Attempt-Id': id,
        'Response-Signature': `${this.id}.${id}.${status}`,
        'Content-Length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    const stop = setTimeout(() => answer(504, 'deadline'), Number(headers['timeout-ms'] ?? 5000));
    let work = null;
    response.on('close', () => {
      this.running -= 1;
      clearTimeout(stop);
      clearTimeout(work);
    });
    this.readBody(request, () => {
      work = setTimeout(async () => {
        const isDone = await this.makeCalls(request);
        answer(isDone ? 200 : 500, `${this.id} ran ${id}`);
      }, this.workMs);
    });
  }
}
