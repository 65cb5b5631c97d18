import { hashKey } from '../src/core/configuration/key-hash.js';
import type { Configuration, Route } from '../src/core/model/configuration.js';
import { COLD_CAPACITY, LIMITS, RETRIES, type RouteName } from './audit.js';
import type { Run } from './fake-backend.js';
import type { InjectedDefect } from './injected-defect.js';
import { NODES, ZONES } from './step.js';

export const SLOTS = 10;
const DEADLINE_MS = 1500;

/** Service, method and first path segment of each route. */
export const TARGETS: Readonly<Record<RouteName, readonly [string, string, string]>> = {
  read: ['front', 'GET', 'read'],
  deep: ['front', 'GET', 'deep'],
  order: ['front', 'POST', 'order'],
  open: ['front', 'GET', 'open'],
  item: ['back', 'GET', 'item'],
  leak: ['front', 'GET', 'read'],
};

export function keyOf(account: string): string {
  return `key-of-${account}-0123456789abcdef`;
}

function route(name: string, service: string, isOrder: boolean, retries: number): Route {
  return {
    name: `${service}-${name}`,
    service,
    method: isOrder ? 'POST' : 'GET',
    path: `/${name}/*`,
    importance: isOrder ? 'critical' : 'normal',
    idempotent: !isOrder,
    access: name === 'open' ? 'open' : 'keyed',
    deadlineMs: DEADLINE_MS,
    retries,
  };
}

/**
 * Builds the configuration of a run.
 *
 * @param revision - revision number of the configuration
 * @param zonesOut - zones that are out of service
 * @param withdrawn - accounts whose key is withdrawn
 * @param defect - injected defect, or null
 * @returns the configuration
 */
export function configurationOf(
  revision: number,
  zonesOut: ReadonlySet<string>,
  withdrawn: ReadonlySet<string>,
  defect: InjectedDefect | null,
): Configuration {
  const retries = defect === 'wrong-retries' ? 8 : RETRIES;
  const factor = defect === 'wrong-rate' ? 10 : 1;
  return {
    revision,
    seats: NODES,
    zones: ZONES.map((name) => ({ name, region: 'r', state: zonesOut.has(name) ? 'out' : 'in' })),
    services: [{ name: 'front' }, { name: 'back' }],
    backendServers: NODES.map((name) => ({
      name,
      service: name.split('-')[0] ?? '',
      zone: name.split('-')[1] ?? '',
      slots: SLOTS,
      connections: SLOTS,
      coldCapacity: COLD_CAPACITY,
    })),
    accounts: [...LIMITS].map(([name, { ratePerSecond, burst }]) => ({
      name,
      keyHashes: [hashKey(withdrawn.has(name) ? `${keyOf(name)}-withdrawn` : keyOf(name))],
      ratePerSecond: ratePerSecond * factor,
      burst: burst * factor,
      weight: 1,
      services: ['front', 'back'],
    })),
    routes: [
      ...['read', 'deep', 'open'].map((name) => route(name, 'front', false, retries)),
      route('order', 'front', true, retries),
      route('item', 'back', false, retries),
      route('book', 'back', true, retries),
    ],
  };
}

/** Lists the targets of the nested calls that a run makes before it answers. */
export function nestedTargetsOf(run: Run): readonly string[] {
  const [, kind, mark] = run.path.split('/');
  switch (kind) {
    case 'deep':
      return [`/back/item/${mark}-1`, `/back/item/${mark}-2`];
    case 'order':
      return [`/back/book/${mark}`];
    default:
      return [];
  }
}
