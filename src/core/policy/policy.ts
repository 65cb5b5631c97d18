import type { Access } from '../model/configuration.js';
import type { AccountName, RouteName, ServiceName } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';

/** Whether a request may run more than once. */
export type Repeatability = 'idempotent' | 'at-most-once';

/** A service that receives a share of the requests of a route. */
export interface Destination {
  readonly service: ServiceName;
  /** Weight relative to the other destinations of the route; above 0. */
  readonly weight: number;
}

/** Requests to one host under one path prefix, and how they are handled. */
export interface PrefixRoute {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly repeatability: Repeatability;
  /** Longest time until a caller gets an answer. */
  readonly timeoutMs: Milliseconds;
  /** Time within which an answer is of full use to the caller. */
  readonly latencyObjectiveMs: Milliseconds;
  /** Shedding priority; 0 is shed last. */
  readonly priority: number;
  readonly destinations: readonly Destination[];
  /** Maximum number of backend servers that one request is sent to. */
  readonly attempts: number;
  readonly access: Access;
}

/** Properties of the backend servers of a service. */
export interface ServiceProfile {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Total connections that a backend server accepts from all callers. */
  readonly connections: number;
  /** Requests per second that a cold backend server can handle. */
  readonly warmUpRatePerSecond: number;
  /** Time after its start during which a backend server is cold. */
  readonly warmUpMs: Milliseconds;
}

/** A client account with its keys and its limits across all nodes. */
export interface QuotaAccount {
  readonly name: AccountName;
  readonly keys: readonly string[];
  /** Shedding priority, compared before the priority of the route; 0 is shed last. */
  readonly priority: number;
  /** Requests per second; 0 means no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Size and time limits for requests of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
}

/** Kinds of parts that were published but could not be read. */
export interface PolicyGaps {
  /** Whether a route is missing, so that a request without a route may have one. */
  readonly routes: boolean;
  /** Whether keys are missing, so that a key without an account may have one. */
  readonly keys: boolean;
}

/** Routing and limits set by the operators; a version is applied as a whole. */
export interface Policy {
  readonly version: number;
  readonly routes: readonly PrefixRoute[];
  readonly services: readonly ServiceProfile[];
  /** Null when requests carry no keys. */
  readonly accounts: readonly QuotaAccount[] | null;
  readonly limits: CallerLimits;
  readonly gaps: PolicyGaps;
}
