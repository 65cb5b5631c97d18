import {
  decideBackendStatus,
  initialBackendStatus,
  type BackendStatus,
  type BackendEffect,
  type BackendObservation,
} from '../core/dispatch/backend-status.js';
import type { Condition } from '../core/dispatch/dispatch-state.js';
import type { InstanceId } from '../core/directory/instance.js';
import type { Dialect } from '../core/exchange/dialect.js';
import type { Clock } from '../core/model/time.js';
import { Task } from '../core/task/task.js';
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

/** The sign that a health request gives. */
function signOf(finding: HealthFinding): BackendObservation {
  switch (finding.kind) {
    case 'refused':
      return { kind: 'health-connection-refused' };
    case 'silent':
      return { kind: 'health-timed-out', requestedAt: finding.askedAt };
    case 'answered': {
      const { instanceId, warmUpLeftMs } = finding.report;
      return instanceId === null
        ? { kind: 'health-rejected' }
        : { kind: 'health-answered', instanceId, warmUpLeftMs };
    }
  }
}

/** The sign that the end of an exchange gives, or null when it says nothing. */
function signOfEnd(fingerprint: string, end: ExchangeEnd): BackendObservation | null {
  switch (end.kind) {
    case 'answered':
      return { kind: 'answered' };
    case 'shed':
      return end.head.isMisdirected ? { kind: 'misdirected' } : { kind: 'answered' };
    case 'unsent':
      return end.isRefusedConnection ? { kind: 'connection-refused' } : null;
    case 'failed':
      return end.isBroken ? { kind: 'connection-broken', fingerprint } : null;
  }
}

/** Owner of what is believed of the backend server, and of its health requests. */
export class BackendWatch {
  readonly #options: BackendWatchOptions;

  readonly #health: BackendHealth;

  readonly #task: Task<BackendStatus, BackendObservation, BackendEffect>;

  /**
   * @param options - the backend server and the gate's handlers
   */
  constructor(options: BackendWatchOptions) {
    this.#options = options;
    const { url, clock, dialect } = options;
    this.#task = new Task({
      initial: initialBackendStatus,
      decide: decideBackendStatus,
      clock,
      perform: (finding) => this.#perform(finding),
    });
    this.#health = new BackendHealth({
      url,
      clock,
      dialect,
      onFinding: (finding) => this.#task.send(signOf(finding)),
    });
  }

  /** @returns the run that answers at the address, as its last health answer named it */
  get instance(): InstanceId | null {
    return this.#task.state.instance;
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
   * Learns a sign that is no end of an exchange.
   *
   * @param sign - the sign
   */
  learn(sign: BackendObservation): void {
    this.#task.send(sign);
  }

  /**
   * Looks for signs of a crash or of another run in the end of an exchange.
   *
   * @param fingerprint - fingerprint of the request
   * @param end - how the exchange ended
   */
  learnEnd(fingerprint: string, end: ExchangeEnd): void {
    const sign = signOfEnd(fingerprint, end);
    if (sign !== null) this.#task.send(sign);
  }

  /** Asks no more. */
  close(): void {
    this.#health.close();
  }

  #perform(finding: BackendEffect): void {
    switch (finding.kind) {
      case 'condition':
        this.#options.changed(finding.condition, finding.reason);
        break;
      case 'crashed':
        this.#options.crashed(finding.fingerprints);
        break;
      case 'check-health':
        this.#health.ask();
        break;
    }
  }
}
