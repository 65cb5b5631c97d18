import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { formatCodeMessage, getResultCode, type CodeName } from '../core/errors/registry.js';
import type { MeshOutcome } from '../core/exchange/mesh-call.js';
import type { Milliseconds } from '../core/model/time.js';

const DEFAULT_ERROR_STATUS = 502;

function statusOf(code: CodeName): number {
  return getResultCode(code).httpStatus ?? DEFAULT_ERROR_STATUS;
}

function formatRetryAfter(retryAfterMs: Milliseconds): string {
  return (retryAfterMs / 1000).toFixed(3);
}

function writeRefusal(
  response: ServerResponse,
  code: CodeName,
  retryAfterMs: Milliseconds,
  isLast: boolean,
): void {
  const text = `${getResultCode(code).number} ${formatCodeMessage(code, {})}\n`;
  response.writeHead(statusOf(code), {
    'content-type': 'text/plain',
    'content-length': Buffer.byteLength(text),
    ...(retryAfterMs > 0 ? { 'retry-after': formatRetryAfter(retryAfterMs) } : {}),
    ...(isLast ? { connection: 'close' } : {}),
  });
  response.end(text);
}

/**
 * Writes the answer to a request.
 *
 * @param response - the response of the request
 * @param outcome - the answer
 * @param isLast - whether the connection closes behind it
 */
export function writeAnswer(response: ServerResponse, outcome: MeshOutcome, isLast: boolean): void {
  if (response.destroyed || response.headersSent) return;
  switch (outcome.kind) {
    case 'answered': {
      const headers = outcome.headers.flat();
      if (isLast) headers.push('connection', 'close');
      headers.push('content-length', String(outcome.body.length));
      response.writeHead(outcome.status, headers);
      response.end(outcome.body);
      break;
    }
    case 'refused':
      writeRefusal(response, outcome.code, outcome.retryAfterMs, isLast);
      break;
    case 'failed':
      writeRefusal(response, outcome.code, 0, isLast);
      break;
  }
}

/**
 * Refuses bytes that are no request, and ends the connection.
 *
 * @param socket - the connection, on which all answers have been written
 * @param code - the reason
 */
export function refuseUnread(socket: Duplex, code: CodeName): void {
  const status = statusOf(code);
  socket.end(
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
  );
}
