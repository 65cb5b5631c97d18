/** Limits on requests of callers, for the `limits` field of an operator's configuration. */
export const CALLER_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000_000,
  headerTimeout: '3s',
  idleTimeout: '15s',
} as const;

/**
 * Creates the description of a service for the platform's configuration.
 *
 * @param name - name of the service
 * @param warmup - warm-up time of its backend servers after a start, with its unit; `3s` by default
 * @returns an item of the `services` field
 */
export function serviceDescription(name: string, warmup = '3s'): Readonly<Record<string, unknown>> {
  return { name, healthPath: '/healthz', maxConnections: 100, warmup, warmupPerS: 25 };
}
