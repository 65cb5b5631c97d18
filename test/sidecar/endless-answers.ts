import type { Socket } from 'node:net';

const BLOCK = 'x'.repeat(16_384);
const HEAD = 'HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: s\r\n';

/** An answer of a faulty backend server: its start, and the bytes that follow without end. */
export interface EndlessAnswer {
  readonly start: string;
  readonly repeated: string;
}

/** Endless answers by the part that never ends. */
export const ENDLESS_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  'status line': { start: 'HTTP/1.1 200 ', repeated: BLOCK },
  'header name': { start: HEAD, repeated: BLOCK },
  'header value': { start: `${HEAD}X-Long: `, repeated: BLOCK },
  'list of headers': { start: HEAD, repeated: `X-More: ${'y'.repeat(100)}\r\n` },
  'row of interim answers': { start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'chunked body': {
    start: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: `4000\r\n${BLOCK}\r\n`,
  },
  'chunk extension': { start: `${HEAD}Transfer-Encoding: chunked\r\n\r\n1;`, repeated: BLOCK },
  'body without a length': { start: `${HEAD}\r\n`, repeated: BLOCK },
  'stream of other bytes': { start: '', repeated: '\u0001\u0002garbage' },
  'tail after a whole answer': { start: `${HEAD}Content-Length: 2\r\n\r\nok`, repeated: BLOCK },
};

/**
 * Writes without end, as fast as the peer reads, until the connection closes.
 *
 * @param socket - the connection
 * @param answer - start and repeated bytes of the answer
 */
export function writeEndlessly(socket: Socket, { start, repeated }: EndlessAnswer): void {
  const block = repeated.repeat(Math.max(1, Math.floor(BLOCK.length / repeated.length)));
  const write = (): void => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on('error', () => {});
  socket.on('drain', write);
  socket.write(start);
  write();
}
