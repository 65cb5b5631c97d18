import type { BackendServerName, ServiceName, ZoneName } from './names.js';

/** What the platform says of a host. The list lags, so it is only a hint. */
export type HostState = 'live' | 'leaving';

/** A host with a backend server and the node beside it. */
export interface Host {
  readonly backendServer: BackendServerName;
  readonly service: ServiceName;
  readonly zone: ZoneName;
  /** Address of the node's peer listener, `IP:port`. */
  readonly peerAddress: string;
  readonly state: HostState;
}
