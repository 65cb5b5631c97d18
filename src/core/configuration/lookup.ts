import type {
  Account,
  BackendServer,
  Configuration,
  Route,
  Service,
  Zone,
} from '../model/configuration.js';
import type { AccountName, BackendServerName, ServiceName, ZoneName } from '../model/names.js';
import { ANY_SEGMENT, isPlainSegment, pathSegments } from './route-path.js';

/** Node of a tree of path segments. */
interface Branch {
  readonly children: Map<string, Branch>;
  route: Route | null;
}

interface Match {
  readonly route: Route;
  readonly literals: number;
}

const NO_SERVERS: readonly BackendServer[] = [];

function byName<T extends { readonly name: string }>(items: readonly T[]): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}

function childOf(branch: Branch, segment: string): Branch {
  const child = branch.children.get(segment) ?? { children: new Map(), route: null };
  branch.children.set(segment, child);
  return child;
}

function findMatch(branch: Branch, segments: readonly string[], from: number): Match | null {
  const segment = segments[from];
  if (segment === undefined) {
    return branch.route === null ? null : { route: branch.route, literals: 0 };
  }
  const literal = branch.children.get(segment);
  const any = branch.children.get(ANY_SEGMENT);
  // A literal `*` in a request is an ordinary segment.
  const byLiteral =
    literal === undefined || segment === ANY_SEGMENT
      ? null
      : findMatch(literal, segments, from + 1);
  const byAny =
    any === undefined || !isPlainSegment(segment) ? null : findMatch(any, segments, from + 1);
  if (byLiteral === null) {
    return byAny;
  }
  const literals = byLiteral.literals + 1;
  return byAny !== null && byAny.literals > literals ? byAny : { route: byLiteral.route, literals };
}

/** Tables that answer the questions of the request path about one configuration. */
export class Lookup {
  readonly #zones: ReadonlyMap<ZoneName, Zone>;

  readonly #services: ReadonlyMap<ServiceName, Service>;

  readonly #backendServers: ReadonlyMap<BackendServerName, BackendServer>;

  readonly #backendServersByService: ReadonlyMap<ServiceName, readonly BackendServer[]>;

  readonly #accounts: ReadonlyMap<AccountName, Account>;

  readonly #accountsByKeyHash: ReadonlyMap<string, Account>;

  readonly #routes: ReadonlyMap<string, Branch>;

  /**
   * Builds the tables once.
   *
   * @param configuration - a checked configuration
   */
  constructor(configuration: Configuration) {
    this.#zones = byName(configuration.zones);
    this.#services = byName(configuration.services);
    this.#backendServers = byName(configuration.backendServers);
    this.#accounts = byName(configuration.accounts);
    this.#accountsByKeyHash = new Map(
      configuration.accounts.flatMap((account) =>
        account.keyHashes.map((hash) => [hash, account] as const),
      ),
    );
    const byService = new Map<ServiceName, BackendServer[]>();
    configuration.backendServers.forEach((server) => {
      const servers = byService.get(server.service) ?? [];
      servers.push(server);
      byService.set(server.service, servers);
    });
    this.#backendServersByService = byService;
    const roots = new Map<string, Branch>();
    configuration.routes.forEach((route) => {
      const key = `${route.service} ${route.method}`;
      const root = roots.get(key) ?? { children: new Map(), route: null };
      roots.set(key, root);
      pathSegments(route.path).reduce(childOf, root).route = route;
    });
    this.#routes = roots;
  }

  /**
   * Finds the route of a request; the route with more literal segments wins.
   *
   * @param service - name of the service
   * @param method - HTTP method
   * @param path - path below the service, with or without a query
   * @returns the route, or null when none matches
   */
  route(service: ServiceName, method: string, path: string): Route | null {
    const root = this.#routes.get(`${service} ${method}`);
    return root === undefined ? null : (findMatch(root, pathSegments(path), 0)?.route ?? null);
  }

  /**
   * Finds the holder of a key.
   *
   * @param hash - published hash of the key
   * @returns the account, or null when the key is unknown or withdrawn
   */
  accountOfKeyHash(hash: string): Account | null {
    return this.#accountsByKeyHash.get(hash) ?? null;
  }

  /**
   * @param name - name of an account
   * @returns the account, or null
   */
  account(name: AccountName): Account | null {
    return this.#accounts.get(name) ?? null;
  }

  /**
   * @param name - name of an availability zone
   * @returns the zone, or null
   */
  zone(name: ZoneName): Zone | null {
    return this.#zones.get(name) ?? null;
  }

  /**
   * @param name - name of a backend server
   * @returns the backend server, or null
   */
  backendServer(name: BackendServerName): BackendServer | null {
    return this.#backendServers.get(name) ?? null;
  }

  /**
   * @param name - name of a service
   * @returns the service, or null
   */
  service(name: ServiceName): Service | null {
    return this.#services.get(name) ?? null;
  }

  /**
   * @param service - name of a service
   * @returns its backend servers; empty for an unknown service
   */
  backendServersOf(service: ServiceName): readonly BackendServer[] {
    return this.#backendServersByService.get(service) ?? NO_SERVERS;
  }
}
