import {
  decideBelief,
  emptyBelief,
  type BackendBelief,
  type BackendFinding,
  type BackendSign,
} from '../core/dispatch/backend-belief.js';
import type { Condition } from '../core/dispatch/dispatch-state.js';
import type { InstanceId } from '../core/directory/instance.js';
import type { Dialect } from '../core/exchange/dialect.js';
import type { Clock } from '../core/model/time.js';
import { Task } from '../core/task/task.js';
import type { ExchangeEnd } from './backend-exchange.js';
import { BackendHealthCheck, type HealthCheckResult } from './backend-health-check.js';

/** What the watch needs of its gate. */
export interface BackendMonitorOptions {
  readonly url: string;
  readonly clock: Clock;
  readonly dialect: Dialect;
  /** The backend server is believed to be in another condition. */
  readonly onConditionChange: (condition: Condition, reason: string) => void;
  /** The backend server crashed while requests with these fingerprints ran. */
  readonly onCrash: (fingerprints: readonly string[]) => void;
}

/** The sign that a health request gives. */
function healthCheckMessage(result: HealthCheckResult): BackendSign {
  switch (result.kind) {
    case 'refused':
      return { kind: 'health-refused' };
    case 'silent':
      return { kind: 'health-silent', askedAt: result.requestedAt };
    case 'answered': {
      const { instanceId, warmUpLeftMs } = result.report;
      return instanceId === null
        ? { kind: 'health-rejected' }
        : { kind: 'health-answered', instanceId, warmUpLeftMs };
    }
  }
}

/** The sign that the end of an exchange gives, or null when it says nothing. */
function exchangeMessage(fingerprint: string, end: ExchangeEnd): BackendSign | null {
  switch (end.kind) {
    case 'answered':
      return { kind: 'answered' };
    case 'shed':
      return end.head.isMisdirected ? { kind: 'misdirected' } : { kind: 'answered' };
    case 'unsent':
      return end.isConnectionRefused ? { kind: 'connection-refused' } : null;
    case 'failed':
      return end.isBroken ? { kind: 'connection-broken', fingerprint } : null;
  }
}

/** Owner of what is believed of the backend server, and of its health requests. */
export class BackendMonitor {
  readonly #options: BackendMonitorOptions;

  readonly #healthCheck: BackendHealthCheck;

  readonly #task: Task<BackendBelief, BackendSign, BackendFinding>;

  /**
   * @param options - the backend server and the gate's handlers
   */
  constructor(options: BackendMonitorOptions) {
    this.#options = options;
    const { url, clock, dialect } = options;
    this.#task = new Task({
      initial: emptyBelief,
      decide: decideBelief,
      clock,
      perform: (effect) => this.#perform(effect),
    });
    this.#healthCheck = new BackendHealthCheck({
      url,
      clock,
      dialect,
      onResult: (outcome) => this.#task.send(healthCheckMessage(outcome)),
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
    this.#healthCheck.setPath(path);
  }

  /** Asks the backend server for its health without holding requests back. */
  checkHealth(): void {
    this.#healthCheck.check();
  }

  /**
   * Learns a sign that is no end of an exchange.
   *
   * @param observation - the sign
   */
  observe(observation: BackendSign): void {
    this.#task.send(observation);
  }

  /**
   * Looks for signs of a crash or of another run in the end of an exchange.
   *
   * @param fingerprint - fingerprint of the request
   * @param end - how the exchange ended
   */
  observeExchange(fingerprint: string, end: ExchangeEnd): void {
    const message = exchangeMessage(fingerprint, end);
    if (message !== null) this.#task.send(message);
  }

  /** Asks no more. */
  close(): void {
    this.#healthCheck.close();
  }

  #perform(action: BackendFinding): void {
    switch (action.kind) {
      case 'condition':
        this.#options.onConditionChange(action.condition, action.reason);
        break;
      case 'crashed':
        this.#options.onCrash(action.fingerprints);
        break;
      case 'ask-health':
        this.#healthCheck.check();
        break;
    }
  }
}
