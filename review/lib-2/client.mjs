// Stand-in for a client: one request on a connection of its own, as the pages describe it.
import { randomBytes } from 'node:crypto';
import { request as send } from 'node:http';

export function newId() {
  return randomBytes(8).toString('hex');
}

/**
 * Sends a request and waits for its whole answer.
 *
 * @returns what the client saw, with `status` null when the connection ended without an answer
 */
export function call({
  ip,
  port,
  host,
  path,
  method = 'GET',
  key,
  timeoutMs,
  body,
  id = newId(),
  agent = false,
}) {
  return new Promise((done) => {
    const sentAt = performance.now();
    let isDone = false;
    let timer = null;
    const finish = (seen) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      done({ id, sentAt, tookMs: Math.round(performance.now() - sentAt), ...seen });
    };
    const request = send({
      host: ip,
      port,
      path,
      method,
      agent,
      headers: {
        Host: host,
        'Attempt-Id': id,
        'Timeout-Ms': String(timeoutMs),
        ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }),
        ...(body === undefined ? {} : { 'Content-Length': body.length }),
      },
    });
    timer = setTimeout(() => {
      finish({ status: null, reason: 'the client gave up at its deadline' });
      request.destroy();
    }, timeoutMs);
    request.on('error', (error) => finish({ status: null, reason: error.code ?? error.message }));
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => finish({ status: null, reason: 'answer broken off' }));
      response.on('end', () =>
        finish({
          status: response.statusCode,
          signature: response.headers['response-signature'] ?? null,
          text: Buffer.concat(chunks).toString('latin1'),
        }),
      );
    });
    if (body === undefined) request.end();
    else request.end(body);
  });
}
