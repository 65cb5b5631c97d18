import type { Milliseconds } from '../model/time.js';
import type { Address } from './settings.js';

/** Bound on requests that are sent to a second backend server, summed over all nodes. */
export interface RetryBound {
  /** Repeats allowed for each request to a service. */
  readonly ratio: number;
  /** Repeats allowed besides, in each window. */
  readonly slack: number;
  readonly windowMs: Milliseconds;
}

/** Settings of a node that the platform runs beside one backend server. */
export interface SidecarSettings {
  readonly node: string;
  readonly ip: string;
  readonly zone: string;
  /** Service of the backend server beside the node. */
  readonly service: string;
  readonly callerAddress: Address;
  /** Where other nodes connect; the port is the same on all hosts. */
  readonly peerAddress: Address;
  readonly readyAddress: Address;
  readonly backendAddress: Address;
  readonly storeAddress: Address;
  /** Addresses of nodes that may know the published values while the store is away. */
  readonly seeds: readonly string[];
  /** Time from the request to stop until the process is killed. */
  readonly stopDeadlineMs: Milliseconds;
  readonly memoryBytes: number;
  readonly retryBudget: RetryBound;
}
