import type {
  Account,
  BackendServer,
  Configuration,
  Route,
  Service,
  Zone,
} from '../model/configuration.js';
import type { AccountName, BackendServerName, ServiceName, ZoneName } from '../model/names.js';
import { WILDCARD_SEGMENT, isPlainSegment, pathSegments } from './route-path.js';

/** Node of a trie of path segments. */
interface TrieNode {
  readonly children: Map<string, TrieNode>;
  route: Route | null;
}

interface Match {
  readonly route: Route;
  readonly literalCount: number;
}

const NO_SERVERS: readonly BackendServer[] = [];

function indexByName<T extends { readonly name: string }>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}

function getOrAddChild(parent: TrieNode, segment: string): TrieNode {
  const child = parent.children.get(segment) ?? { children: new Map(), route: null };
  parent.children.set(segment, child);
  return child;
}

function findMatch(
  trieNode: TrieNode,
  segments: readonly string[],
  segmentIndex: number,
): Match | null {
  const segment = segments[segmentIndex];
  if (segment === undefined) {
    return trieNode.route === null ? null : { route: trieNode.route, literalCount: 0 };
  }
  const literalChild = trieNode.children.get(segment);
  const wildcardChild = trieNode.children.get(WILDCARD_SEGMENT);
  // A `*` in a request path is an ordinary segment, which only the wildcard of a route matches.
  const literalMatch =
    literalChild === undefined || segment === WILDCARD_SEGMENT
      ? null
      : findMatch(literalChild, segments, segmentIndex + 1);
  const wildcardMatch =
    wildcardChild === undefined || !isPlainSegment(segment)
      ? null
      : findMatch(wildcardChild, segments, segmentIndex + 1);
  if (literalMatch === null) {
    return wildcardMatch;
  }
  const literals = literalMatch.literalCount + 1;
  return wildcardMatch !== null && wildcardMatch.literalCount > literals
    ? wildcardMatch
    : { route: literalMatch.route, literalCount: literals };
}

/** Indexes of one configuration for lookups during a request. */
export class Lookup {
  readonly #zones: ReadonlyMap<ZoneName, Zone>;

  readonly #services: ReadonlyMap<ServiceName, Service>;

  readonly #backendServers: ReadonlyMap<BackendServerName, BackendServer>;

  readonly #backendServersByService: ReadonlyMap<ServiceName, readonly BackendServer[]>;

  readonly #accounts: ReadonlyMap<AccountName, Account>;

  readonly #accountsByKeyHash: ReadonlyMap<string, Account>;

  readonly #routeTries: ReadonlyMap<string, TrieNode>;

  /**
   * Builds all indexes of a configuration.
   *
   * @param configuration - a checked configuration
   */
  constructor(configuration: Configuration) {
    this.#zones = indexByName(configuration.zones);
    this.#services = indexByName(configuration.services);
    this.#backendServers = indexByName(configuration.backendServers);
    this.#accounts = indexByName(configuration.accounts);
    this.#accountsByKeyHash = new Map(
      configuration.accounts.flatMap((account) =>
        account.keyHashes.map((hash) => [hash, account] as const),
      ),
    );
    const serversByService = new Map<ServiceName, BackendServer[]>();
    configuration.backendServers.forEach((server) => {
      const servers = serversByService.get(server.service) ?? [];
      servers.push(server);
      serversByService.set(server.service, servers);
    });
    this.#backendServersByService = serversByService;
    const roots = new Map<string, TrieNode>();
    configuration.routes.forEach((route) => {
      const key = `${route.service} ${route.method}`;
      const root = roots.get(key) ?? { children: new Map(), route: null };
      roots.set(key, root);
      pathSegments(route.path).reduce(getOrAddChild, root).route = route;
    });
    this.#routeTries = roots;
  }

  /**
   * Finds the route of a request; among several matches, the one with the most literal segments.
   *
   * @param service - name of the service
   * @param method - HTTP method
   * @param path - path below the service, with or without a query
   * @returns the route, or null when none matches
   */
  route(service: ServiceName, method: string, path: string): Route | null {
    const root = this.#routeTries.get(`${service} ${method}`);
    return root === undefined ? null : (findMatch(root, pathSegments(path), 0)?.route ?? null);
  }

  /**
   * Finds the account that a key belongs to.
   *
   * @param hash - published hash of the key
   * @returns the account, or null when the key is unknown or withdrawn
   */
  accountByKeyHash(hash: string): Account | null {
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
  backendServersByService(service: ServiceName): readonly BackendServer[] {
    return this.#backendServersByService.get(service) ?? NO_SERVERS;
  }
}
