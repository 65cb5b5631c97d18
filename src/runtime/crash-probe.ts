import { request } from 'undici';
import type { Milliseconds } from '../core/model/time.js';

/** Result of a probe after a broken connection. */
export type ProbeResult =
  | { readonly kind: 'refused' }
  | { readonly kind: 'answered'; readonly incarnation: string | null }
  | { readonly kind: 'no-answer' };

const PROBE_TIMEOUT_MS: Milliseconds = 500;

function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

/**
 * Probes a backend server, to distinguish a crash from a single lost connection.
 *
 * @param url - base URL of the backend server
 * @returns the result of the probe
 */
export async function probeServer(url: string): Promise<ProbeResult> {
  try {
    const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
    const { headers, body } = await request(`${url}/health`, { signal });
    await body.dump();
    const incarnation = headers['x-server-incarnation'];
    return { kind: 'answered', incarnation: typeof incarnation === 'string' ? incarnation : null };
  } catch (error) {
    return isConnectionRefused(error) ? { kind: 'refused' } : { kind: 'no-answer' };
  }
}
