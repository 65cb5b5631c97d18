import type { Milliseconds } from '../model/time.js';
import type { Address } from './settings.js';

/** Limit on requests that are retried on another backend server, summed over all nodes. */
export interface RetryBound {
  /** Retries allowed per request to a service. */
  readonly ratio: number;
  /** Additional retries allowed in each window. */
  readonly slack: number;
  readonly windowMs: Milliseconds;
}

/** Settings of a node that the platform runs beside a backend server. */
export interface SidecarSettings {
  readonly node: string;
  readonly ip: string;
  readonly zone: string;
  /** Service of the backend server beside the node. */
  readonly service: string;
  readonly callerAddress: Address;
  /** Listener for other nodes; the port is the same on all hosts. */
  readonly peerAddress: Address;
  readonly readyAddress: Address;
  readonly backendAddress: Address;
  readonly storeAddress: Address;
  /** Addresses of nodes that may have the published values while the store is unreachable. */
  readonly seeds: readonly string[];
  /** Time from the stop request until the process is killed. */
  readonly stopDeadlineMs: Milliseconds;
  readonly memoryBytes: number;
  /** Descriptors that the process may open. */
  readonly maxDescriptors: number;
  readonly retryBudget: RetryBound;
}
