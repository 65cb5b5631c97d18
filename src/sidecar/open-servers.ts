import type { Server } from 'node:net';
import { ResultAsync } from 'neverthrow';
import type { Fault } from '../core/errors/fault.js';
import type { SidecarSettings } from '../core/settings/sidecar-settings.js';
import { listen, type BindPolicy } from '../runtime/listen.js';

/** Servers of a node. */
export interface NodeServers {
  readonly callers: Server;
  readonly peers: Server;
  /** Readiness probe and metrics. */
  readonly ready: Server;
}

/** Ports on which the servers of a node listen. */
export interface NodePorts {
  readonly caller: number;
  readonly peer: number;
  readonly metrics: number;
}

/** How long the addresses are tried. */
export interface OpenPolicy {
  /** Ends the attempts. */
  readonly signal: AbortSignal;
  readonly onFault: (fault: Fault) => void;
}

/**
 * Starts listening on all addresses of a node. The former process on this host may hold the addresses
 * until its stop deadline, so they are tried for as long.
 *
 * @param servers - the servers
 * @param settings - addresses and stop deadline
 * @param policy - how long the addresses are tried
 * @returns the ports, or a fault when an address cannot be bound
 */
export function openServers(
  { callers, peers, ready }: NodeServers,
  { callerAddress, peerAddress, readyAddress, stopDeadlineMs }: SidecarSettings,
  { signal, onFault }: OpenPolicy,
): ResultAsync<NodePorts, Fault> {
  const policy: BindPolicy = { kind: 'retry', forMs: stopDeadlineMs, signal, onFault };
  // The readiness probe comes last: callers are sent to the node as soon as it answers.
  return ResultAsync.combine([
    listen(callers, callerAddress, policy),
    listen(peers, peerAddress, policy),
  ]).andThen(([caller, peer]) =>
    listen(ready, readyAddress, policy).map((metrics) => ({ caller, peer, metrics })),
  );
}
