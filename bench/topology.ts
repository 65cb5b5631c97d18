import type { Configuration, Importance } from '../src/core/model/configuration.js';
import { hashKey } from '../src/core/configuration/key-hash.js';
import type { ServedPath } from '../standin/backend-server.js';

/** A path of a service, with its route settings and its share of the load. */
export interface BenchPath extends ServedPath {
  readonly importance: Importance;
  readonly idempotent: boolean;
  /** Fraction of the root requests that callers send to this path. */
  readonly rootShare: number;
}

/** A service with one backend server in each zone. */
export interface BenchService {
  readonly name: string;
  readonly slots: number;
  readonly coldCapacity: number;
  readonly paths: readonly BenchPath[];
}

/** A client account with its key. */
export interface BenchAccount {
  readonly name: string;
  readonly key: string;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** A deployment, reduced in size to fit on one machine. */
export interface Topology {
  readonly name: 'kelpie' | 'co-op';
  readonly region: string;
  readonly zones: readonly string[];
  readonly services: readonly BenchService[];
  readonly accounts: readonly BenchAccount[];
}

/** Deadline of each route and timeout of each caller. */
export const DEADLINE_MS = 1000;

function createPath(
  requestLine: string,
  serviceMs: number,
  calls: readonly string[],
  importance: Importance,
  rootShare: number,
  idempotent = true,
): BenchPath {
  const [method = '', target = ''] = requestLine.split(' ');
  return { method, path: target, serviceMs, calls, importance, rootShare, idempotent };
}

/** Path without service time, used only to measure added latency. */
const PING: BenchPath = createPath('GET ping', 0, [], 'low', 0);

/** Three large accounts and five small ones, whose rates sum to about 3.2 times the capacity. */
function createAccounts(names: readonly string[]): readonly BenchAccount[] {
  return names.map((name, index) => {
    const ratePerSecond = index < 3 ? 145 : 55;
    return { name, key: `demo-key-of-${name}-0123456789`, ratePerSecond, burst: ratePerSecond };
  });
}

/** Kelpie: an order checks its cutting plan, which looks up blocks, and finds a courier slot. */
export const KELPIE: Topology = {
  name: 'kelpie',
  region: 'clyde',
  zones: ['clyde-a', 'clyde-b', 'clyde-c'],
  services: [
    {
      name: 'stockroom',
      slots: 8,
      coldCapacity: 2,
      paths: [createPath('GET blocks/*', 120, [], 'low', 0.4), PING],
    },
    {
      name: 'planner',
      slots: 10,
      coldCapacity: 2,
      paths: [createPath('POST plans/check', 40, ['GET stockroom/blocks/oak'], 'normal', 0.3)],
    },
    {
      name: 'orderdesk',
      slots: 7,
      coldCapacity: 2,
      paths: [
        createPath(
          'POST orders',
          30,
          ['POST planner/plans/check', 'GET dispatch/slots'],
          'critical',
          0.2,
          false,
        ),
      ],
    },
    {
      name: 'dispatch',
      slots: 4,
      coldCapacity: 1,
      paths: [
        createPath('GET slots', 40, [], 'normal', 0),
        createPath('POST bookings', 60, [], 'high', 0.1, false),
      ],
    },
  ],
  accounts: createAccounts([
    'workshop-paisley',
    'workshop-leith',
    'workshop-oban',
    'yard-troon',
    'yard-ayr',
    'yard-largs',
    'studio-skye',
    'studio-mull',
  ]),
};

/** Co-op: a collection finds drop-off points, which reads a jar balance, and finds a free van. */
export const CO_OP: Topology = {
  name: 'co-op',
  region: 'recife',
  zones: ['recife-a', 'recife-b', 'recife-c'],
  services: [
    {
      name: 'balcao',
      slots: 16,
      coldCapacity: 4,
      paths: [
        createPath('GET balances/*', 20, ['GET caixa/jars/1'], 'normal', 0.5),
        createPath(
          'POST collections',
          20,
          ['POST guia/near', 'GET frota/vans'],
          'critical',
          0.2,
          false,
        ),
        PING,
      ],
    },
    {
      name: 'caixa',
      slots: 8,
      coldCapacity: 2,
      paths: [
        createPath('GET jars/*', 120, [], 'normal', 0),
        createPath('POST credits', 120, [], 'high', 0.1, false),
      ],
    },
    {
      name: 'guia',
      slots: 8,
      coldCapacity: 2,
      paths: [
        createPath('GET points/*', 40, [], 'low', 0.2),
        createPath('POST near', 40, ['GET caixa/jars/1'], 'normal', 0),
      ],
    },
    {
      name: 'frota',
      slots: 4,
      coldCapacity: 1,
      paths: [createPath('GET vans', 40, [], 'normal', 0)],
    },
  ],
  accounts: createAccounts([
    'cafe-boa-vista',
    'cafe-derby',
    'cafe-torre',
    'padaria-casa-forte',
    'padaria-ipsep',
    'mercado-encruzilhada',
    'mercado-afogados',
    'lar-varzea',
  ]),
};

/**
 * Finds the service and the path that a nested call addresses.
 *
 * @param topology - deployment to search
 * @param requestLine - method and target, for example `GET stockroom/blocks/oak`
 * @returns service and served path
 */
function resolveCall(topology: Topology, requestLine: string) {
  const [method = '', target = ''] = requestLine.split(' ');
  const [name, first] = target.split('/');
  const service = topology.services.find((candidate) => candidate.name === name);
  const servedPath = service?.paths.find(
    (candidate) => candidate.method === method && candidate.path.split('/')[0] === first,
  );
  if (service === undefined || servedPath === undefined)
    throw new Error(`no path serves ${requestLine}`);
  return { service, servedPath };
}

/** Time for which a call holds a slot without queueing, including its nested calls. */
function slotHoldTimeMs(topology: Topology, servedPath: BenchPath): number {
  const nestedHoldTimesMs = servedPath.calls.map((requestLine) =>
    slotHoldTimeMs(topology, resolveCall(topology, requestLine).servedPath),
  );
  return nestedHoldTimesMs.reduce((sum, holdTimeMs) => sum + holdTimeMs, servedPath.serviceMs);
}

/**
 * Computes the rate of root requests at which the bottleneck service has all its slots busy.
 *
 * @param topology - deployment whose mix of root requests is used
 * @returns capacity in root requests per second
 */
export function computeCapacityPerS(topology: Topology): number {
  const busyMs = new Map<string, number>();
  const addBusyTime = (service: string, servedPath: BenchPath, share: number): void => {
    busyMs.set(service, (busyMs.get(service) ?? 0) + share * slotHoldTimeMs(topology, servedPath));
    servedPath.calls.forEach((requestLine) => {
      const nested = resolveCall(topology, requestLine);
      addBusyTime(nested.service.name, nested.servedPath, share);
    });
  };
  topology.services.forEach(({ name, paths }) =>
    paths.forEach((servedPath) => addBusyTime(name, servedPath, servedPath.rootShare)),
  );
  return Math.min(
    ...topology.services.map(
      ({ name, slots }) => (slots * topology.zones.length * 1000) / (busyMs.get(name) ?? 1),
    ),
  );
}

/** Settings that change while a benchmark runs. */
export interface ConfigurationChange {
  readonly revision: number;
  readonly zonesOut: readonly string[];
  /** Accounts whose keys are withdrawn. */
  readonly withdrawn: readonly string[];
}

/**
 * Creates the configuration of a deployment.
 *
 * @param topology - deployment to describe
 * @param change - revision, zones out of service and accounts with withdrawn keys
 * @returns configuration to publish
 */
export function configurationOf(topology: Topology, change: ConfigurationChange): Configuration {
  const { services, zones, region } = topology;
  const first = services[0]?.name ?? '';
  return {
    revision: change.revision,
    seats: zones.map((zone) => `${first}-${zone}`),
    zones: zones.map((name) => ({
      name,
      region,
      state: change.zonesOut.includes(name) ? 'out' : 'in',
    })),
    services: services.map(({ name }) => ({ name })),
    backendServers: services.flatMap(({ name: service, slots, coldCapacity }) =>
      zones.map((zone) => {
        const name = `${service}-${zone}`;
        return { name, service, zone, slots, coldCapacity, connections: slots * 8 };
      }),
    ),
    accounts: topology.accounts.map(({ name, key, ratePerSecond, burst }) => ({
      name,
      // A second hash keeps the configuration valid when the key of an account is withdrawn.
      keyHashes: [
        hashKey(`${key}-spare`),
        ...(change.withdrawn.includes(name) ? [] : [hashKey(key)]),
      ],
      ratePerSecond,
      burst,
      weight: ratePerSecond,
      services: services.map((service) => service.name),
    })),
    routes: services.flatMap(({ name: service, paths }) =>
      paths.map((servedPath, index) => ({
        name: `${service}-${index}`,
        service,
        method: servedPath.method,
        path: `/${servedPath.path}`,
        importance: servedPath.importance,
        idempotent: servedPath.idempotent,
        access: 'keyed' as const,
        deadlineMs: DEADLINE_MS,
        retries: 2,
      })),
    ),
  };
}
