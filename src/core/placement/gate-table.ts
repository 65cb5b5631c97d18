import type { Directory } from '../directory/directory.js';
import type { Instance } from '../directory/instance.js';
import type { ServiceName, ZoneName } from '../model/names.js';

/** Backend servers of one service that accept new requests, one for each address. */
export interface ServiceGates {
  /** Those in the zone of the sending node. */
  readonly local: readonly Instance[];
  readonly remote: readonly Instance[];
}

/** Gates by service, built once for each directory so that a call costs the same in any fleet. */
export type GateTable = ReadonlyMap<ServiceName, ServiceGates>;

/** Gates of a service that the directory does not list. */
export const noGates: ServiceGates = { local: [], remote: [] };

/** Addresses are used again while the entry of the former server may still be listed. */
function latestByAddress(instances: readonly Instance[]): ReadonlyMap<string, Instance> {
  const latest = new Map<string, Instance>();
  instances.forEach((instance) => {
    const other = latest.get(instance.address);
    if (other === undefined || instance.startedAtUnixMs > other.startedAtUnixMs) {
      latest.set(instance.address, instance);
    }
  });
  return latest;
}

/**
 * Builds the table of the backend servers that accept new requests.
 *
 * @param directory - the backend servers, and the zones that are out of service
 * @param zone - zone of the sending node
 * @returns serving instances outside excluded zones
 */
export function buildGateTable({ instances, zonesOut }: Directory, zone: ZoneName): GateTable {
  const table = new Map<ServiceName, { local: Instance[]; remote: Instance[] }>();
  latestByAddress(instances).forEach((instance) => {
    if (instance.state !== 'serving' || zonesOut.has(instance.zone)) return;
    const gates = table.get(instance.service) ?? { local: [], remote: [] };
    gates[instance.zone === zone ? 'local' : 'remote'].push(instance);
    table.set(instance.service, gates);
  });
  return table;
}
