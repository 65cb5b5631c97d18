/* eslint-disable no-await-in-loop -- the steps of a case follow each other. */
import { request, Agent } from 'node:http';
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST } from './deployment.mjs';

export function newAttempt() {
  return randomBytes(8).toString('hex');
}

/** Writes a body at the speed of the client's link. */
async function writePaced(outgoing, body, { bytes, everyMs }) {
  for (let at = 0; at < body.length && !outgoing.destroyed; at += bytes) {
    const isRoom = outgoing.write(body.subarray(at, at + bytes));
    // A client that is not read waits, and leaves when its time is up.
    if (!isRoom) {
      await new Promise((resume) => {
        const go = () => {
          outgoing.off('drain', go);
          outgoing.off('close', go);
          resume();
        };
        outgoing.on('drain', go);
        outgoing.on('close', go);
      });
    }
    await sleep(everyMs);
  }
  if (!outgoing.destroyed) outgoing.end();
}

/**
 * Sends a request and waits for its whole answer. A client leaves when its time is up.
 *
 * @returns attempt, status (0 without one), whether the body is whole, and the times
 */
export function send(machine, call, record) {
  const { path, method = 'GET', body = null, key, timeoutMs, pace = null } = call;
  const { agent = new Agent({ keepAlive: false }) } = call;
  const attempt = newAttempt();
  const sentAt = performance.now();
  record(
    `${attempt} ${method} ${path} sent to ${machine.name} (${body?.length ?? 0} bytes of body)`,
  );
  return new Promise((done) => {
    let timer = null;
    const finish = (status, isWhole, why) => {
      clearTimeout(timer);
      const tookMs = Math.round(performance.now() - sentAt);
      record(`${attempt} got ${status === 0 ? 'no answer' : status} after ${tookMs} ms${why}`);
      done({ attempt, status, isWhole, tookMs, sentAt, path });
    };
    const outgoing = request({
      ...machine.outbound,
      agent,
      method,
      path,
      headers: {
        host: HOST,
        'attempt-id': attempt,
        'timeout-ms': String(timeoutMs),
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(body === null ? {} : { 'content-length': body.length }),
      },
    });
    timer = setTimeout(() => outgoing.destroy(new Error('its client left')), timeoutMs);
    outgoing.on('response', (response) => {
      let length = 0;
      response.on('data', (chunk) => {
        length += chunk.length;
      });
      response.on('end', () => finish(response.statusCode, response.complete, ''));
      response.on('error', (error) =>
        finish(response.statusCode, false, `, cut at ${length} bytes: ${error.message}`),
      );
    });
    outgoing.on('error', (error) => finish(0, false, `: ${error.message}`));
    if (body === null || pace === null) outgoing.end(body ?? undefined);
    else void writePaced(outgoing, body, pace);
  });
}
