import type { Access } from '../model/configuration.js';
import type { Milliseconds } from '../model/time.js';
import type {
  CallerLimits,
  Policy,
  PrefixRoute,
  QuotaAccount,
  Repeatability,
  ServiceProfile,
} from './policy.js';

/** A published part whose fields are null where they could not be read. */
export type Draft<T> = { readonly [Field in keyof T]: T[Field] | null };

/** A published client account; a key is null where it could not be read. */
export type AccountDraft = Omit<Draft<QuotaAccount>, 'keys'> & {
  readonly keys: readonly (string | null)[] | null;
};

/** A published policy, parts of which may be unreadable. */
export interface PolicyDraft {
  readonly version: number;
  readonly routes: readonly Draft<PrefixRoute>[];
  readonly services: readonly Draft<ServiceProfile>[];
  /** Null when requests carry no keys, `unreadable` when the list could not be read. */
  readonly accounts: readonly AccountDraft[] | 'unreadable' | null;
  readonly limits: Draft<CallerLimits>;
}

/** A part of which nothing is known must not be repeated, nor opened to callers without a key. */
const FALLBACK_REPEATABILITY: Repeatability = 'at-most-once';
const FALLBACK_ACCESS: Access = 'keyed';
const FALLBACK_ATTEMPTS = 1;

/** Shed before anything whose priority is known. */
const FALLBACK_PRIORITY = 1000;

/** Bounds the wait for a route without a readable timeout; the caller's own timeout still holds. */
const FALLBACK_TIMEOUT_MS: Milliseconds = 30_000;

/**
 * Values for a service that keep the load on a backend server low while they are in use: the usual
 * path of a health check, and fewer connections and cold requests than any service on record takes.
 */
const FALLBACK_SERVICE = {
  healthPath: '/healthz',
  connections: 64,
  warmUpRatePerSecond: 1,
  warmUpMs: 10_000,
} as const satisfies Omit<ServiceProfile, 'name'>;

/** Limits in the range of common HTTP servers; a stricter one would refuse requests for good. */
const FALLBACK_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};

function completeRoute(draft: Draft<PrefixRoute>): readonly PrefixRoute[] {
  const { host, prefix } = draft;
  if (host === null || prefix === null) return [];
  const timeoutMs = draft.timeoutMs ?? FALLBACK_TIMEOUT_MS;
  return [
    {
      name: draft.name ?? `${host}${prefix}`,
      host,
      prefix,
      repeatability: draft.repeatability ?? FALLBACK_REPEATABILITY,
      timeoutMs,
      latencyObjectiveMs: draft.latencyObjectiveMs ?? timeoutMs,
      priority: draft.priority ?? FALLBACK_PRIORITY,
      destinations: draft.destinations ?? [],
      attempts: Math.max(1, draft.attempts ?? FALLBACK_ATTEMPTS),
      access: draft.access ?? FALLBACK_ACCESS,
    },
  ];
}

function completeService(draft: Draft<ServiceProfile>): readonly ServiceProfile[] {
  if (draft.name === null) return [];
  return [
    {
      name: draft.name,
      healthPath: draft.healthPath ?? FALLBACK_SERVICE.healthPath,
      connections: draft.connections ?? FALLBACK_SERVICE.connections,
      warmUpRatePerSecond: draft.warmUpRatePerSecond ?? FALLBACK_SERVICE.warmUpRatePerSecond,
      warmUpMs: draft.warmUpMs ?? FALLBACK_SERVICE.warmUpMs,
    },
  ];
}

function completeAccount(draft: AccountDraft): readonly QuotaAccount[] {
  if (draft.name === null) return [];
  return [
    {
      name: draft.name,
      keys: draft.keys?.filter((key) => key !== null) ?? [],
      priority: draft.priority ?? FALLBACK_PRIORITY,
      ratePerSecond: draft.ratePerSecond ?? 0,
      burst: draft.burst ?? 0,
    },
  ];
}

function completeLimits(draft: Draft<CallerLimits>): CallerLimits {
  return {
    headerBytes: draft.headerBytes ?? FALLBACK_LIMITS.headerBytes,
    bodyBytes: draft.bodyBytes ?? FALLBACK_LIMITS.bodyBytes,
    headerTimeoutMs: draft.headerTimeoutMs ?? FALLBACK_LIMITS.headerTimeoutMs,
    idleTimeoutMs: draft.idleTimeoutMs ?? FALLBACK_LIMITS.idleTimeoutMs,
  };
}

function hasUnknownRoutes(routes: PolicyDraft['routes']): boolean {
  return routes.some(({ host, prefix }) => host === null || prefix === null);
}

function hasUnknownKeys(accounts: PolicyDraft['accounts']): boolean {
  if (accounts === null) return false;
  if (accounts === 'unreadable') return true;
  return accounts.some(({ name, keys }) => name === null || keys === null || keys.includes(null));
}

/**
 * Completes a policy, so that an unreadable part costs no other part anything. A field that could
 * not be read gets the value with the least risk. Routes without a host or a prefix and accounts
 * without a name are left out; what may belong to them is refused for a while and not for good.
 *
 * @param draft - the published policy
 * @returns the policy
 */
export function completePolicy(draft: PolicyDraft): Policy {
  const { version, routes, services, accounts, limits } = draft;
  return {
    version,
    routes: routes.flatMap(completeRoute),
    services: services.flatMap(completeService),
    accounts: accounts === 'unreadable' ? [] : (accounts?.flatMap(completeAccount) ?? null),
    limits: completeLimits(limits),
    gaps: { routes: hasUnknownRoutes(routes), keys: hasUnknownKeys(accounts) },
  };
}
