import { connect } from 'node:net';
import { newAttempt } from './client.mjs';
import { HOST } from './deployment.mjs';

const READ_EVERY_MS = 10;

/**
 * Sends a request on a connection that the client keeps, and reads its answer slowly.
 *
 * @returns attempt, whether the body is whole, and whether the connection ended before its answer
 */
export function readSlowly(machine, { path, key, timeoutMs, bytesPerS, answerBytes }, record) {
  const attempt = newAttempt();
  const sentAt = performance.now();
  record(`${attempt} GET ${path} sent to ${machine.name}`);
  return new Promise((done) => {
    const socket = connect(machine.outbound);
    let head = null;
    let bodyBytes = 0;
    let start = Buffer.alloc(0);
    let isEnded = false;
    let timer = null;
    const take = (chunk) => {
      if (head !== null) {
        bodyBytes += chunk.length;
        return;
      }
      start = Buffer.concat([start, chunk]);
      const end = start.indexOf('\r\n\r\n');
      if (end < 0) return;
      head = start.subarray(0, start.indexOf('\r\n')).toString('latin1');
      bodyBytes = start.length - end - 4;
    };
    const finish = (why, isCut) => {
      if (isEnded) return;
      isEnded = true;
      clearInterval(timer);
      socket.destroy();
      const isWhole = bodyBytes === answerBytes;
      const tookMs = Math.round(performance.now() - sentAt);
      record(
        `${attempt} got ${head ?? 'no answer'}, ${bodyBytes} of ${answerBytes} bytes after ${tookMs} ms: ${why}`,
      );
      done({ attempt, isWhole, isCut, head });
    };
    timer = setInterval(() => {
      let budget = (bytesPerS * READ_EVERY_MS) / 1000;
      while (budget > 0) {
        // Reading from an empty buffer is what shows the end of the connection.
        const size = Math.min(budget, socket.readableLength);
        const chunk = size === 0 ? socket.read() : socket.read(size);
        if (chunk === null) break;
        budget -= chunk.length;
        take(chunk);
      }
      const isRefused = head !== null && !head.includes(' 200 ');
      if (isRefused) finish('refused', false);
      else if (bodyBytes >= answerBytes) finish('whole', false);
      else if (performance.now() - sentAt > timeoutMs) finish('its client left', false);
    }, READ_EVERY_MS);
    socket.write(
      `GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${attempt}\r\n` +
        `Timeout-Ms: ${timeoutMs}\r\nAuthorization: Bearer ${key}\r\n\r\n`,
    );
    // Keeps the stream in paused mode, so that only the timer reads.
    socket.on('readable', () => {});
    socket.on('error', (error) => finish(error.message, true));
    socket.on('end', () => finish('the connection ended', true));
  });
}
