import type { Policy, PrefixRoute, QuotaAccount, ServiceProfile } from './policy.js';

/** A policy with lookup tables for the request path. */
export interface PolicyLookup {
  readonly policy: Policy;
  /** Routes by lowercase host name, then by prefix. */
  readonly routes: ReadonlyMap<string, ReadonlyMap<string, PrefixRoute>>;
  readonly accounts: ReadonlyMap<string, QuotaAccount>;
  readonly services: ReadonlyMap<string, ServiceProfile>;
}

/**
 * Builds the lookup tables of a policy.
 *
 * @param policy - the policy
 * @returns the policy with its tables
 */
export function buildPolicyLookup(policy: Policy): PolicyLookup {
  const routes = new Map<string, Map<string, PrefixRoute>>();
  policy.routes.forEach((route) => {
    const host = route.host.toLowerCase();
    const hostRoutes = routes.get(host) ?? new Map<string, PrefixRoute>();
    hostRoutes.set(route.prefix, route);
    routes.set(host, hostRoutes);
  });
  const accounts = new Map(
    (policy.accounts ?? []).flatMap((account) =>
      account.keys.map((key): [string, QuotaAccount] => [key, account]),
    ),
  );
  return {
    policy,
    routes,
    accounts,
    services: new Map(policy.services.map((service) => [service.name, service])),
  };
}

/**
 * Finds the route with the longest prefix that matches the path.
 *
 * @param lookup - tables of the policy
 * @param host - host of the request; a port is ignored
 * @param path - path of the request, with or without a query
 * @returns the route, or null when none matches
 */
export function findRoute(lookup: PolicyLookup, host: string, path: string): PrefixRoute | null {
  const hostRoutes = lookup.routes.get(host.replace(/:\d+$/, '').toLowerCase());
  if (hostRoutes === undefined) return null;
  const queryAt = path.indexOf('?');
  const pathname = queryAt < 0 ? path : path.slice(0, queryAt);
  // Every prefix ends with a slash, so only the parts of the path that end with one can match.
  for (
    let slashIndex = pathname.lastIndexOf('/');
    slashIndex >= 0;
    slashIndex = pathname.lastIndexOf('/', slashIndex - 1)
  ) {
    const route = hostRoutes.get(pathname.slice(0, slashIndex + 1));
    if (route !== undefined) return route;
    if (slashIndex === 0) return null;
  }
  return null;
}
