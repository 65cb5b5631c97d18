/** Addresses and names in the settings file that the platform writes for a host. */
export interface HostSettings {
  readonly node: string;
  readonly ip: string;
  readonly zone: string;
  readonly service: string;
  /** `IP:port` of the backend server. */
  readonly backend: string;
  /** `IP:port` of the store. */
  readonly store: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly readyPort: number;
  /** Memory of the host in megabytes; 350 by default. */
  readonly memoryMb?: number;
  /** Descriptors that a process may open; 4100 by default. */
  readonly maxFds?: number;
}

/**
 * Formats the settings file of a host as the platform writes it.
 *
 * @param host - addresses and names of the host
 * @returns the file's content as TOML, with an unknown field that the node has to tolerate
 */
export function formatSettingsFile(host: HostSettings): string {
  const { node, ip, zone, service, backend, store, callerPort, peerPort, readyPort } = host;
  const { memoryMb = 350, maxFds = 4100 } = host;
  return `
nodeName = "${node}"
ip = "${ip}"
zone = "${zone}"
service = "${service}"
appAddr = "${backend}"
unknown = 1
[listen]
outbound = "${ip}:${callerPort}"
inbound = "${ip}:${peerPort}"
ready = "${ip}:${readyPort}"
[limits]
memoryMb = ${memoryMb}
maxFds = ${maxFds}
[bounds]
grace = "6s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetSlack = 49
[platform]
address = "${store}"
`;
}
