import { Client } from 'undici';
import type { Dialect } from '../core/exchange/dialect.js';
import type { HealthReport } from '../core/exchange/incoming-request.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

/** What a health request came to. */
export type HealthCheckResult =
  | { readonly kind: 'answered'; readonly report: HealthReport }
  | { readonly kind: 'refused' }
  | { readonly kind: 'silent'; readonly requestedAt: Instant };

/** What the health requests need. */
export interface BackendHealthCheckOptions {
  readonly url: string;
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly onResult: (outcome: HealthCheckResult) => void;
}

/** A health answer waits for a slot like any other, so a busy backend server takes a while. */
const ANSWER_TIMEOUT_MS: Milliseconds = 1000;

/** A backend server that gave no answer of use is asked this often. */
const RETRY_INTERVAL_MS: Milliseconds = 250;

/** Asks the backend server for its health when there is a reason to. */
export class BackendHealthCheck {
  readonly #options: BackendHealthCheckOptions;

  #path: string | null = null;

  #isPending = false;

  #isRunning = false;

  #isClosed = false;

  #retry: NodeJS.Timeout | null = null;

  /**
   * @param options - the backend server and the owner's handler
   */
  constructor(options: BackendHealthCheckOptions) {
    this.#options = options;
  }

  /**
   * Sets the path of health requests; a request that was wanted before is made now.
   *
   * @param path - the path
   */
  setPath(path: string): void {
    this.#path = path;
    if (this.#isPending) this.check();
  }

  /** Asks now, unless a request is under way. */
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
    });
  }

  /** Asks no more. */
  close(): void {
    this.#isClosed = true;
    if (this.#retry !== null) clearTimeout(this.#retry);
  }

  async #request(path: string): Promise<HealthCheckResult> {
    const startedAt = this.#options.clock.now();
    const client = new Client(this.#options.url, {
      connect: { timeout: ANSWER_TIMEOUT_MS },
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
    try {
      const { statusCode, headers, body } = await client.request({ path, method: 'GET' });
      await body.dump();
      return {
        kind: 'answered',
        report: this.#options.dialect.readHealth(statusCode, headers),
      };
    } catch (error) {
      // The finding itself is logged by the gate when it changes the condition.
      const code = error instanceof Error && 'code' in error ? error.code : '';
      const isRefused = code === 'ECONNREFUSED' || code === 'ECONNRESET';
      return isRefused ? { kind: 'refused' } : { kind: 'silent', requestedAt: startedAt };
    } finally {
      void client.destroy();
    }
  }
}
