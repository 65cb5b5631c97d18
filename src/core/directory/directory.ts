import type { CodeName } from '../errors/registry.js';
import type { ZoneName } from '../model/names.js';
import type { Instance } from './instance.js';

/** Known backend servers and excluded zones. */
export interface Directory {
  readonly instances: readonly Instance[];
  /** Zones that receive no new requests. */
  readonly zonesOut: ReadonlySet<ZoneName>;
}

/** Directory before the first published value is read. */
export const emptyDirectory: Directory = { instances: [], zonesOut: new Set() };

/**
 * Extracts the IP address from an address with a port.
 *
 * @param address - `IP:port`
 * @returns the IP address
 */
export function extractIp(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/**
 * Finds the instance that currently uses an address. Addresses are reused after a backend server
 * has stopped, and its entry may still be listed, so the instance that started last is returned.
 *
 * @param directory - the directory
 * @param address - `IP:port`
 * @returns the instance, or null when none is listed
 */
export function findInstance(directory: Directory, address: string): Instance | null {
  return directory.instances
    .filter((instance) => instance.address === address)
    .reduce<Instance | null>(
      (latest, instance) =>
        latest === null || instance.startedAtUnixMs > latest.startedAtUnixMs ? instance : latest,
      null,
    );
}

/**
 * Returns why the gate beside a backend server refuses new calls.
 *
 * @param directory - the directory
 * @param own - entry of the backend server, or null when none is listed
 * @returns the result code, or null while the gate is open
 */
export function closedReason({ zonesOut }: Directory, own: Instance | null): CodeName | null {
  if (own === null || own.state === 'leaving') return 'nodeLeaving';
  return zonesOut.has(own.zone) ? 'zoneOut' : null;
}
