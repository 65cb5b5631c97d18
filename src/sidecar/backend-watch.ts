import type { Condition } from '../core/dispatch/dispatch-state.js';
import type { InstanceId } from '../core/directory/instance.js';
import type { Dialect } from '../core/exchange/dialect.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { ExchangeEnd } from './backend-exchange.js';
import { BackendHealth, type HealthFinding } from './backend-health.js';

/** What the watch needs of its gate. */
export interface BackendWatchOptions {
  readonly url: string;
  readonly clock: Clock;
  readonly dialect: Dialect;
  /** The backend server is believed to be in another condition. */
  readonly changed: (condition: Condition, reason: string) => void;
  /** The backend server crashed while requests with these fingerprints ran. */
  readonly crashed: (fingerprints: readonly string[]) => void;
}

/** A connection that broke under a request, which may be the sign of a crash. */
interface Break {
  readonly fingerprint: string;
  readonly at: Instant;
}

/** Breaks this shortly before a crash was seen belong to it. */
const CRASH_WINDOW_MS: Milliseconds = 1000;

/**
 * Finds out from exchanges and health answers whether the backend server is down, cold or warm,
 * and which run of it answers.
 */
export class BackendWatch {
  readonly #options: BackendWatchOptions;

  readonly #health: BackendHealth;

  #breaks: readonly Break[] = [];

  #instance: InstanceId | null = null;

  /**
   * @param options - the backend server and the gate's handlers
   */
  constructor(options: BackendWatchOptions) {
    this.#options = options;
    this.#health = new BackendHealth({
      url: options.url,
      dialect: options.dialect,
      onFinding: (finding) => this.#learnHealth(finding),
    });
  }

  /** @returns the run that answers at the address, as its last health answer named it */
  get instance(): InstanceId | null {
    return this.#instance;
  }

  /**
   * Sets the path of health requests.
   *
   * @param path - the path
   */
  setHealthPath(path: string): void {
    this.#health.setPath(path);
  }

  /** Asks the backend server for its health without holding requests back. */
  ask(): void {
    this.#health.ask();
  }

  /**
   * Holds requests back until the health has been read.
   *
   * @param reason - why the backend server may have started anew
   */
  suspect(reason: string): void {
    this.#options.changed({ kind: 'unknown' }, reason);
    this.#health.ask();
  }

  /**
   * Looks for signs of a crash or of another run in the end of an exchange.
   *
   * @param fingerprint - fingerprint of the request
   * @param end - how the exchange ended
   */
  learn(fingerprint: string, end: ExchangeEnd): void {
    const now = this.#options.clock.now();
    switch (end.kind) {
      case 'answered':
        break;
      case 'shed':
        if (end.head.isMisdirected) this.suspect('another run answered');
        break;
      case 'unsent':
        if (end.isRefusedConnection) this.#goDown(now, 'it refuses connections');
        break;
      case 'failed':
        if (end.isBroken) this.#recordBreak(fingerprint, now);
        break;
    }
  }

  /** Asks no more. */
  close(): void {
    this.#health.close();
  }

  #recordBreak(fingerprint: string, now: Instant): void {
    const recent = this.#breaks.filter(({ at }) => now - at < CRASH_WINDOW_MS);
    this.#breaks = [...recent, { fingerprint, at: now }];
    this.#health.ask();
  }

  #goDown(now: Instant, reason: string): void {
    this.#reportCrash(now);
    this.#options.changed({ kind: 'down' }, reason);
    this.#health.ask();
  }

  #reportCrash(now: Instant): void {
    const fingerprints = this.#breaks
      .filter(({ at }) => now - at < CRASH_WINDOW_MS)
      .map(({ fingerprint }) => fingerprint);
    this.#breaks = [];
    if (fingerprints.length > 0) this.#options.crashed(fingerprints);
  }

  #learnHealth(finding: HealthFinding): void {
    const now = this.#options.clock.now();
    switch (finding.kind) {
      case 'refused':
        this.#reportCrash(now);
        this.#options.changed({ kind: 'down' }, 'it refuses connections');
        break;
      case 'silent':
        this.#options.changed({ kind: 'down' }, 'it does not answer');
        break;
      case 'answered': {
        const { instanceId, warmUpLeftMs } = finding.report;
        if (instanceId !== null) {
          if (this.#instance !== null && this.#instance !== instanceId) this.#reportCrash(now);
          this.#instance = instanceId;
        }
        const condition: Condition =
          warmUpLeftMs > 0 ? { kind: 'cold', until: now + warmUpLeftMs } : { kind: 'warm' };
        this.#options.changed(condition, 'its health answer');
        break;
      }
    }
  }
}
