import { drawEndlessForm, type EndlessForm, type EventText, type Tail } from './endless-forms.js';
import { ANSWER_BODY } from './platform-backend.js';
import type { Random } from './process.js';

/**
 * An answer of a faulty backend server: its start, and the bytes that follow without end. In both,
 * `{id}` stands for the identifier of the request.
 */
export interface EndlessAnswer {
  readonly start: string;
  readonly repeated: string;
}

const BLOCK = 'x'.repeat(16_384);

/** Size of a chunk in hexadecimal digits, few enough that parsers accept it. */
const HUGE_CHUNK_SIZE = 'ffffffffffff';
const HUGE_LENGTH = 900_000_000_000;

function headOf(status: number): string {
  return `HTTP/1.1 ${status} X\r\nAttempt-Id: {id}\r\nResponse-Signature: signed-{id}\r\n`;
}

function chunkedHeadOf(status: number): string {
  return `${headOf(status)}Transfer-Encoding: chunked\r\n\r\n`;
}

function streamHeadOf(status: number): string {
  return `${headOf(status)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/**
 * Lists answers by the part that never ends.
 *
 * @param status - status of the answers
 * @returns the answers by name
 */
export function endlessAnswers(status: number): Readonly<Record<string, EndlessAnswer>> {
  const head = headOf(status);
  const chunkedHead = chunkedHeadOf(status);
  const streamHead = streamHeadOf(status);
  return {
    'status line': { start: `HTTP/1.1 ${status} `, repeated: BLOCK },
    'header name': { start: head, repeated: BLOCK },
    'header value': { start: `${head}X-Long: `, repeated: BLOCK },
    'list of headers': { start: head, repeated: `X-More: ${'y'.repeat(100)}\r\n` },
    'list of short headers': { start: head, repeated: 'a:b\r\n' },
    'row of interim answers of many headers': {
      start: '',
      repeated: `HTTP/1.1 103 X\r\n${'a:b\r\n'.repeat(1000)}\r\n`,
    },
    'row of interim answers': { start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
    'row of empty lines': { start: '', repeated: '\r\n' },
    'size of a chunk': { start: chunkedHead, repeated: '0' },
    'junk in place of the size of a chunk': { start: chunkedHead, repeated: 'no size' },
    'chunk extension': { start: `${chunkedHead}1;`, repeated: BLOCK },
    'row of chunks with extensions': {
      start: chunkedHead,
      repeated: `1;${'e'.repeat(64)}\r\nx\r\n`,
    },
    chunk: { start: `${chunkedHead}${HUGE_CHUNK_SIZE}\r\n`, repeated: BLOCK },
    'row of chunks': { start: chunkedHead, repeated: chunkOf(BLOCK) },
    'row of one-byte chunks': { start: chunkedHead, repeated: chunkOf('x') },
    'row of trailers': { start: `${chunkedHead}0\r\n`, repeated: 'X-More: y\r\n' },
    'body of a huge length': {
      start: `${head}Content-Length: ${HUGE_LENGTH}\r\n\r\n`,
      repeated: BLOCK,
    },
    'body without a length': { start: `${head}\r\n`, repeated: BLOCK },
    'event that is never complete': { start: streamHead, repeated: chunkOf('data: x\n') },
    'row of events': { start: streamHead, repeated: chunkOf('data: x\n\n') },
    'stream of other bytes': { start: '', repeated: '\u0001\u0002garbage' },
    'tail after a whole answer': { start: `${head}Content-Length: 2\r\n\r\nok`, repeated: BLOCK },
    'row of empty lines after a whole answer': {
      start: `${head}Content-Length: 2\r\n\r\nok`,
      repeated: '\r\n',
    },
  };
}

function interimAnswer(status: number): string {
  return `HTTP/1.1 ${status} Interim\r\nLink: </x>\r\n\r\n`;
}

function eventOf(text: EventText, dataBytes: number): string {
  const data = 'd'.repeat(dataBytes);
  switch (text) {
    case 'whole':
      return `data: ${data}\n\n`;
    case 'incomplete':
      return `data: ${data}\n`;
    case 'comment':
      return `: ${data}\n`;
    case 'empty-line':
      return '\n';
  }
}

function cutIntoChunks(text: string, bytes: number): string {
  const count = Math.ceil(text.length / bytes);
  return Array.from({ length: count }, (_, at) =>
    chunkOf(text.slice(at * bytes, (at + 1) * bytes)),
  ).join('');
}

function repeatedTail(tail: Tail, answer: string): string {
  switch (tail) {
    case 'bytes':
      return BLOCK;
    case 'empty-lines':
      return '\r\n';
    case 'answers':
      return answer;
  }
}

/**
 * Composes the bytes of an answer without end.
 *
 * @param form - form of the answer
 * @returns the answer
 */
export function composeEndlessAnswer(form: EndlessForm): EndlessAnswer {
  const { status, reasonBytes, interimStatuses, headerCount, headerBytes, part } = form;
  const interim = interimStatuses.map(interimAnswer).join('');
  const statusLine = `HTTP/1.1 ${status} ${'r'.repeat(reasonBytes)}\r\n`;
  const headers = `X-Long: ${'y'.repeat(headerBytes)}\r\n`.repeat(headerCount);
  const head = `${interim}${statusLine}Attempt-Id: {id}\r\nResponse-Signature: signed-{id}\r\n${headers}`;
  const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
  switch (part.kind) {
    case 'empty-lines-first':
      return { start: interim, repeated: '\r\n' };
    case 'interim-answers':
      return { start: interim, repeated: interimAnswer(part.status) };
    case 'reason':
      return { start: `${interim}HTTP/1.1 ${status} `, repeated: BLOCK };
    case 'header-name':
      return { start: head, repeated: BLOCK };
    case 'header-value':
      return { start: `${head}X-Longest: `, repeated: BLOCK };
    case 'headers':
      return { start: head, repeated: `X-More: ${'y'.repeat(part.valueBytes)}\r\n` };
    case 'chunk-size':
      return { start: chunked, repeated: '0' };
    case 'junk-as-chunk-size':
      return { start: chunked, repeated: part.junk };
    case 'chunk-extension':
      return { start: `${chunked}1;`, repeated: BLOCK };
    case 'chunk':
      return { start: `${chunked}${HUGE_CHUNK_SIZE}\r\n`, repeated: BLOCK };
    case 'chunks': {
      const extension = part.extensionBytes === 0 ? '' : `;${'e'.repeat(part.extensionBytes)}`;
      const chunks = part.sizes.map(
        (size) => `${size.toString(16)}${extension}\r\n${'x'.repeat(size)}\r\n`,
      );
      return { start: chunked, repeated: chunks.join('') };
    }
    case 'trailers':
      return {
        start: `${chunked}0\r\n`,
        repeated: `X-More: ${'y'.repeat(part.valueBytes)}\r\n`,
      };
    case 'events': {
      const event = eventOf(part.event, part.dataBytes);
      const streamHead = `${head}Content-Type: text/event-stream\r\n`;
      return part.pieceBytes === null
        ? { start: `${streamHead}\r\n`, repeated: event }
        : {
            start: `${streamHead}Transfer-Encoding: chunked\r\n\r\n`,
            repeated: cutIntoChunks(event, part.pieceBytes),
          };
    }
    case 'body':
      return {
        start: `${head}${part.isLengthTold ? `Content-Length: ${HUGE_LENGTH}\r\n` : ''}\r\n`,
        repeated: BLOCK,
      };
    case 'tail': {
      const whole = `${head}Content-Length: ${ANSWER_BODY.length}\r\n\r\n${ANSWER_BODY}`;
      return { start: whole, repeated: repeatedTail(part.tail, whole) };
    }
    case 'other-protocol':
      return { start: interim, repeated: '\u0001\u0002garbage' };
  }
}

/**
 * Draws an answer without end.
 *
 * @param random - source of random numbers
 * @returns the answer
 */
export function drawEndlessAnswer(random: Random): EndlessAnswer {
  return composeEndlessAnswer(drawEndlessForm(random));
}
