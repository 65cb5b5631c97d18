import type { BackendServerName, ZoneName } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';

/** An IP address and a port; port 0 lets the system choose one. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** PEM files for TLS on the listeners and between nodes. */
export interface Tls {
  readonly certificateFile: string;
  readonly keyFile: string;
  readonly authorityFile: string;
}

/** Settings of one node process, read from a TOML file. */
export interface Settings {
  /** Backend server beside this node; also the name of the node. */
  readonly backendServer: BackendServerName;
  readonly zone: ZoneName;
  /** HTTP listener for callers and for nested calls from the node's backend server. */
  readonly callerAddress: Address;
  /** WebSocket listener for other nodes. */
  readonly peerAddress: Address;
  /** HTTP listener for Prometheus metrics; null for none. */
  readonly metricsAddress: Address | null;
  /** Base URL of the backend server, for example `http://127.0.0.1:7000`. */
  readonly backendServerUrl: string;
  /** Base URLs of the configuration service, tried in order. */
  readonly configurationServiceUrls: readonly string[];
  /** Secret shared by all nodes of the fleet; at least 32 characters. */
  readonly peerSecret: string;
  /** Addresses of peers, `IP:port`, to contact at start in addition to the host list. */
  readonly seeds: readonly string[];
  readonly maxBodyBytes: number;
  readonly stopDeadlineMs: Milliseconds;
  /** Time without contact to the configuration service and any peer, until keys are refused. */
  readonly isolationLimitMs: Milliseconds;
  /**
   * Time since the last read of the configuration service by any node until keys are refused; 0
   * means never.
   */
  readonly staleLimitMs: Milliseconds;
  readonly tls: Tls | null;
}
