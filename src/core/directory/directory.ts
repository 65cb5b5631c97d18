import type { ServiceName, ZoneName } from '../model/names.js';
import type { Instance } from './instance.js';

/** Backend servers and zones as far as they are known. */
export interface Directory {
  readonly instances: readonly Instance[];
  /** Zones that get no new work. */
  readonly zonesOut: ReadonlySet<ZoneName>;
}

/** A directory before anything is known. */
export const emptyDirectory: Directory = { instances: [], zonesOut: new Set() };

/**
 * Reads the IP address from an address with a port.
 *
 * @param address - `IP:port`
 * @returns the IP address
 */
export function ipOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/**
 * Finds who has an address now. An address is used again after its backend server has ended, and
 * the old entry may still be listed; the one that started last has it.
 *
 * @param directory - the directory
 * @param address - `IP:port`
 * @returns the instance, or null when none is listed
 */
export function instanceAt(directory: Directory, address: string): Instance | null {
  return directory.instances
    .filter((instance) => instance.address === address)
    .reduce<Instance | null>(
      (latest, instance) =>
        latest === null || instance.startedAtUnixMs > latest.startedAtUnixMs ? instance : latest,
      null,
    );
}

/**
 * Lists the backend servers that may get new work of a service.
 *
 * @param directory - the directory
 * @param service - the service
 * @returns serving instances in zones that take work, one for each address
 */
export function servingInstances(directory: Directory, service: ServiceName): readonly Instance[] {
  return directory.instances.filter(
    (instance) =>
      instance.service === service &&
      instance.state === 'serving' &&
      !directory.zonesOut.has(instance.zone) &&
      instanceAt(directory, instance.address)?.id === instance.id,
  );
}
