/** Name of a service, unique in a configuration. */
export type ServiceName = string;

/** Name of a backend server, unique in a configuration; its node has the same name. */
export type BackendServerName = string;

/** Name of an availability zone. */
export type ZoneName = string;

/** Name of a region, a group of availability zones. */
export type RegionName = string;

/** Name of a client account. */
export type AccountName = string;

/** Name of a route, unique in a configuration. */
export type RouteName = string;

/** Identifier of one run of a node's process; a later run of the same node compares greater. */
export type Incarnation = string;

/** Identifier of one call, unique in the fleet. */
export type RequestId = string;
