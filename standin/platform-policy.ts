/** Bounds on what callers may send, as operators set them in every configuration of a stand-in. */
export const CALLER_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000_000,
  headerTimeout: '3s',
  idleTimeout: '15s',
} as const;

/**
 * Describes a service as the platform's configuration does.
 *
 * @param name - name of the service
 * @param warmup - how long its backend servers are cold after a start, with its unit
 * @returns an item of `services`
 */
export function serviceDescription(name: string, warmup = '3s'): Readonly<Record<string, unknown>> {
  return { name, healthPath: '/healthz', maxConnections: 100, warmup, warmupPerS: 25 };
}
