import type { Dialect } from '../core/exchange/dialect.js';
import type { HealthReport } from '../core/exchange/incoming-request.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import { fetchHead } from '../runtime/fetch-answer.js';
import { openMeteredClient } from '../runtime/metered-client.js';
import type { ReadPacer } from '../runtime/read-pacer.js';

/** Result of a health check. */
export type HealthCheckResult =
  | {
      readonly kind: 'answered';
      readonly report: HealthReport;
      readonly requestedAt: Instant;
    }
  | { readonly kind: 'refused' }
  /** No response, for example because of a timeout. */
  | { readonly kind: 'silent'; readonly requestedAt: Instant };

/** Options of the health check. */
export interface BackendHealthCheckOptions {
  readonly url: string;
  readonly clock: Clock;
  readonly dialect: Dialect;
  /** Grants processor time to read long answers. */
  readonly pacer: ReadPacer;
  readonly onResult: (outcome: HealthCheckResult) => void;
}

/** A health request waits for a slot like any other, so a busy backend server responds late. */
const ANSWER_TIMEOUT_MS: Milliseconds = 1000;

/** Limit of the body of an answer, of which only the head is read. */
const MAX_BODY_BYTES = 131_072;

/** Delay before the check is repeated when its result names no instance. */
const RETRY_INTERVAL_MS: Milliseconds = 250;

/** Requests the health of the backend server on demand, until a response names its instance. */
export class BackendHealthCheck {
  readonly #options: BackendHealthCheckOptions;

  #path: string | null = null;

  #isPending = false;

  #isRunning = false;

  #isClosed = false;

  #retry: NodeJS.Timeout | null = null;

  #laterCheck: NodeJS.Timeout | null = null;

  /**
   * @param options - the backend server and the handler of results
   */
  constructor(options: BackendHealthCheckOptions) {
    this.#options = options;
  }

  /**
   * Sets the path of health requests and starts a pending check.
   *
   * @param path - path of the health endpoint
   */
  setPath(path: string): void {
    this.#path = path;
    if (this.#isPending) this.check();
  }

  /** Starts a check; without a path or while one is in flight, the check stays pending. */
  check(): void {
    this.#isPending = true;
    if (this.#path === null || this.#isRunning || this.#isClosed) return;
    if (this.#retry !== null) clearTimeout(this.#retry);
    this.#retry = null;
    this.#isPending = false;
    this.#isRunning = true;
    void this.#request(this.#path).then((result) => {
      this.#isRunning = false;
      if (this.#isClosed) return;
      const hasInstanceId = result.kind === 'answered' && result.report.instanceId !== null;
      if (!hasInstanceId) {
        this.#retry = setTimeout(() => this.check(), RETRY_INTERVAL_MS);
      }
      this.#options.onResult(result);
      // The check in flight may have been answered before the event that asked for another one.
      if (this.#isPending) this.check();
    });
  }

  /**
   * Starts a check after a delay, in place of an earlier one of this kind.
   *
   * @param delayMs - the delay in milliseconds
   */
  checkIn(delayMs: Milliseconds): void {
    if (this.#laterCheck !== null) clearTimeout(this.#laterCheck);
    this.#laterCheck = setTimeout(() => this.check(), delayMs);
  }

  /** Stops the checks; the result of a check in flight is discarded. */
  close(): void {
    this.#isClosed = true;
    if (this.#retry !== null) clearTimeout(this.#retry);
    if (this.#laterCheck !== null) clearTimeout(this.#laterCheck);
  }

  async #request(path: string): Promise<HealthCheckResult> {
    const requestedAt = this.#options.clock.now();
    const { url, pacer, dialect } = this.#options;
    const { client } = openMeteredClient(url, {
      pacer,
      maxBodyBytes: MAX_BODY_BYTES,
      connectTimeoutMs: ANSWER_TIMEOUT_MS,
      answerTimeoutMs: ANSWER_TIMEOUT_MS,
    });
    try {
      const { status, headers } = await fetchHead(client, { path });
      return {
        kind: 'answered',
        report: dialect.readHealth(status, headers),
        requestedAt,
      };
    } catch (error) {
      // Not logged here: the gate logs the result when it changes the condition.
      const code = error instanceof Error && 'code' in error ? error.code : '';
      const isRefused = code === 'ECONNREFUSED' || code === 'ECONNRESET';
      return isRefused ? { kind: 'refused' } : { kind: 'silent', requestedAt };
    } finally {
      void client.destroy();
    }
  }
}
