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
import { fingerprintOfCall } from '../core/exchange/fingerprint.js';
import type { HealthReport } from '../core/exchange/incoming-request.js';
import type { MeshCall } from '../core/exchange/mesh-call.js';
import type { Clock, Instant } from '../core/model/time.js';
import { Task } from '../core/task/task.js';
import type { ReadPacer } from '../runtime/read-pacer.js';
import type { ExchangeEnd } from './backend-exchange.js';
import { BackendHealthCheck, type HealthCheckResult } from './backend-health-check.js';

/** Options of the monitor. */
export interface BackendMonitorOptions {
  readonly url: string;
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly pacer: ReadPacer;
  /** Called with each condition that the observations indicate, also when it has not changed. */
  readonly onConditionChange: (condition: Condition, reason: string) => void;
  /** Called with each health answer. */
  readonly onHealthReport: (report: HealthReport) => void;
  /** Called after a crash with its number and the fingerprints of requests that ran at it. */
  readonly onCrash: (crash: number, fingerprints: readonly string[]) => void;
}

/** Converts the result of a health check to a message of the task. */
function healthCheckMessage(result: HealthCheckResult): BackendObservation {
  switch (result.kind) {
    case 'refused':
      return { kind: 'health-connection-refused' };
    case 'silent':
      return { kind: 'health-timed-out', requestedAt: result.requestedAt };
    case 'answered': {
      const { report, requestedAt } = result;
      const { instanceId, warmUpLeftMs } = report;
      return instanceId === null
        ? { kind: 'health-rejected' }
        : { kind: 'health-answered', instanceId, warmUpLeftMs, requestedAt };
    }
  }
}

/** Converts the end of an exchange to a message of the task; null when it is inconclusive. */
function exchangeMessage(
  call: MeshCall,
  startedAt: Instant,
  end: ExchangeEnd,
): BackendObservation | null {
  switch (end.kind) {
    case 'answered':
      return { kind: 'answered' };
    case 'shed':
      return end.head.isMisdirected ? { kind: 'misdirected' } : { kind: 'answered' };
    case 'unsent':
      return end.isConnectionRefused ? { kind: 'connection-refused' } : null;
    case 'failed':
      return end.reason === 'connection-broken'
        ? { kind: 'connection-broken', fingerprint: fingerprintOfCall(call), startedAt }
        : null;
  }
}

/** Task that owns the tracked state of the backend server and its health checks. */
export class BackendMonitor {
  readonly #options: BackendMonitorOptions;

  readonly #healthCheck: BackendHealthCheck;

  readonly #task: Task<BackendStatus, BackendObservation, BackendEffect>;

  /**
   * @param options - the backend server and the gate's handlers
   */
  constructor(options: BackendMonitorOptions) {
    this.#options = options;
    const { url, clock, dialect, pacer } = options;
    this.#task = new Task({
      initial: initialBackendStatus,
      decide: decideBackendStatus,
      clock,
      perform: (effect) => this.#perform(effect),
    });
    this.#healthCheck = new BackendHealthCheck({
      url,
      clock,
      dialect,
      pacer,
      onResult: (outcome) => {
        if (outcome.kind === 'answered') options.onHealthReport(outcome.report);
        this.#task.send(healthCheckMessage(outcome));
      },
    });
  }

  /** @returns the instance that the last health response named; null before the first response */
  get instance(): InstanceId | null {
    return this.#task.state.instance;
  }

  /**
   * Sets the path of health requests.
   *
   * @param path - path of the health endpoint
   */
  setHealthPath(path: string): void {
    this.#healthCheck.setPath(path);
  }

  /** Starts a health check without holding back requests. */
  checkHealth(): void {
    this.#healthCheck.check();
  }

  /**
   * Handles an observation other than the end of an exchange.
   *
   * @param observation - the observation
   */
  observe(observation: BackendObservation): void {
    this.#task.send(observation);
  }

  /**
   * Checks the end of an exchange for indications of a crash or of a new instance.
   *
   * @param call - the call whose request was sent
   * @param startedAt - instant at which it was sent
   * @param end - how the exchange ended
   */
  observeExchange(call: MeshCall, startedAt: Instant, end: ExchangeEnd): void {
    const message = exchangeMessage(call, startedAt, end);
    if (message !== null) this.#task.send(message);
  }

  /** Stops the health checks. */
  close(): void {
    this.#healthCheck.close();
  }

  #perform(action: BackendEffect): void {
    switch (action.kind) {
      case 'condition':
        this.#options.onConditionChange(action.condition, action.reason);
        break;
      case 'crashed':
        this.#options.onCrash(action.crash, action.fingerprints);
        break;
      case 'check-health':
        this.#healthCheck.check();
        break;
      case 'check-health-later':
        this.#healthCheck.checkIn(action.delayMs);
        break;
    }
  }
}
