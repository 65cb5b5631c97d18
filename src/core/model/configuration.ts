import type {
  AccountName,
  BackendServerName,
  RegionName,
  RouteName,
  ServiceName,
  ZoneName,
} from './names.js';
import type { Milliseconds } from './time.js';

/** Importance classes from the one shed last to the one shed first. */
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

/** A backend server and the load it can bear. */
export interface BackendServer {
  readonly name: BackendServerName;
  readonly service: ServiceName;
  readonly zone: ZoneName;
  /** Calls that it can run at the same time. */
  readonly slots: number;
  /** Connections that it accepts. */
  readonly connections: number;
  /** Calls that it can run at the same time directly after a start. */
  readonly coldCapacity: number;
}

/** A client account with its keys and its limits. */
export interface Account {
  readonly name: AccountName;
  /** Published hashes of its keys. */
  readonly keyHashes: readonly string[];
  /** Root requests per second across the fleet. */
  readonly ratePerSecond: number;
  /** Root requests that may come at once across the fleet. */
  readonly burst: number;
  /** Weight in the fair division of a scarce backend server. */
  readonly weight: number;
  /** Services that the account may call. */
  readonly services: readonly ServiceName[];
}

/** Who may use a route: holders of a key of a permitted account, or everyone. */
export type Access = 'keyed' | 'open';

/** A route of a service and how its requests are treated. */
export interface Route {
  readonly name: RouteName;
  readonly service: ServiceName;
  readonly method: string;
  /** Path below the service; a segment `*` matches any one segment. */
  readonly path: string;
  readonly importance: Importance;
  /** False for requests that may run at most once. */
  readonly idempotent: boolean;
  readonly access: Access;
  readonly deadlineMs: Milliseconds;
  /** Extra sends allowed over the whole call tree of one root request. */
  readonly retries: number;
}

/** One operators' file set, applied as a whole. */
export interface Configuration {
  /** Number of the revision; a higher one replaces a lower one. */
  readonly revision: number;
  /** Nodes that hold credit for rate and burst. */
  readonly seats: readonly BackendServerName[];
  readonly zones: readonly Zone[];
  readonly services: readonly Service[];
  readonly backendServers: readonly BackendServer[];
  readonly accounts: readonly Account[];
  readonly routes: readonly Route[];
}
