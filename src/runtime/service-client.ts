import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import type { Pool } from 'undici';
import { formatFault, type Fault } from '../core/errors/fault.js';
import { readBundle } from '../core/configuration/bundle.js';
import { readManifest, type PartHead } from '../core/configuration/manifest.js';
import type { Document, Topic } from '../core/model/document.js';
import { ExcessiveAnswer } from './excessive-answer.js';
import { fetchAnswer } from './fetch-answer.js';
import { readHostList } from './host-list.js';
import { openMeteredPool } from './metered-pool.js';
import type { ReadPacer } from './read-pacer.js';

/** Result of a read or a watch of the configuration service. */
export type ServiceReply =
  | { readonly kind: 'value'; readonly topic: Topic; readonly document: Document }
  | { readonly kind: 'unchanged'; readonly topic: Topic }
  | { readonly kind: 'failed'; readonly topic: Topic; readonly reason: string };

interface Replica {
  readonly url: string;
  readonly pool: Pool;
}

interface ServiceValue {
  readonly etag: string;
  readonly text: string;
}

const READ_TIMEOUT_MS = 1500;
const CONNECT_TIMEOUT_MS = 1000;

/** Kept short because the fleet takes an answered watch as proof that the service is alive. */
const WATCH_WAIT_MS = 1000;
const MAX_VALUE_BYTES = 1_000_000;

function valueName(topic: Topic): string {
  return topic === 'configuration' ? 'configuration/manifest' : topic;
}

function faultText(faults: readonly Fault[]): string {
  return faults.map(formatFault).join('; ');
}

function describeFailure(error: unknown): string {
  if (error instanceof ExcessiveAnswer && error.excess === 'too-large') {
    return `value over ${MAX_VALUE_BYTES} bytes`;
  }
  return error instanceof Error ? error.message : String(error);
}

/** Read-only client of the configuration service. */
export class ServiceClient {
  readonly #replicas: readonly Replica[];

  readonly #onReply: (reply: ServiceReply) => void;

  /** ETag of the last value by topic, from which a watch continues. */
  readonly #etags = new Map<Topic, string>();

  #parts: ReadonlyMap<string, string> = new Map();

  readonly #abortController = new AbortController();

  /**
   * @param urls - base URLs of the service, tried in order
   * @param onReply - called with one reply for each read and each watch
   * @param pacer - grants processor time to read long answers
   */
  constructor(urls: readonly string[], onReply: (reply: ServiceReply) => void, pacer: ReadPacer) {
    this.#replicas = urls.map((url) => ({
      url,
      pool: openMeteredPool(url, null, {
        pacer,
        maxBodyBytes: MAX_VALUE_BYTES,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        answerTimeoutMs: 0,
      }),
    }));
    this.#onReply = onReply;
  }

  /**
   * Reads the current value of a topic.
   *
   * @param topic - the topic to read
   */
  read(topic: Topic): void {
    void this.#fetchDocument(topic, `/v1/values/${valueName(topic)}`, READ_TIMEOUT_MS);
  }

  /**
   * Waits for a value that differs from the last one read.
   *
   * @param topic - the topic to watch
   */
  watch(topic: Topic): void {
    const after = encodeURIComponent(this.#etags.get(topic) ?? '');
    const path = `/v1/watch/${valueName(topic)}?after=${after}&wait_ms=${WATCH_WAIT_MS}`;
    void this.#fetchDocument(topic, path, WATCH_WAIT_MS + READ_TIMEOUT_MS);
  }

  /** Cancels all reads and watches. */
  close(): void {
    this.#abortController.abort();
    this.#replicas.forEach(({ pool }) => {
      void pool.destroy();
    });
  }

  async #fetchDocument(topic: Topic, path: string, timeoutMs: number): Promise<void> {
    const reply = await this.#get(path, timeoutMs)
      .andThen((value) => (value === null ? ok(null) : this.#toDocument(topic, value)))
      .match(
        (document): ServiceReply =>
          document === null ? { kind: 'unchanged', topic } : { kind: 'value', topic, document },
        (reason): ServiceReply => ({ kind: 'failed', topic, reason }),
      );
    if (!this.#abortController.signal.aborted) this.#onReply(reply);
  }

  #toDocument(topic: Topic, value: ServiceValue): ResultAsync<Document, string> {
    const document =
      topic === 'configuration'
        ? this.#readConfiguration(value.text)
        : readHostList(topic, value.text).asyncMap(async (list) => list);
    return document.map((readDocument) => {
      this.#etags.set(topic, value.etag);
      return readDocument;
    });
  }

  #readConfiguration(manifestText: string): ResultAsync<Document, string> {
    return this.#readParts(manifestText).andThen((parts) =>
      readBundle(manifestText, parts).mapErr(faultText),
    );
  }

  #readParts(manifestText: string): ResultAsync<ReadonlyMap<string, string>, string> {
    return readManifest(manifestText, 'configuration/manifest')
      .mapErr(faultText)
      .asyncAndThen(({ parts }) => ResultAsync.combine(parts.map((part) => this.#readPart(part))))
      .map((pairs) => {
        // Parts are named by their digest, so those of the last manifest need no second read.
        this.#parts = new Map(pairs);
        return this.#parts;
      });
  }

  #readPart({ digest }: PartHead): ResultAsync<readonly [string, string], string> {
    const cached = this.#parts.get(digest);
    if (cached !== undefined) return okAsync([digest, cached]);
    return this.#get(`/v1/values/configuration/parts/${digest}`, READ_TIMEOUT_MS).map((value) => [
      digest,
      value?.text ?? '',
    ]);
  }

  #get(path: string, timeoutMs: number): ResultAsync<ServiceValue | null, string> {
    return new ResultAsync(this.#tryInOrder(path, timeoutMs));
  }

  async #tryInOrder(path: string, timeoutMs: number): Promise<Result<ServiceValue | null, string>> {
    let result: Result<ServiceValue | null, string> = err(
      'no URL of the configuration service is set',
    );
    for (const replica of this.#replicas) {
      // Each URL is a replica of the same service; querying all at once would multiply its load.
      // eslint-disable-next-line no-await-in-loop
      result = await this.#getFrom(replica, path, timeoutMs);
      if (result.isOk()) return result;
    }
    return result;
  }

  async #getFrom(
    { url, pool }: Replica,
    path: string,
    timeoutMs: number,
  ): Promise<Result<ServiceValue | null, string>> {
    try {
      const signal = AbortSignal.any([
        this.#abortController.signal,
        AbortSignal.timeout(timeoutMs),
      ]);
      const { status, headers, body } = await fetchAnswer(pool, { path, signal });
      if (status === 304) return ok(null);
      if (status !== 200) return err(`status ${status} for ${url}${path}`);
      return ok({ etag: String(headers['etag'] ?? ''), text: body.toString('utf8') });
    } catch (error) {
      return err(describeFailure(error));
    }
  }
}
