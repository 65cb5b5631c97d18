import type { Milliseconds } from '../core/model/time.js';
import { fetchHead } from './fetch-answer.js';
import { openMeteredClient } from './metered-client.js';
import type { ReadPacer } from './read-pacer.js';

/** Result of a probe after a broken connection. */
export type ProbeResult =
  | { readonly kind: 'refused' }
  | { readonly kind: 'answered'; readonly incarnation: string | null }
  | { readonly kind: 'no-answer' };

const PROBE_TIMEOUT_MS: Milliseconds = 500;

/** Limit of the body of an answer, of which only the head is read. */
const MAX_BODY_BYTES = 131_072;

function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

/**
 * Probes a backend server, to distinguish a crash from a single lost connection.
 *
 * @param url - base URL of the backend server
 * @param pacer - grants processor time to read long answers
 * @returns the result of the probe
 */
export async function probeServer(url: string, pacer: ReadPacer): Promise<ProbeResult> {
  const { client } = openMeteredClient(url, {
    pacer,
    maxBodyBytes: MAX_BODY_BYTES,
    connectTimeoutMs: PROBE_TIMEOUT_MS,
    answerTimeoutMs: 0,
  });
  try {
    const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
    const { headers } = await fetchHead(client, { path: '/health', signal });
    const incarnation = headers['x-server-incarnation'];
    return { kind: 'answered', incarnation: typeof incarnation === 'string' ? incarnation : null };
  } catch (error) {
    return isConnectionRefused(error) ? { kind: 'refused' } : { kind: 'no-answer' };
  } finally {
    void client.destroy();
  }
}
