import { Client } from 'undici';
import type { Dialect } from '../core/exchange/dialect.js';
import type { HealthReport } from '../core/exchange/incoming-request.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';

/** What a health request came to. */
export type HealthFinding =
  | { readonly kind: 'answered'; readonly report: HealthReport }
  | { readonly kind: 'refused' }
  | { readonly kind: 'silent'; readonly askedAt: Instant };

/** What the health requests need. */
export interface BackendHealthOptions {
  readonly url: string;
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly onFinding: (finding: HealthFinding) => void;
}

/** A health answer waits for a slot like any other, so a busy backend server takes a while. */
const ANSWER_TIMEOUT_MS: Milliseconds = 1000;

/** A backend server that gave no answer of use is asked this often. */
const RETRY_INTERVAL_MS: Milliseconds = 250;

/** Asks the backend server for its health when there is a reason to. */
export class BackendHealth {
  readonly #options: BackendHealthOptions;

  #path: string | null = null;

  #isWanted = false;

  #isAsking = false;

  #isClosed = false;

  #retry: NodeJS.Timeout | null = null;

  /**
   * @param options - the backend server and the owner's handler
   */
  constructor(options: BackendHealthOptions) {
    this.#options = options;
  }

  /**
   * Sets the path of health requests; a request that was wanted before is made now.
   *
   * @param path - the path
   */
  setPath(path: string): void {
    this.#path = path;
    if (this.#isWanted) this.ask();
  }

  /** Asks now, unless a request is under way. */
  ask(): void {
    this.#isWanted = true;
    if (this.#path === null || this.#isAsking || this.#isClosed) return;
    if (this.#retry !== null) clearTimeout(this.#retry);
    this.#retry = null;
    this.#isWanted = false;
    this.#isAsking = true;
    void this.#request(this.#path).then((finding) => {
      this.#isAsking = false;
      if (this.#isClosed) return;
      const isUseful = finding.kind === 'answered' && finding.report.instanceId !== null;
      if (!isUseful) {
        this.#retry = setTimeout(() => this.ask(), RETRY_INTERVAL_MS);
      }
      this.#options.onFinding(finding);
    });
  }

  /** Asks no more. */
  close(): void {
    this.#isClosed = true;
    if (this.#retry !== null) clearTimeout(this.#retry);
  }

  async #request(path: string): Promise<HealthFinding> {
    const askedAt = this.#options.clock.now();
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
      return isRefused ? { kind: 'refused' } : { kind: 'silent', askedAt };
    } finally {
      void client.destroy();
    }
  }
}
