import type { Access } from '../model/configuration.js';
import type { AccountName, RouteName, ServiceName } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';

/** Whether a request may run more than once. */
export type Repeatability = 'idempotent' | 'at-most-once';

/** One of the services that share the requests of a route. */
export interface Destination {
  readonly service: ServiceName;
  /** Share relative to the other destinations of the route; above 0. */
  readonly weight: number;
}

/** Requests of one host below one path prefix and how they are treated. */
export interface PrefixRoute {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly repeatability: Repeatability;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: Milliseconds;
  /** Time within which an answer is of full use to the caller. */
  readonly latencyObjectiveMs: Milliseconds;
  /** Rank when requests have to be shed; 0 is shed last. */
  readonly priority: number;
  readonly destinations: readonly Destination[];
  /** Backend servers that one request may be sent to at most. */
  readonly attempts: number;
  readonly access: Access;
}

/** How the backend servers of a service are treated. */
export interface ServiceProfile {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Connections that a backend server accepts from all callers together. */
  readonly connections: number;
  /** Requests a second that a cold backend server bears. */
  readonly warmUpRatePerSecond: number;
  /** Time that a backend server stays cold after its start. */
  readonly warmUpMs: Milliseconds;
}

/** A client account, its keys and its limits over all nodes together. */
export interface QuotaAccount {
  readonly name: AccountName;
  readonly keys: readonly string[];
  /** Rank that goes before the rank of the route; 0 is shed last. */
  readonly priority: number;
  /** Requests a second; 0 means no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
}

/** What the operators agreed on, in force as a whole. */
export interface Policy {
  readonly version: number;
  readonly routes: readonly PrefixRoute[];
  readonly services: readonly ServiceProfile[];
  /** Null when requests carry no keys at all. */
  readonly accounts: readonly QuotaAccount[] | null;
  readonly limits: CallerLimits;
}
