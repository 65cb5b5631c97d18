import type {
  AccountName,
  BackendServerName,
  RegionName,
  RouteName,
  ServiceName,
  ZoneName,
} from './names.js';
import type { Milliseconds } from './time.js';

/** Importance classes, from the class that is shed last to the class that is shed first. */
export const IMPORTANCES = ['critical', 'high', 'normal', 'low'] as const;

/** How much a request matters; less important requests are shed first. */
export type Importance = (typeof IMPORTANCES)[number];

/** Whether an availability zone takes new work. */
export type ZoneState = 'in' | 'out';

/** An availability zone. */
export interface Zone {
  readonly name: ZoneName;
  readonly region: RegionName;
  readonly state: ZoneState;
}

/** A service, offered by one or more backend servers. */
export interface Service {
  readonly name: ServiceName;
}

/** A backend server and its capacity. */
export interface BackendServer {
  readonly name: BackendServerName;
  readonly service: ServiceName;
  readonly zone: ZoneName;
  /** Maximum number of concurrent calls. */
  readonly slots: number;
  /** Maximum number of open connections. */
  readonly connections: number;
  /** Maximum number of concurrent calls directly after a start. */
  readonly coldCapacity: number;
}

/** A client account with its keys and its limits. */
export interface Account {
  readonly name: AccountName;
  /** Published hashes of its keys. */
  readonly keyHashes: readonly string[];
  /** Root requests per second across the fleet. */
  readonly ratePerSecond: number;
  /** Root requests that may arrive at once across the fleet. */
  readonly burst: number;
  /** Weight in the fair sharing of an overloaded backend server. */
  readonly weight: number;
  /** Services that the account may call. */
  readonly services: readonly ServiceName[];
}

/** Who may use a route: permitted accounts with a key, or everyone. */
export type Access = 'keyed' | 'open';

/** A route of a service and the rules for its requests. */
export interface Route {
  readonly name: RouteName;
  readonly service: ServiceName;
  readonly method: string;
  /** Path after the name of the service in the URL; a segment `*` matches any one segment. */
  readonly path: string;
  readonly importance: Importance;
  /** False for requests that may run at most once. */
  readonly idempotent: boolean;
  readonly access: Access;
  readonly deadlineMs: Milliseconds;
  /** Additional sends (retries) allowed in the whole call tree of one root request. */
  readonly retries: number;
}

/** The contents of one file set of the operators, applied as a whole. */
export interface Configuration {
  /** Revision number; a higher revision replaces a lower one. */
  readonly revision: number;
  /** Nodes that hold the token buckets for rate and burst. */
  readonly seats: readonly BackendServerName[];
  readonly zones: readonly Zone[];
  readonly services: readonly Service[];
  readonly backendServers: readonly BackendServer[];
  readonly accounts: readonly Account[];
  readonly routes: readonly Route[];
}
