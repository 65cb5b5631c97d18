import type { BackendServerName, ServiceName, ZoneName } from './names.js';

/** State of a host in the platform's host list. The list may be stale, so it is only a hint. */
export type HostState = 'live' | 'leaving';

/** A host that runs a backend server and the node beside it. */
export interface Host {
  readonly backendServer: BackendServerName;
  readonly service: ServiceName;
  readonly zone: ZoneName;
  /** Address of the node's peer listener, `IP:port`. */
  readonly peerAddress: string;
  readonly state: HostState;
}
