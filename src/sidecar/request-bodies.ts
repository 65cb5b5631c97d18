import type { IncomingMessage } from 'node:http';

/** Result of reading a body. */
export type BodyResult =
  | {
      readonly kind: 'complete';
      readonly body: Uint8Array;
      /** Called once, when the body is no longer needed. */
      readonly release: () => void;
    }
  | { readonly kind: 'too-large' };

const EMPTY_BODY = new Uint8Array();

/** Reads the bodies of requests into memory, of which they share a limited part. */
export class RequestBodies {
  readonly #maxBufferedBytes: number;

  #bufferedBytes = 0;

  /** Requests whose bodies are not read further until buffered bytes are released. */
  readonly #paused = new Set<IncomingMessage>();

  /**
   * @param maxBufferedBytes - bytes of all bodies above which no more is read
   */
  constructor(maxBufferedBytes: number) {
    this.#maxBufferedBytes = maxBufferedBytes;
  }

  /**
   * Reads the body of a request.
   *
   * @param request - the request
   * @param maxBytes - limit of its body
   * @param onResult - called at most once; never when the connection ends before the body
   */
  read(request: IncomingMessage, maxBytes: number, onResult: (result: BodyResult) => void): void {
    const { headers } = request;
    if (Number(headers['content-length'] ?? 0) > maxBytes) {
      request.resume();
      onResult({ kind: 'too-large' });
    } else if ('content-length' in headers || 'transfer-encoding' in headers) {
      this.#readChunks(request, maxBytes, onResult);
    } else {
      onResult({ kind: 'complete', body: EMPTY_BODY, release: () => {} });
    }
  }

  #readChunks(
    request: IncomingMessage,
    maxBytes: number,
    onResult: (result: BodyResult) => void,
  ): void {
    const chunks: Buffer[] = [];
    let length = 0;
    let isEnded = false;
    const release = (): void => {
      this.#release(length);
      length = 0;
    };
    request.on('data', (chunk: Buffer) => {
      if (isEnded) return;
      chunks.push(chunk);
      length += chunk.length;
      this.#bufferedBytes += chunk.length;
      if (length > maxBytes) {
        isEnded = true;
        release();
        onResult({ kind: 'too-large' });
      } else if (this.#bufferedBytes > this.#maxBufferedBytes) {
        request.pause();
        this.#paused.add(request);
      }
    });
    request.on('end', () => {
      if (isEnded) return;
      isEnded = true;
      onResult({ kind: 'complete', body: Buffer.concat(chunks), release });
    });
    request.on('close', () => {
      this.#paused.delete(request);
      // A body that is held back may have arrived completely without ever being read to its end.
      if (!isEnded) release();
    });
    // The close event that follows handles an incomplete request.
    request.on('error', () => {});
  }

  #release(bytes: number): void {
    this.#bufferedBytes -= bytes;
    if (this.#bufferedBytes > this.#maxBufferedBytes) return;
    this.#paused.forEach((request) => request.resume());
    this.#paused.clear();
  }
}
