import type { Socket } from 'node:net';
import type { EndlessAnswer } from './endless-answers.js';
import { ANSWER_BODY } from './platform-backend.js';

/** Head of a request as a bare server reads it. */
export interface ReceivedHead {
  readonly path: string;
  /** Identifier of the attempt. */
  readonly id: string;
}

const BLOCK_BYTES = 16_384;

/**
 * Reads the heads of requests without a body on a connection.
 *
 * @param socket - the connection
 * @param onHead - called with each head
 */
export function readHeads(socket: Socket, onHead: (head: ReceivedHead) => void): void {
  let unread = '';
  socket.on('data', (chunk: Buffer) => {
    unread += chunk.toString('latin1');
    for (let end = unread.indexOf('\r\n\r\n'); end >= 0; end = unread.indexOf('\r\n\r\n')) {
      const head = unread.slice(0, end);
      unread = unread.slice(end + 4);
      onHead({
        path: head.split(' ')[1] ?? '',
        id: /^attempt-id: *(\S+)/im.exec(head)?.[1] ?? '',
      });
    }
  });
}

/**
 * Formats a correct answer.
 *
 * @param id - identifier of the attempt
 * @returns the answer
 */
export function soundAnswer(id: string): string {
  return `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Signature: signed-${id}\r\nContent-Length: ${ANSWER_BODY.length}\r\n\r\n${ANSWER_BODY}`;
}

/**
 * Writes an answer without end, as fast as the peer reads, until the connection closes.
 *
 * @param socket - the connection
 * @param answer - start and repeated bytes of the answer
 * @param id - identifier of the attempt
 */
export function answerEndlessly(
  socket: Socket,
  { start, repeated }: EndlessAnswer,
  id: string,
): void {
  const part = repeated.replaceAll('{id}', id);
  const block = Buffer.from(
    part.repeat(Math.max(1, Math.floor(BLOCK_BYTES / part.length))),
    'latin1',
  );
  const write = (): void => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on('drain', write);
  socket.write(start.replaceAll('{id}', id));
  write();
}
