import type { Dispatcher } from 'undici';
import { BodyBuffer } from './body-buffer.js';

/** Status and headers of an answer. */
export interface FetchedHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
}

/** Whole answer. */
export interface FetchedAnswer extends FetchedHead {
  readonly body: Buffer;
}

/** What is requested, and how the request is given up. */
export interface FetchOptions {
  readonly path: string;
  readonly signal?: AbortSignal;
  /** Called with each piece of the body. */
  readonly onData?: () => void;
}

/**
 * Receives an answer. It replaces the request API of undici, which holds the parser back while a
 * body is read; undici fails with an assertion when the connection ends at such a moment.
 */
class FetchHandler implements Dispatcher.DispatchHandler {
  readonly #extent: 'head' | 'whole';

  readonly #onData: () => void;

  readonly #resolve: (answer: FetchedAnswer) => void;

  readonly #reject: (error: unknown) => void;

  #controller: Dispatcher.DispatchController | null = null;

  #abortReason: Error | null = null;

  #head: FetchedHead = { status: 0, headers: {} };

  #body = new BodyBuffer(null);

  constructor(
    extent: 'head' | 'whole',
    onData: () => void,
    resolve: (answer: FetchedAnswer) => void,
    reject: (error: unknown) => void,
  ) {
    this.#extent = extent;
    this.#onData = onData;
    this.#resolve = resolve;
    this.#reject = reject;
  }

  /** Gives the request up. One that waits for its connection is not sent. */
  abort(reason: unknown): void {
    this.#reject(reason);
    this.#abortReason = reason instanceof Error ? reason : new Error(String(reason));
    this.#controller?.abort(this.#abortReason);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#abortReason !== null) controller.abort(this.#abortReason);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: FetchedHead['headers'],
  ): void {
    this.#head = { status, headers };
    if (this.#extent === 'whole') {
      const length = headers['content-length'];
      this.#body = new BodyBuffer(typeof length === 'string' ? Number(length) : null);
      return;
    }
    this.#resolve({ ...this.#head, body: this.#body.take() });
    controller.abort(new Error('only the head is read'));
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#body.add(chunk);
    this.#onData();
  }

  onResponseEnd(): void {
    this.#resolve({ ...this.#head, body: this.#body.take() });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#body.clear();
    this.#reject(error);
  }
}

async function fetchExtent(
  client: Pick<Dispatcher, 'dispatch'>,
  { path, signal, onData = () => {} }: FetchOptions,
  extent: 'head' | 'whole',
): Promise<FetchedAnswer> {
  signal?.throwIfAborted();
  let abort = (): void => {};
  try {
    return await new Promise<FetchedAnswer>((resolve, reject) => {
      const handler = new FetchHandler(extent, onData, resolve, reject);
      abort = () => handler.abort(signal?.reason);
      signal?.addEventListener('abort', abort, { once: true });
      client.dispatch({ path, method: 'GET' }, handler);
    });
  } finally {
    signal?.removeEventListener('abort', abort);
  }
}

/**
 * Requests the head of an answer with GET, and closes its connection without reading the body.
 *
 * @param client - client of the server
 * @param options - path and signal
 * @returns the head
 * @throws the error that ended the request, or the reason of the signal
 */
export async function fetchHead(
  client: Pick<Dispatcher, 'dispatch'>,
  options: FetchOptions,
): Promise<FetchedHead> {
  return fetchExtent(client, options, 'head');
}

/**
 * Requests a whole answer with GET.
 *
 * @param client - client of the server, which limits what is read
 * @param options - path, signal and observer
 * @returns the answer
 * @throws the error that ended the request, or the reason of the signal
 */
export async function fetchAnswer(
  client: Pick<Dispatcher, 'dispatch'>,
  options: FetchOptions,
): Promise<FetchedAnswer> {
  return fetchExtent(client, options, 'whole');
}
